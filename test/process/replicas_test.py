"""Numbers of replicas requested by real entry daemons from a stand-in of the platform."""

import copy
import unittest

import cloud_site
import edge_site as site

BOUNDS = """
lease_ms = 3000
[cloud]
addr = "{address}"
duties = ["autoscale"]
duty_per_s = 20
"""
ZONES = ("zone-0", "zone-1")
MIN = 2


class ReplicasTest(unittest.TestCase):
    def begin(self, duties=BOUNDS):
        self.cloud = cloud_site.Cloud()
        self.addCleanup(self.cloud.stop)
        configuration = copy.deepcopy(site.CONFIGURATION)
        plain = next(service for service in configuration["services"] if service["name"] == "plain")
        plain["autoscale"] = {"min": MIN, "max": 4, "boot_s": 8}
        # One replica in each of two zones.
        self.edge = self.enterContext(site.EdgeSite(daemons=3, models=1, plain=len(ZONES), configuration=configuration,
                                                    bounds=duties.format(address=self.cloud.address)))

    def accepted(self):
        """Returns holder, token, zone and number of each executed request."""
        with self.cloud.lock:
            return [(holder, token, body["zone"], body["desired"]) for _, path, holder, token, body, status in self.cloud.calls
                    if path == "/scale" and status == 200]

    def test_a_successor_repeats_the_recorded_numbers_with_its_own_token(self):
        """Guards against numbers that never reach the platform, and against a successor that does not know what was requested."""
        self.begin()
        site.wait_until(lambda: {zone for _, _, zone, _ in self.accepted()} == set(ZONES), "both zones get a number")
        first = self.accepted()
        holder, token, _, _ = first[0]
        self.assertEqual({number for _, _, _, number in first}, {MIN})
        self.assertEqual({(name, fence) for name, fence, _, _ in first}, {(holder, token)})
        next(daemon for daemon in self.edge.daemons if daemon.node == holder).stop()

        def is_repeated():
            return {zone for name, _, zone, _ in self.accepted() if name != holder} == set(ZONES)

        site.wait_until(is_repeated, "the successor repeats both numbers", seconds=30)
        later = [call for call in self.accepted() if call[0] != holder]
        self.assertTrue(all(fence > token for _, fence, _, _ in later), later)
        self.assertEqual({number for _, _, _, number in later}, {MIN})

    def test_without_the_duty_nothing_is_requested(self):
        """Guards against calls and records on deployments that do not ask for them."""
        self.begin(BOUNDS.replace('["autoscale"]', "[]"))
        with self.assertRaises(TimeoutError):
            site.wait_until(lambda: self.cloud.calls, "a call", seconds=6)
        self.assertFalse(self.edge.store.topics.get("goldcrestwood.duty"))


if __name__ == "__main__":
    unittest.main()
