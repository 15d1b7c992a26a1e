"""A site serves its first prompt as soon as its daemons report that they are ready."""

import unittest

import harness


class StartTest(unittest.TestCase):
    def test_first_prompt_after_ready(self):
        with harness.Site(harness.SMALL) as site:
            caller = harness.Caller(site, "first")
            answer = caller.complete("model", "first", 2, address=site.daemons[0].callers, attempts=1)
            self.assertEqual((answer.status, answer.tokens), (200, harness.expected_tokens("first", "v1", 7, 2)), answer)


if __name__ == "__main__":
    unittest.main()
