"""Configurations of many routes over slow links: they come into force however long their transfer takes."""

import copy
import json
import socket
import struct
import time
import unittest

import edge_site
from soak_proxy import Proxy

ROUTES = 2800
# The transfer takes longer than a held read of the store and its answer may together.
TRANSFER_SECONDS = 6
TIMEOUT_SECONDS = 40
# Queries between daemons for all records of the operator: msgpack arrays of the fields.
QUERY_FOR_ALL = b"\x97\x00\x00\xc2\x00\x00\x00\x00"
QUERY_FOR_ALL_COMPRESSED = b"\x98\x00\x00\xc2\x00\x00\x00\x00\xc3"


def grown_configuration(version):
    """Returns the configuration with many more routes."""
    configuration = copy.deepcopy(edge_site.CONFIGURATION)
    configuration["version"] = version
    safe = next(route for route in configuration["routes"] if route["kind"] == "safe")
    configuration["routes"] += [{**safe, "name": f"added-{number}", "path_prefix": f"/added-{number}/"} for number in range(ROUTES)]
    return configuration


class SlowLinkTest(unittest.TestCase):
    def start(self, daemons, slow, transfer_seconds=TRANSFER_SECONDS):
        """Starts a site in which the first daemons get records from the store over slow links."""
        proxies = []

        def link(address):
            proxies.append(Proxy(address))
            return proxies[-1].address

        self.site = self.enterContext(edge_site.EdgeSite(daemons=daemons, link=link))
        for proxy in proxies:
            self.addCleanup(proxy.stop)
        configuration = grown_configuration(edge_site.CONFIGURATION["version"] + 1)
        for daemon in self.site.daemons[:slow]:
            proxy = next(proxy for proxy in proxies if proxy.address == daemon.store_address)
            proxy.bytes_per_second = len(json.dumps(configuration)) / transfer_seconds
        return configuration

    def wait_until_served(self, daemon):
        edge_site.wait_until(lambda: edge_site.request(daemon, f"/added-{ROUTES - 1}/", method="GET")[1] == 200,
                             f"{daemon.node} serves an added route", TIMEOUT_SECONDS)

    def events(self, daemon, name):
        return [line for line in daemon.log_lines() if line["event"] == name]

    def test_a_large_configuration_over_a_slow_link_comes_into_force(self):
        configuration = self.start(daemons=1, slow=1)
        self.site.store.put("keyed.op", "config", configuration)
        self.wait_until_served(self.site.daemons[0])
        self.assertEqual(self.events(self.site.daemons[0], "store_lost"), [])

    def test_a_transfer_that_trickles_is_given_up_and_logged_with_its_bytes(self):
        configuration = self.start(daemons=1, slow=1, transfer_seconds=10 * TRANSFER_SECONDS)
        self.site.store.put("keyed.op", "config", configuration)
        # The registry's read shares the slow link; its short answer may be lost first, before any of its bytes has arrived.
        lost = edge_site.wait_until(lambda: [line for line in self.events(self.site.daemons[0], "store_lost") if line["topic"] == "keyed.op"],
                                    "the read ends", TIMEOUT_SECONDS)[0]
        self.assertIn("no whole answer", lost["reason"])
        self.assertGreater(lost["received_bytes"], 0)
        self.assertGreater(lost["after_ms"], 0)

    def answer_bytes(self, daemon, query):
        """Returns the size of a daemon's answer to a peer's query."""
        host, _, _ = daemon.front.rpartition(":")
        with socket.create_connection((host, 7000), timeout=10) as connection:
            connection.sendall(struct.pack(">I", len(query)) + query)
            return struct.unpack(">I", connection.recv(4, socket.MSG_WAITALL))[0]

    def test_a_large_configuration_takes_a_fraction_of_its_size_between_daemons(self):
        configuration = self.start(daemons=1, slow=0)
        self.site.store.put("keyed.op", "config", configuration)
        self.wait_until_served(self.site.daemons[0])
        size = len(json.dumps(configuration))
        # Daemons of earlier releases do not send the last field.
        self.assertGreater(self.answer_bytes(self.site.daemons[0], QUERY_FOR_ALL), size)
        self.assertLess(self.answer_bytes(self.site.daemons[0], QUERY_FOR_ALL_COMPRESSED), size / 5)

    def test_a_read_that_makes_progress_is_not_aborted_because_a_peer_is_ahead(self):
        configuration = self.start(daemons=2, slow=1)
        # A daemon that does not know the site yet asks its peers for records anyway.
        for daemon in self.site.daemons:
            edge_site.wait_until(lambda: self.events(daemon, "site_known"), f"{daemon.node} knows the site")
        self.site.store.put("keyed.op", "config", configuration)
        for daemon in self.site.daemons:
            self.wait_until_served(daemon)
        time.sleep(TRANSFER_SECONDS)
        self.assertEqual(self.events(self.site.daemons[0], "store_lost"), [])


if __name__ == "__main__":
    unittest.main()
