"""The store sends a refusal once more, where the next answer on the connection is due."""

import time
import unittest

import edge_site as site

DOMAIN = "zone-2"
CHANGE_SECONDS = 5
SETTLE_SECONDS = 2


class CopiedStoreRefusalTest(unittest.TestCase):
    def test_a_record_after_the_copy_of_a_refusal_is_read_once(self):
        # The answer for an earlier position was taken for the next one, so that the known end was beyond the log.
        edge = self.enterContext(site.EdgeSite(daemons=1))
        daemon, store = edge.daemons[0], edge.store

        def evacuations():
            return [line["out"] for line in daemon.log_lines() if line["event"] == "evacuation" and line["domain"] == DOMAIN]

        store.mode = "slow"
        store.refuses_once = "keyed.op"
        store.put("keyed.op", "evacuate/zone-9", {})  # Ends the held read; the next one is refused.
        site.wait_until(lambda: store.refuses_once is None, "a read is refused")
        store.put("keyed.op", f"evacuate/{DOMAIN}", {})
        site.wait_until(evacuations, "the domain is evacuated", CHANGE_SECONDS)
        time.sleep(SETTLE_SECONDS)
        self.assertEqual(evacuations(), [True])
        store.put("keyed.op", f"evacuate/{DOMAIN}", None)
        site.wait_until(lambda: evacuations()[-1] is False, "the domain is in use again", CHANGE_SECONDS)
        self.assertEqual(evacuations(), [True, False])


if __name__ == "__main__":
    unittest.main()
