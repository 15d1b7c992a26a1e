"""Clients that announce the largest bodies, send parts of different size, and connect anew when they are closed."""

import unittest

import uncontrolled
from uncontrolled import Client, head

CLIENTS = 100
MAX_FDS = 512
MEMORY_MB = 40
BODY_BYTES = 4 << 20
BODIES = 12  # Of each client.


class ReuseTest(uncontrolled.UncontrolledTest):
    def test_memory_of_bodies_that_were_given_up_returns_to_the_system(self):
        # Fault: each body reserves what it announces; parts of reserved memory that had been used and freed stayed with the process.
        self.start({**uncontrolled.LIMITS, "max_body_bytes": BODY_BYTES}, MEMORY_MB, MAX_FDS)
        first = head("/once/a", f"Content-Length: {BODY_BYTES}")
        self.endure([Client(self.daemon.front, first, b"x" * 65536, BODIES * (len(first) + BODY_BYTES * (1 + number % 7) // 8)) for number in range(CLIENTS)])


if __name__ == "__main__":
    unittest.main()
