"""Clients whose bodies exceed the limit, or that hold many bodies just short of their end."""

import threading
import unittest

import edge_site as site
import uncontrolled
from uncontrolled import BODY_BYTES, SMALL_FIELDS, Client, chunked, head

CLIENTS = 48
NEARLY = BODY_BYTES - 4096
SMALL = 64 << 10  # Bytes of a body in chunks of one byte.
SMALLEST_MACHINE_MB = 88
PROGRESS_SECONDS = 4


def chunk(size):
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


class BodiesTest(uncontrolled.UncontrolledTest):
    def test_announced_body_over_the_limit_is_refused_from_its_head(self):
        # Guards against storing such a body, and against a run of it.
        self.start()
        clients = [Client(self.daemon.front, head("/once/a", f"Content-Length: {size}"), reconnects=False)
                   for size in (BODY_BYTES + 1, 1 << 40, (1 << 63) - 1) for _ in range(8)]
        self.endure(clients)
        self.assertEqual(self.statuses(clients), {b"413"})

    def test_announced_bodies_far_over_the_limit_are_not_stored(self):
        self.start()
        self.endure([Client(self.daemon.front, head("/once/a", f"Content-Length: {1 << 30}"), b"x" * 65536, 4 << 20) for _ in range(CLIENTS)])

    def test_sent_bodies_far_over_the_limit_are_not_stored(self):
        # The sum of the bodies that are received at once was not bounded.
        self.start()
        self.endure([Client(self.daemon.front, chunked(), chunk(65536), 3 << 20) for _ in range(CLIENTS)])

    def test_bodies_short_of_their_end_in_one_chunk(self):
        # Fault: 48 bodies inside the limit of each exceeded the memory together.
        self.start()
        first = chunked() + b"%x\r\n" % BODY_BYTES
        self.endure([Client(self.daemon.front, first, b"x" * 65536, len(first) + NEARLY, reconnects=False) for _ in range(CLIENTS)])

    def test_bodies_short_of_their_end_in_large_chunks(self):
        self.start()
        piece = chunk(32768)
        self.endure([Client(self.daemon.front, chunked(), piece, len(chunked()) + NEARLY, reconnects=False) for _ in range(CLIENTS)])

    def test_announced_bodies_short_of_their_end(self):
        self.start()
        first = head("/once/a", f"Content-Length: {BODY_BYTES}")
        self.endure([Client(self.daemon.front, first, b"x" * 65536, len(first) + NEARLY, reconnects=False) for _ in range(CLIENTS)])

    def test_bodies_short_of_their_end_in_chunks_of_one_byte(self):
        self.start()
        self.endure([Client(self.daemon.front, chunked(), chunk(1) * 1000, SMALL * 6, reconnects=False) for _ in range(CLIENTS)])

    def test_request_in_progress_is_not_given_up_for_new_ones(self):
        # Guards against ending a request that an upstream works on when memory is short.
        self.start()
        for replica in self.edge.plain:
            replica.delay = PROGRESS_SECONDS
        statuses = []
        fields = {"X_Goldcrestwood_Deadline_Ms": str(uncontrolled.ROUTE_TIMEOUT_MS), "timeout": 30}
        callers = [threading.Thread(target=lambda: statuses.append(site.request(self.daemon, "/once/a", b"x" * (BODY_BYTES // 2), **fields)[1])) for _ in range(3)]
        for caller in callers:
            caller.start()
        site.wait_until(lambda: sum(len(replica.requests) for replica in self.edge.plain) == 4, "the requests are in progress")
        piece = chunk(32768)
        with uncontrolled.Crowd([Client(self.daemon.front, chunked(), piece, len(chunked()) + NEARLY, reconnects=False) for _ in range(CLIENTS)]):
            for caller in callers:
                caller.join()
        self.assertEqual(statuses, [200] * 3)

    def test_the_largest_request_inside_the_limits_is_served(self):
        # Guards against bounds that refuse a client inside the limits when no other is present, also on the smallest machine.
        for body_bytes, memory_mb in ((BODY_BYTES, uncontrolled.MEMORY_MB), (4 << 20, SMALLEST_MACHINE_MB)):
            with self.subTest(body_bytes=body_bytes):
                self.start({**uncontrolled.LIMITS, "max_body_bytes": body_bytes}, memory_mb)
                body = b"x" * body_bytes
                pieces = [body[begin:begin + 7001] for begin in range(0, len(body), 7001)]  # Sent in chunks.
                for _ in range(3):
                    self.assertEqual(site.request(self.daemon, "/once/a", body, X_Padding="x" * 15000)[1], 200)
                    self.assertEqual(site.request(self.daemon, "/once/a", pieces)[1], 200)
                self.assertLess(self.daemon.peak_mb(), memory_mb)
                self.edge.close()

    def test_a_request_in_the_smallest_pieces_is_served(self):
        # Guards against bounds on fields and on the framing of a body that refuse a client inside the limits.
        self.start()
        body = b"0000000000000001\r\nx\r\n" * SMALL
        fields = [f"a: {number}" for number in range(SMALL_FIELDS // 4)]
        client = Client(self.daemon.front, chunked(*fields) + body + b"0\r\n\r\n", reconnects=False)
        with uncontrolled.Crowd([client]):
            site.wait_until(lambda: client.received, "the answer")
        self.assertEqual(self.statuses([client]), {b"200"})
        self.assertEqual(max(len(body) for replica in self.edge.plain for _, _, body in replica.requests), SMALL)


if __name__ == "__main__":
    unittest.main()
