"""Clients that keep to no limit, at the callers' address of a daemon with a settings file."""

import unittest

import harness
from uncontrolled import Client, Crowd

BODY_MB = 4  # max_body_size.
PROCESS_MB = 64  # Without the bodies of requests.
NEARLY = (BODY_MB << 20) - 200_000
CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"


class CallersTest(unittest.TestCase):
    def start(self, threads):
        self.site = self.enterContext(harness.Site(harness.SMALL, listen=f"caller_threads = {threads}\n"))
        self.daemon = self.site.daemons[0]
        self.caller = harness.Caller(self.site, "first")

    def chunked(self, number):
        lines = ("POST /v1/services/orders/call HTTP/1.1", "Host: x", f"Authorization: {self.caller.headers['Authorization']}",
                 f"Idempotency-Key: {number}", "Transfer-Encoding: chunked")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def peak_mb(self):
        with open(f"/proc/{self.daemon.process.pid}/status", encoding="ascii") as status:
            return int(next(line for line in status if line.startswith("VmHWM")).split()[1]) / 1024

    def endure(self, clients):
        """Runs the clients; checks that an ordinary request is answered while their connections stay open, and after that."""
        expected = harness.expected_tokens("an ordinary prompt", "v1", 7, 2)

        def is_answered():
            return self.caller.complete("model", "an ordinary prompt", 2, address=self.daemon.callers, attempts=1).tokens == expected

        with Crowd(clients):
            self.assertTrue(self.daemon.is_running())
            harness.wait_until(is_answered, "an ordinary request is answered while the clients are connected")
        harness.wait_until(is_answered, "an ordinary request is answered after the clients")
        self.assertTrue(self.daemon.is_running())

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


if __name__ == "__main__":
    unittest.main()
