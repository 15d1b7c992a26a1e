"""Callers that leave: no replica gets their requests any more, and one that works on a request stops, also by its own deadline."""

import contextlib
import signal
import socket
import time
import unittest

import edge_site

CALLERS = 12
# Replicas that still work this long after the callers have left are not told.
SETTLE_SECONDS = 3
PAUSE_SECONDS = 1.0
# The system counts how long bytes have waited in ticks of its clock.
TICK_MS = 20


def head(path, identifier, length=0, allowed_ms=4000):
    fields = {"Host": "site.example", "X-Goldcrestwood-Request-Id": identifier, "X-Goldcrestwood-Deadline-Ms": str(allowed_ms),
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

    def send_and_stay(self, path, identifiers, allowed_ms):
        """Sends requests while the daemon stands still; returns the statuses of their answers, 0 for none."""
        connections = [connect(self.daemon) for _ in identifiers]
        with self.paused():
            for connection, identifier in zip(connections, identifiers):
                connection.sendall(head(path, identifier, allowed_ms=allowed_ms))
            time.sleep(PAUSE_SECONDS)
        statuses = []
        for connection in connections:
            with connection:
                answer = connection.recv(4096)
                statuses.append(int(answer.split()[1]) if answer else 0)
        return statuses

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

    def test_replicas_do_not_get_the_time_that_a_request_lay_unread(self):
        allowed_ms = 10000
        identifiers = [f"c{number:015x}" for number in range(CALLERS)]
        self.assertEqual(set(self.send_and_stay("/whole/", identifiers, allowed_ms)), {200})
        passed_on = [int(fields["X-Goldcrestwood-Deadline-Ms"]) for replica in self.replicas()
                     for request, fields, _ in replica.requests if request in identifiers]
        self.assertEqual(len(passed_on), CALLERS)
        self.assertLessEqual(max(passed_on), allowed_ms - 1000 * PAUSE_SECONDS + TICK_MS)

    def test_requests_whose_time_passed_before_they_were_read_are_not_sent_on(self):
        identifiers = [f"d{number:015x}" for number in range(CALLERS)]
        # The refusals promise that the requests did not run.
        self.assertEqual(set(self.send_and_stay("/once/", identifiers, 300)), {503})
        self.assertEqual([identifier for identifier in self.offered() if identifier in identifiers], [])

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
