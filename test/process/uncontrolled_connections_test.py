"""Many connections at once: idle, with heads a byte at a time, with requests behind a slow one, and with Upgrade."""

import unittest

import uncontrolled
from uncontrolled import MAX_FDS, Client, head

IDLE = 160  # More than max_fds.
BEGUN = b"GET / HTTP/1.1\r\nHost: x\r\n"  # A head that does not end.


class ConnectionsTest(uncontrolled.UncontrolledTest):
    def test_idle_connections(self):
        # Fault: connections were accepted until no descriptor was left for upstreams and the other listeners.
        self.start()
        self.endure([Client(self.daemon.front, head("/safe/a", method="GET"), reconnects=False) for _ in range(IDLE)])

    def test_heads_a_byte_at_a_time(self):
        self.start()
        self.endure([Client(self.daemon.front, b"GET /", b"a", 50, reconnects=False, pause=0.02) for _ in range(IDLE)])

    def test_idle_connections_to_the_other_listeners(self):
        for listener, first in (("ready", BEGUN), ("directory", BEGUN), ("metrics", BEGUN), ("peers", b"\0")):
            with self.subTest(listener):
                self.start()
                try:
                    self.endure([Client(getattr(self.daemon, listener), first, reconnects=False) for _ in range(IDLE)])
                finally:
                    self.edge.close()

    def test_requests_behind_a_slow_one(self):
        # Guards against storing what comes behind a request in progress.
        self.start()
        for replica in self.edge.plain:
            replica.delay = 0.2
        piece = b"".join(head("/once/a", "Content-Length: 4") + b"body" for _ in range(200))
        self.endure([Client(self.daemon.front, piece, piece, 4 << 20, reconnects=False) for _ in range(24)])

    def test_upgrade_requests(self):
        # Guards against a connection that leaves HTTP and is then read without a bound.
        self.start()
        for protocol, connection in (("websocket", "Upgrade"), ("h2c", "Upgrade, HTTP2-Settings"), ("TLS/1.0", "Upgrade")):
            first = head("/safe/a", f"Connection: {connection}", f"Upgrade: {protocol}", "HTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA", method="GET")
            clients = [Client(self.daemon.front, first, b"\x82\xfe" * 8000, 2 << 20, reconnects=False) for _ in range(16)]
            self.endure(clients)
            self.assertNotIn(b"101", self.statuses(clients))


class EnforcedDescriptorsTest(uncontrolled.UncontrolledTest):
    hard_descriptor_limit = True

    def test_idle_connections(self):
        # Fault: no descriptor was left to send a request on, or to take one.
        self.start()
        with uncontrolled.Crowd([Client(self.daemon.front, head("/safe/a", method="GET"), reconnects=False) for _ in range(MAX_FDS * 2)]):
            self.assert_serves("while the clients are connected")
        self.assert_serves("after the clients")


if __name__ == "__main__":
    unittest.main()
