"""Clients that never end a part of a chunked body other than its data."""

import unittest

import uncontrolled
from uncontrolled import Client, chunked

CLIENTS = 8
BYTES = 12 << 20  # Of each client.


class FramingTest(uncontrolled.UncontrolledTest):
    """Fault: the buffer of a connection had no maximum, and such a part is kept until its end."""

    def flood(self, first, piece):
        self.start()
        self.endure([Client(self.daemon.front, first, piece, BYTES) for _ in range(CLIENTS)])

    def test_trailers_that_never_end(self):
        self.flood(chunked() + b"5\r\norder\r\n0\r\n", b"X-Noise: 0123456789abcdef\r\n" * 200)

    def test_one_trailer_that_never_ends(self):
        self.flood(chunked() + b"5\r\norder\r\n0\r\nX-Noise: ", b"0123456789abcdef" * 500)

    def test_chunk_size_that_never_ends(self):
        self.flood(chunked(), b"0" * 8000)

    def test_chunk_extensions_that_never_end(self):
        self.flood(chunked() + b"5", b";name=value" * 700)

    def test_chunk_extensions_without_a_body_worth_them(self):
        # Fault: each chunk could have an extension as long as the buffer, so that a body inside the limit took thousands of times its bytes.
        self.start()
        piece = b"1;" + b"x" * 4000 + b"\r\nx\r\n"
        clients = [Client(self.daemon.front, chunked(), piece, BYTES // 4, reconnects=False) for _ in range(CLIENTS)]
        self.endure(clients)
        self.assertEqual(sum(client.was_closed for client in clients), CLIENTS)

    def test_head_that_never_ends(self):
        self.flood(uncontrolled.head()[:-2], b"X-Noise: 0123456789abcdef\r\n" * 200)


if __name__ == "__main__":
    unittest.main()
