"""Clients that keep to no limit, at the callers' address of a daemon with a settings file."""

import unittest

import uncontrolled
from uncontrolled import Client

BODY_MB = 4  # max_body_size.
PROCESS_MB = 64  # Without the bodies of requests.
NEARLY = (BODY_MB << 20) - 200_000
CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"


class CallersTest(uncontrolled.CallersTest):
    def test_bodies_short_of_their_end(self):
        # Fault: each thread kept what its largest bodies had taken while they grew, several times their size.
        threads = 32
        self.start(threads)
        self.endure([Client(self.daemon.callers, self.chunked(number), CHUNK, NEARLY, reconnects=False) for number in range(2 * threads)])
        print(f"peak {self.peak_mb():.0f} MB", flush=True)
        # A body that grows is copied to twice its size.
        self.assertLess(self.peak_mb(), PROCESS_MB + 2 * threads * BODY_MB)

    def test_bodies_over_the_limit_that_do_not_end(self):
        # Fault: such a body was refused and then read on, in case that another request came behind it.
        threads = 8
        self.start(threads)
        self.endure([Client(self.daemon.callers, self.chunked(number), CHUNK, 1 << 40) for number in range(3 * threads)])

    def test_bodies_of_a_byte_now_and_then(self):
        # Fault: each byte extended the time of a request, so that a few slow bodies kept all threads.
        threads = 8
        self.start(threads)
        self.endure([Client(self.daemon.callers, self.chunked(number), b"1\r\nx\r\n", 100_000, pause=1.0) for number in range(3 * threads)])


if __name__ == "__main__":
    unittest.main()
