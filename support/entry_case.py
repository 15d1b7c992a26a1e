"""Shared by tests of replicas' entries in the platform's store."""

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
