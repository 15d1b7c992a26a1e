"""Callers that leave: no replica gets their requests any more, and one that works on a request stops."""

import contextlib
import signal
import socket
import time
import unittest

import edge_site

CALLERS = 12
# Replicas that still work this long after the callers have left are not told.
SETTLE_SECONDS = 3


def head(path, identifier, length=0):
    fields = {"Host": "site.example", "X-Goldcrestwood-Request-Id": identifier, "X-Goldcrestwood-Deadline-Ms": "4000",
              "X-Goldcrestwood-Key": "key-one", "Content-Length": str(length)}
    return (f"POST {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n").encode()


def connect(daemon):
    host, _, port = daemon.front.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10)


class DepartedCallerTest(unittest.TestCase):
    def setUp(self):
        self.site = self.enterContext(edge_site.EdgeSite(daemons=1))
        self.daemon = self.site.daemons[0]
        # The daemon has a connection to every replica afterwards.
        for path in ("/whole/", "/once/"):
            self.assertEqual(edge_site.request(self.daemon, path, b"")[1], 200)

    def replicas(self):
        return self.site.models + self.site.plain

    def offered(self):
        return [request for replica in self.replicas() for _, request in replica.offers]

    @contextlib.contextmanager
    def paused(self):
        self.daemon.process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self.daemon.process.send_signal(signal.SIGCONT)

    def check_not_sent(self, connections, paths):
        """Sends requests while the daemon stands still, leaves, and checks that no replica gets one."""
        identifiers = [f"a{number:015x}" for number in range(len(connections))]
        with self.paused():
            for number, connection in enumerate(connections):
                connection.sendall(head(paths[number % len(paths)], identifiers[number]))
                connection.close()
            time.sleep(0.3)
        edge_site.wait_until(self.daemon.is_ready, "the daemon runs again")
        time.sleep(SETTLE_SECONDS)
        self.assertEqual([identifier for identifier in self.offered() if identifier in identifiers], [])

    def test_requests_of_callers_that_left_before_they_were_read_are_not_sent_on(self):
        self.check_not_sent([connect(self.daemon) for _ in range(CALLERS)], ["/whole/", "/once/"])

    def test_bytes_behind_a_request_do_not_hide_that_its_caller_left(self):
        for replica in self.site.models:
            replica.pieces, replica.gap = 100, 0.1
        connection = connect(self.daemon)
        connection.sendall(head("/whole/", "b000000000000001"))
        edge_site.wait_until(lambda: "b000000000000001" in self.offered(), "the stream begins")
        connection.sendall(head("/whole/", "b000000000000002"))
        time.sleep(0.3)
        connection.shutdown(socket.SHUT_WR)

        def left():
            return [line for line in self.daemon.log_lines() if line["event"] == "request_attempt" and line["client_gone"]]

        edge_site.wait_until(left, "the attempt ends", SETTLE_SECONDS)
        connection.close()
        self.assertNotIn("b000000000000002", self.offered())


if __name__ == "__main__":
    unittest.main()
