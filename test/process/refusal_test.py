"""An order submitted during an outage of the platform's log is refused and reported as not executed."""

import time
import unittest

import harness

# Longer than a daemon trusts its last read of the log.
LONG_OUTAGE_SECONDS = 8


class RefusalTest(unittest.TestCase):
    def check_refusal(self, seconds):
        with harness.Site(harness.SMALL) as site:
            caller = harness.Caller(site, "first")
            site.set_faults(site.platform, log_outage=True)
            time.sleep(seconds)
            status, problem = caller.order("confirm", {"item": "a"}, "a")
            self.assertGreaterEqual(status, 500)
            self.assertEqual(problem["executed"], "no", problem)
            self.assertEqual(harness.call_json(site.plain, "GET", "/counts")[1]["keys"], {})

    def test_soon_after_the_outage_began(self):
        self.check_refusal(0)

    def test_long_after_the_outage_began(self):
        self.check_refusal(LONG_OUTAGE_SECONDS)


if __name__ == "__main__":
    unittest.main()
