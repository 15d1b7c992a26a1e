"""Orders of different client accounts are independent, even with the same idempotency key."""

import unittest

import harness


class OrderTest(unittest.TestCase):
    def test_two_accounts_use_the_same_key(self):
        with harness.Site(harness.SMALL) as site:
            answers = []
            for account, _, _ in site.plan.accounts[:2]:
                status, answer = harness.Caller(site, account).order("confirm", {"for": account}, "same/key 1")
                self.assertEqual(status, 200, answer)
                answers.append(answer["confirmation"])
            self.assertNotEqual(*answers)
            counts = harness.call_json(site.plain, "GET", "/counts")[1]
            self.assertEqual(sorted(counts["keys"].values()), [1, 1])


if __name__ == "__main__":
    unittest.main()
