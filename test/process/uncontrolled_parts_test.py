"""Requests that name as many parts of a prompt as a head can hold."""

import contextlib
import copy
import http.client
import signal
import time
import unittest

import edge_site as site
import uncontrolled

PARTS = 3980
SLOTS = 8
BUSY_CLIENTS = 800
BUSY_ENGINES = 12
BUSY_PARTS = 1400
BUSY_MEMORY_MB = 110
BUSY_FDS = 4100
WORK_SECONDS = 4
STORE_IP = f"{site.SUBNET}.200"  # As long as most addresses.


class PartsTest(unittest.TestCase):
    def send(self, **prompt):
        """Returns the status of a stream request, or None if the daemon closes the connection without one."""
        with contextlib.suppress(OSError, http.client.HTTPException):
            return site.request(self.daemon, "/stream/a", b"p", **prompt)[1]

    def test_addresses_of_many_parts(self):
        # Fault: the header with the address to save each part to was too long for the library; its exception left the request's place taken for
        # good, and the daemon crashed at a planned stop.
        configuration = copy.deepcopy(site.CONFIGURATION)
        configuration["limits"]["header_bytes"] = 16384
        configuration["services"][0]["engine"].update(slots=SLOTS, max_inflight=SLOTS)
        configuration["services"].append({"name": "store", "kv_store_addr": site.CacheStore(STORE_IP).address, "zone": "zone-0", "kv_tokens": 1000000,
                                          "link_mbps": 10000.0, "max_inflight": 12, "managed": True, "first_ms": 6.0})
        edge = self.enterContext(site.EdgeSite(daemons=1, models=1, configuration=configuration))
        self.daemon = edge.daemons[0]
        site.wait_until(lambda: self.send(**site.PROMPT) == 200 and any(
            "X-Goldcrestwood-Kv-Save" in fields for _, fields, _ in edge.models[0].requests), "parts are saved")
        time.sleep(1)
        parts = ",".join(f"{number % 16:x}:1" for number in range(PARTS))
        prompt = {"X_Goldcrestwood_Model": "m", "X_Goldcrestwood_Token_Usage": "4000,40", "X_Goldcrestwood_Prefix_Hash": parts}
        statuses = [self.send(**prompt) for _ in range(2 * SLOTS)]
        self.assertEqual(statuses, [200] * len(statuses))
        self.assertEqual(self.send(**site.PROMPT), 200)
        self.daemon.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.daemon.process.wait(20), 0)


class PartsInProgressTest(uncontrolled.UncontrolledTest):
    def test_parts_of_many_requests_in_progress(self):
        # Fault: each placement went through the parts of all requests in progress, for each engine and each of its own parts, so that the daemon
        # answered nobody.
        self.start(memory_mb=BUSY_MEMORY_MB, max_fds=BUSY_FDS, models=BUSY_ENGINES)
        for replica in self.edge.models:
            replica.delay = WORK_SECONDS
        clients = []
        for number in range(BUSY_CLIENTS):
            parts = ",".join(f"{number:x}.{part:x}:1" for part in range(BUSY_PARTS))
            fields = ("X-Goldcrestwood-Model: m", f"X-Goldcrestwood-Token-Usage: {BUSY_PARTS},40", f"X-Goldcrestwood-Prefix-Hash: {parts}", "Content-Length: 0")
            clients.append(uncontrolled.Client(self.daemon.front, uncontrolled.head("/stream/a", *fields), reconnects=False))
        self.endure(clients)


if __name__ == "__main__":
    unittest.main()
