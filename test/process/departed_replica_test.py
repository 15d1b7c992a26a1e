"""Replicas that have left before a daemon starts, and whose entries the platform's store writes late, through real entry daemons."""

import json
import time
import unittest

import edge_site as site
import entry_case


class DepartedReplicaTest(entry_case.DepartedEntryTest):
    # DRAIN: a daemon that started after the removal took the late entry for a new one, and sent orders until the replica's exit.
    def test_a_daemon_that_is_added_does_not_use_a_late_entry(self):
        edge, replica = self.start()
        self.leave(edge, replica)
        daemon = site.Daemon(3, edge.store, edge.folder, [f"{site.SUBNET}.{number}" for number in (1, 2)]).start()
        edge.callback(daemon.stop)
        edge.daemons.append(daemon)
        site.wait_until(daemon.is_ready, "the added daemon is ready", check=daemon.process)
        self.check_late_write(edge, replica)

    def test_a_daemon_that_is_killed_and_started_again_does_not_use_a_late_entry(self):
        edge, replica = self.start()
        self.leave(edge, replica)
        self.restart(edge.daemons[1])
        self.check_late_write(edge, replica)

    def test_a_late_entry_that_comes_before_the_daemon_starts_is_not_used(self):
        edge, replica = self.start()
        self.leave(edge, replica)
        edge.daemons[1].stop()
        replica.register("ready", seq=8)
        edge.daemons[1].start()
        site.wait_until(edge.daemons[1].is_ready, "the daemon is ready again", check=edge.daemons[1].process)
        time.sleep(0.5)
        self.assert_unused(edge, replica)

    def test_a_replica_that_drained_first_is_not_used_either(self):
        edge, replica = self.start()
        replica.register("draining", seq=9)
        self.leave(edge, replica)
        self.restart(edge.daemons[1])
        self.check_late_write(edge, replica)

    def test_what_was_learned_is_handed_on_when_all_daemons_restart_in_turn(self):
        edge, replica = self.start(daemons=3)
        self.leave(edge, replica)
        for daemon in edge.daemons:
            self.restart(daemon)
            time.sleep(0.5)
        self.check_late_write(edge, replica)

    def check_catching_up(self, edge, change):
        """One daemon is cut off from the store at a change, and asks the other, which starts after it."""
        cut_off, restarted = edge.daemons
        self.lose_store(edge, cut_off)
        change()
        self.restart(restarted)

        def ends():
            states = [json.loads(site.call(daemon.metrics, "GET", "/state")[2]) for daemon in edge.daemons]
            return [(state["registry_end"], state["operator_end"]) for state in states]
        site.wait_until(lambda: len(set(ends())) == 1, "the daemon has caught up")
        edge.store.refused.clear()

    # DRAIN: a removal that a daemon had not read when it asked one that had started later, it never read.
    def test_a_daemon_learns_of_a_removal_from_one_that_started_after_it(self):
        edge, replica = self.start()
        self.check_catching_up(edge, replica.leave)
        self.wait_for_all(edge, replica, False)

    def test_a_daemon_learns_of_the_end_of_an_evacuation_from_one_that_started_after_it(self):
        edge, replica = self.start()
        edge.store.put("keyed.op", f"evacuate/{replica.domain}", {})
        time.sleep(0.5)
        self.assert_unused(edge, replica)
        self.check_catching_up(edge, lambda: edge.store.put("keyed.op", f"evacuate/{replica.domain}", None))

        def is_used():
            self.assertEqual(site.request(edge.daemons[0], "/once/a", b"order")[1], 200)
            return replica.offers
        site.wait_until(is_used, "the daemon that was cut off uses the failure domain again")


if __name__ == "__main__":
    unittest.main()
