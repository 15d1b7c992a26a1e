"""Many requests at once whose heads name as many parts of a prompt as they can."""

import unittest

import uncontrolled
from uncontrolled import Client, head

CLIENTS = 360
MAX_FDS = 1024
WORK_SECONDS = 3
PARTS = ",".join(f"{number:x}:7" for number in range(2000))[:14500].rpartition(",")[0]


class HeadsTest(uncontrolled.UncontrolledTest):
    def test_heads_that_decode_to_many_times_their_bytes(self):
        # Fault: the account of memory counted a head with its bytes, but the parts in it take ten times as much.
        self.start(max_fds=MAX_FDS)
        for replica in self.edge.models:
            replica.delay = WORK_SECONDS
        fields = ("X-Goldcrestwood-Model: m", "X-Goldcrestwood-Token-Usage: 1000,40", f"X-Goldcrestwood-Prefix-Hash: {PARTS}", "Content-Length: 0")
        self.endure([Client(self.daemon.front, head("/stream/a", *fields), reconnects=False) for _ in range(CLIENTS)])


if __name__ == "__main__":
    unittest.main()
