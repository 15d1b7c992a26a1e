"""Clients that send a byte now and then, at the callers' address of a daemon with a settings file."""

import unittest

import uncontrolled
from uncontrolled import Client

THREADS = 8


class SlowCallersTest(uncontrolled.CallersTest):
    def test_bodies_of_a_byte_now_and_then(self):
        # Fault: each byte extended the time of a request, so that a few slow bodies kept all threads.
        self.start(THREADS)
        self.endure([Client(self.daemon.callers, self.chunked(number), b"1\r\nx\r\n", 100_000, pause=1.0) for number in range(3 * THREADS)])


if __name__ == "__main__":
    unittest.main()
