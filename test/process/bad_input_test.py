"""Invalid input: the daemon answers with a typed error or closes the connection, and keeps running."""

import json
import socket
import time
import unittest

import harness

PATH = "/v1/completions"
# Three times the receive timeout that the harness sets.
CLOSE_SECONDS = 6


class BadInputTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.site = cls.enterClassContext(harness.Site(harness.SMALL))
        cls.daemon = cls.site.daemons[0]
        cls.caller = harness.Caller(cls.site, "first")

    def tearDown(self):
        self.assertTrue(self.daemon.is_running())
        answer = self.caller.complete("model", "still there", 2, address=self.daemon.callers)
        self.assertEqual(answer.tokens, harness.expected_tokens("still there", "v1", 7, 2), answer)

    def assert_refused(self, body, headers=None, method="POST", path=PATH):
        status, content = harness.call(self.daemon.callers, method, path, body, self.caller.headers | (headers or {}))
        problem = json.loads(content)
        self.assertEqual(problem["executed"], "no", problem)
        return status

    def open(self):
        host, port = self.daemon.callers.split(":")
        return socket.create_connection((host, int(port)), timeout=CLOSE_SECONDS)

    def read_to_end(self, connection):
        """Returns what the daemon sent before it closed the connection; an open connection fails the test by timeout."""
        content = b""
        try:
            while piece := connection.recv(65536):
                content += piece
        except ConnectionError:
            pass
        return content

    def head(self, extra=""):
        return f"POST {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: {self.caller.headers['Authorization']}\r\n{extra}"

    def test_wrong_bodies(self):
        for body in (b"", b"{", b"\xff\xfe", b"[]", b'{"model": 3}', b'{"model": "model"}', b"[" * 20000,
                     b'{"model":"model","prompt":"x","max_tokens":-1}', b'{"model":"model","prompt":"x","stream":"yes"}'):
            with self.subTest(body[:40]):
                self.assertEqual(self.assert_refused(body), 400)

    def test_unknown_names(self):
        self.assertEqual(self.assert_refused({"model": "nobody", "prompt": "x"}), 404)
        self.assertEqual(self.assert_refused({}, path="/v1/services/nobody/call"), 404)
        self.assertEqual(self.assert_refused(None, method="GET", path="/v1/nothing"), 404)

    def test_wrong_keys(self):
        secret = self.site.secret("first")
        for key in ("", "Bearer", "Bearer first", "Bearer first.wrong", f"Bearer second.{secret}", f"Basic first.{secret}"):
            with self.subTest(key):
                self.assertEqual(self.assert_refused({"model": "model", "prompt": "x"}, {"Authorization": key}), 401)

    def test_order_without_key(self):
        path = f"/v1/services/{self.site.plan.plain}/confirm"
        self.assertEqual(self.assert_refused({"item": "x"}, path=path), 400)

    def test_forged_ticket(self):
        self.assertIn(self.assert_refused({"model": "model", "prompt": "x"}, {"Last-Event-ID": "forged"}), (400, 409))

    def test_body_too_large(self):
        with self.open() as connection:
            connection.sendall(self.head(f"Content-Length: {1 << 40}\r\n\r\n").encode() + b"x" * 1000)
            self.assertIn(b" 413 ", self.read_to_end(connection).split(b"\r\n")[0])

    def test_a_request_inside_a_body_of_unknown_length_is_not_read(self):
        inner = b"GET /v1/nothing HTTP/1.1\r\nHost: x\r\n\r\n"
        for fields in ("Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked, identity\r\n",
                       "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 0\r\nContent-Length: 45\r\n"):
            with self.subTest(fields), self.open() as connection:
                connection.sendall(self.head(fields + "\r\n").encode() + inner)
                answer = self.read_to_end(connection)
                self.assertIn(b" 400 ", answer.split(b"\r\n")[0])
                self.assertEqual(answer.count(b"HTTP/1.1 "), 1, answer)

    def test_header_too_long(self):
        with self.open() as connection:
            try:
                connection.sendall(self.head("X-Long: " + "x" * (1 << 20) + "\r\n\r\n").encode())
            except ConnectionError:
                return
            answer = self.read_to_end(connection)
            self.assertTrue(answer == b"" or b" 4" in answer.split(b"\r\n")[0], answer[:200])

    def test_slow_sender(self):
        for content in ("POST /v1/comp", self.head("Content-Length: 100\r\n\r\n") + "{"):
            with self.subTest(content[:20]), self.open() as connection:
                connection.sendall(content.encode())
                answer = self.read_to_end(connection)
                self.assertNotIn(b" 200 ", answer)

    def test_a_chunked_body_that_breaks_off_does_not_run(self):
        # Fault: what had been read of it ran as a whole order.
        fields = "Idempotency-Key: {}\r\nTransfer-Encoding: chunked\r\n\r\n"
        for number, body in enumerate(("5\r\nor", "5\r\norder\r\n", "5\r\norder\r\n5\r\nxx", "zz\r\n", "5\r\norderXX0\r\n\r\n")):
            with self.subTest(body), self.open() as connection:
                head = self.head(fields.format(number)).replace(PATH, "/v1/services/orders/call")
                connection.sendall((head + body).encode())
                connection.shutdown(socket.SHUT_WR)
                self.assertIn(b" 400 ", self.read_to_end(connection).split(b"\r\n")[0])

    def test_connection_dropped_mid_request(self):
        for content in ("POST", self.head(), self.head("Content-Length: 100\r\n\r\n") + "{"):
            with self.open() as connection:
                connection.sendall(content.encode())
        body = json.dumps({"model": "model", "prompt": "dropped", "max_tokens": 2000, "stream": True}).encode()
        with self.open() as connection:
            connection.sendall(self.head(f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            self.assertTrue(connection.recv(10))
        time.sleep(0.2)


if __name__ == "__main__":
    unittest.main()
