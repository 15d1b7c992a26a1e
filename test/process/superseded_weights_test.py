"""No request begins on weights whose replacement was named longer ago than the bound, while replicas stay behind."""

import concurrent.futures
import copy
import signal
import time
import unittest

import edge_site as site

SWITCH_SECONDS = 8
CONTACT_SECONDS = 3
TOTAL_SECONDS = 9
BOUNDS = f"version_ms = {SWITCH_SECONDS * 1000}\nversion_all_ms = {TOTAL_SECONDS * 1000}\ncontact_ms = {CONTACT_SECONDS * 1000}\n"
# A load that never ends keeps replicas on their old weights.
LOAD_SECONDS = 1000


class SupersededWeightsTest(unittest.TestCase):
    def start(self, models=9, configuration=None):
        edge = self.enterContext(site.EdgeSite(daemons=3, models=models, configuration=configuration, bounds=BOUNDS))
        for replica in edge.models:
            replica.load_seconds = LOAD_SECONDS
        return edge

    def name(self, edge, version):
        """Names new weights; returns the time."""
        edge.store.put("keyed.op", "version/m", {"model": "m", "version": version})
        return time.monotonic()

    def sleep_until(self, end):
        time.sleep(max(0, end - time.monotonic()))

    def send_until(self, daemon, end):
        """Sends requests to a daemon; returns their identifiers."""
        identifiers = set()
        while time.monotonic() < end:
            identifiers.add(site.request(daemon, "/stream/a", X_Goldcrestwood_Deadline_Ms="300", **site.PROMPT)[0])
        return identifiers

    def arrivals(self, edge, identifiers):
        """Returns when the requests reached replicas, all of which have the oldest weights."""
        self.assertEqual({replica.version for replica in edge.models}, {1})
        return sorted(when for replica in edge.models for when, request in replica.arrivals if request in identifiers)

    def assert_bound_kept(self, edge, daemon, bound):
        """Checks that the daemon uses the old weights, but not after the bound."""
        arrivals = self.arrivals(edge, self.send_until(daemon, bound + 2))
        self.assertTrue(arrivals)
        self.assertLess(arrivals[-1], bound)

    def test_a_restarted_daemon_keeps_to_the_bound_of_a_version_that_was_replaced_while_it_was_down(self):
        edge = self.start()
        named = self.name(edge, 2)
        self.sleep_until(named + 2)
        self.name(edge, 3)
        daemon = edge.daemons[0]
        daemon.stop()
        daemon.start()
        site.wait_until(daemon.is_ready, "ready")
        self.assert_bound_kept(edge, daemon, named + SWITCH_SECONDS)

    def test_a_version_that_was_named_while_a_daemon_stood_still_counts_from_then(self):
        edge = self.start()
        # The other daemons restart, so that none of them knows the time either.
        daemon, *others = edge.daemons
        daemon.process.send_signal(signal.SIGSTOP)
        for other in others:
            other.stop()
        named = self.name(edge, 2)
        self.sleep_until(named + 4)
        for other in others:
            other.start()
        daemon.process.send_signal(signal.SIGCONT)
        self.assert_bound_kept(edge, daemon, named + SWITCH_SECONDS)

    def test_times_between_outages_of_the_store_add_up_towards_the_bound(self):
        edge = self.start()
        named = self.name(edge, 2)
        available = SWITCH_SECONDS - 1.5
        self.sleep_until(named + available)
        edge.store.go_away()
        time.sleep(1)
        edge.store.mode = "up"
        back = time.monotonic()
        self.assert_bound_kept(edge, edge.daemons[0], back + CONTACT_SECONDS + TOTAL_SECONDS - available)
        lines = edge.daemons[0].log_lines()
        outages = [line for line in lines if line["event"].startswith("outage_")]
        self.assertEqual((outages[0]["event"], outages[0]["answered_readers"]), ("outage_began", 0))
        self.assertEqual(outages[-1]["event"], "outage_ended")
        attempts = [line for line in lines if line["event"] == "request_attempt"]
        self.assertTrue(attempts)
        self.assertEqual({(line["weights"], line["min_weights"]) for line in attempts}, {(1, 0)})
        (named_line,) = [line for line in lines if line["event"] == "weights_named"]
        self.assertEqual(named_line["version"], 2)
        self.assertLess(named_line["age_ms"], SWITCH_SECONDS * 1000)
        self.assertGreaterEqual(named_line["unconfirmed_ms"], 0)

    def test_a_request_that_waited_for_a_place_beyond_the_bound_is_not_sent_to_old_weights(self):
        configuration = copy.deepcopy(site.CONFIGURATION)
        configuration["routes"][0]["goal_ms"] = 1500  # Callers wait for longer.
        edge = self.start(models=4, configuration=configuration)
        daemon = edge.daemons[0]
        named = self.name(edge, 2)
        bound = named + SWITCH_SECONDS
        for replica in edge.models:
            replica.gap = 0.7
        self.sleep_until(bound - 3.2)
        # These end 0.3 s after the bound. Two of the replicas are under order and get no requests.
        with concurrent.futures.ThreadPoolExecutor(max_workers=40) as callers:
            for _ in range(2 * site.CONFIGURATION["services"][0]["engine"]["max_inflight"]):
                callers.submit(site.request, daemon, "/stream/a", **site.PROMPT)
            self.sleep_until(bound - 1.2)
            waiting = [callers.submit(site.request, daemon, "/stream/a", **site.PROMPT) for _ in range(8)]
            identifiers = {answer.result()[0] for answer in waiting}
        waited = [line["after_ms"] for line in daemon.log_lines() if line["event"] == "request_rejected" and line["request"] in identifiers]
        self.assertGreater(max(waited), 1200)
        self.assertEqual([when - bound for when in self.arrivals(edge, identifiers) if when >= bound], [])


if __name__ == "__main__":
    unittest.main()
