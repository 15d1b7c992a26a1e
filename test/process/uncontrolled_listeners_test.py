"""The same clients against the listeners that are not for callers' requests."""

import unittest

import uncontrolled
from uncontrolled import Client

CLIENTS = 32
BYTES = 6 << 20  # Of each client.
MANY_CLIENTS = 100
MANY_FDS = 4100
FIELDS = b"a:\r\n" * 1900  # Less than the listeners' limit on a head.
CHUNKED = b"POST /readyz HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"


class ListenersTest(uncontrolled.UncontrolledTest):
    def flood(self, first, piece):
        """Floods one listener after the other with a process of its own."""
        for listener in ("ready", "directory", "metrics"):
            with self.subTest(listener):
                self.start()
                print(listener, end=" ")
                try:
                    self.endure([Client(getattr(self.daemon, listener), first, piece, BYTES) for _ in range(CLIENTS)])
                finally:
                    self.edge.close()

    def test_trailers_that_never_end(self):
        self.flood(CHUNKED + b"0\r\n", b"X-Noise: 0123456789abcdef\r\n" * 200)

    def test_heads_of_many_small_fields(self):
        # Fault: each field took twenty times its bytes, on as many connections as the descriptors allow.
        self.start(max_fds=MANY_FDS)
        first = b"GET /readyz HTTP/1.1\r\n" + FIELDS
        listeners = (self.daemon.ready, self.daemon.directory, self.daemon.metrics)
        self.endure([Client(listener, first, reconnects=False) for listener in listeners for _ in range(MANY_CLIENTS)])

    def test_chunk_size_that_never_ends(self):
        self.flood(CHUNKED, b"0" * 8000)

    def test_bodies_that_never_end(self):
        self.flood(CHUNKED, b"%x\r\n%s\r\n" % (16384, b"x" * 16384))

    def test_many_bodies_short_of_their_end(self):
        self.flood(b"POST /readyz HTTP/1.1\r\nHost: x\r\nContent-Length: 1048576\r\n\r\n", b"x" * 16384)

    def test_frames_of_peers_that_do_not_end(self):
        # A frame may have 8 MiB, and the sum of the frames was not bounded.
        self.start()
        self.endure([Client(self.daemon.peers, (8 << 20).to_bytes(4, "big"), b"\x80" * 65536, BYTES, reconnects=False) for _ in range(CLIENTS)])


if __name__ == "__main__":
    unittest.main()
