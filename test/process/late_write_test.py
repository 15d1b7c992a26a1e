"""Entries of replicas that the platform's store writes late, through real entry daemons."""

import json
import time
import unittest

import edge_site as site
import entry_case


class LateWriteTest(entry_case.EntryTest):
    def start(self):
        edge = self.enterContext(site.EdgeSite(daemons=2, models=1))
        edge.plain[0].register("ready", seq=5)
        # Requests prefer the other replica as soon as that one counts as ready.
        edge.plain[1].delay = 0.05
        return edge, edge.plain[0]

    def entries(self, edge, replica):
        states = [json.loads(site.call(daemon.metrics, "GET", "/state")[2]) for daemon in edge.daemons]
        return [state["upstreams"].get(replica.id) for state in states]

    def test_a_late_entry_does_not_make_a_draining_replica_ready(self):
        # DRAIN: orders reached it until its next entry.
        edge, replica = self.start()
        replica.register("draining", seq=7)
        site.wait_until(lambda: all(entry["draining"] for entry in self.entries(edge, replica)), "the replica drains")
        replica.register("ready", seq=6)
        self.assert_unused(edge, replica)

    def test_a_late_entry_does_not_bring_back_a_replica_that_has_left(self):
        # DRAIN: orders reached it until its entry expired.
        edge, replica = self.start()
        site.wait_until(lambda: all(self.entries(edge, replica)), "the replica is known")
        replica.register("ready", seq=7, cold_left_ms=1)
        replica.leave()
        site.wait_until(lambda: not any(self.entries(edge, replica)), "the replica is gone")
        replica.register("ready", seq=6)
        self.assert_unused(edge, replica)
        # It comes back itself.
        replica.register("ready", seq=8)
        site.wait_until(lambda: all(self.entries(edge, replica)), "the replica is back")


if __name__ == "__main__":
    unittest.main()
