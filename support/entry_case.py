"""Shared by tests of replicas' entries in the platform's store."""

import json
import time
import unittest

import edge_site as site

# Longer than a daemon takes to hear of an entry.
WATCH_SECONDS = 1.5


class EntryTest(unittest.TestCase):
    def assert_unused(self, edge, replica):
        """Checks that no daemon sends orders to the replica, which all would prefer."""
        before = len(replica.offers)
        end = time.monotonic() + WATCH_SECONDS
        while time.monotonic() < end:
            for daemon in edge.daemons:
                self.assertEqual(site.request(daemon, "/once/a", b"order")[1], 200)
        self.assertEqual(replica.offers[before:], [])


class DepartedEntryTest(EntryTest):
    """Tests of a replica that leaves and whose last entry is written late."""

    def start(self, daemons=2):
        """Starts a site; returns it with a replica that has renewed its entry."""
        edge = self.enterContext(site.EdgeSite(daemons=daemons, models=1))
        replica = edge.plain[0]
        replica.register("ready", seq=5)
        # Requests prefer the other replica as soon as that one counts as ready.
        edge.plain[1].delay = 0.05
        self.wait_for_all(edge, replica, True)
        replica.register("ready", seq=9, cold_left_ms=1)
        return edge, replica

    def wait_for_all(self, edge, replica, is_listed):
        def states():
            return [json.loads(site.call(daemon.metrics, "GET", "/state")[2])["upstreams"] for daemon in edge.daemons]
        site.wait_until(lambda: all((replica.id in state) == is_listed for state in states()), f"{replica.id} is listed: {is_listed}")

    def leave(self, edge, replica):
        replica.leave()
        self.wait_for_all(edge, replica, False)

    def lose_store(self, edge, daemon):
        """Ends the daemon's calls to the store, and refuses further ones."""
        edge.store.refused.add(daemon.store_address)
        next(server for server in edge.store.servers if server.address == daemon.store_address).end_connections()

    def restart(self, daemon):
        daemon.stop()
        daemon.start()
        site.wait_until(daemon.is_ready, "the daemon is ready again", check=daemon.process)

    def check_late_write(self, edge, replica):
        """A late entry brings the replica back nowhere; its next own entry does everywhere."""
        time.sleep(0.5)
        replica.register("ready", seq=8)
        self.assert_unused(edge, replica)
        replica.register("ready", seq=10)
        self.wait_for_all(edge, replica, True)
