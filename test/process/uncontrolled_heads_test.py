"""Many requests at once whose heads or trailers take many times their bytes in memory."""

import unittest

import uncontrolled
from uncontrolled import SMALL_FIELDS, Client, chunked, head

CLIENTS = 360
MAX_FDS = 1024
WORK_SECONDS = 3
FIELDS = b"a:\r\n" * SMALL_FIELDS  # Each of these is an allocation of its own.
PARTS = ",".join(f"{number:x}:7" for number in range(2000))[:14500].rpartition(",")[0]


class HeadsTest(uncontrolled.UncontrolledTest):
    def test_heads_of_many_small_fields(self):
        # Fault: heads were parsed before they were counted, and the memory of those that were given up counted as free while it was still held.
        self.start(max_fds=MAX_FDS)
        self.endure([Client(self.daemon.front, head("/once/a", "Content-Length: 10")[:-2] + FIELDS + b"\r\n", reconnects=False) for _ in range(CLIENTS)])

    def test_trailers_of_many_small_fields(self):
        # Fault: trailers were stored with the fields of the head, and not counted.
        self.start(max_fds=MAX_FDS)
        for replica in self.edge.plain:
            replica.delay = WORK_SECONDS
        self.endure([Client(self.daemon.front, chunked() + b"1\r\nx\r\n0\r\n" + FIELDS + b"\r\n", reconnects=False) for _ in range(CLIENTS)])

    def test_heads_that_decode_to_many_times_their_bytes(self):
        # Fault: the account of memory counted a head with its bytes, but the parts in it take ten times as much.
        self.start(max_fds=MAX_FDS)
        for replica in self.edge.models:
            replica.delay = WORK_SECONDS
        fields = ("X-Goldcrestwood-Model: m", "X-Goldcrestwood-Token-Usage: 1000,40", f"X-Goldcrestwood-Prefix-Hash: {PARTS}", "Content-Length: 0")
        self.endure([Client(self.daemon.front, head("/stream/a", *fields), reconnects=False) for _ in range(CLIENTS)])


if __name__ == "__main__":
    unittest.main()
