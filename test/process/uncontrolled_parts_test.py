"""Requests that name as many parts of a prompt as a head can hold."""

import contextlib
import copy
import http.client
import signal
import time
import unittest

import edge_site as site

PARTS = 3980
SLOTS = 8
STORE_IP = f"{site.SUBNET}.200"


def cache_store():
    """Returns a cache store at an address as long as most."""
    store = site.CacheStore()
    store.server.abort()
    store.server = site.Server(STORE_IP, store, site.CacheStoreHandler)
    store.address = store.server.address
    return store


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
        configuration["services"].append({"name": "store", "kv_store_addr": cache_store().address, "zone": "zone-0", "kv_tokens": 1000000,
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


if __name__ == "__main__":
    unittest.main()
