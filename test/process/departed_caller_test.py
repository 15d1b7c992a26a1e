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


def head(path, identifier, allowed_ms=4000):
    fields = {"Host": "site.example", "X-Goldcrestwood-Request-Id": identifier, "X-Goldcrestwood-Deadline-Ms": str(allowed_ms),
              "X-Goldcrestwood-Key": "key-one", "Content-Length": "0"}
    return (f"POST {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items()) + "\r\n").encode()


def connect(daemon):
    host, _, port = daemon.front.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=10)


class DepartedCallerTest(unittest.TestCase):
    def setUp(self):
        self.site = self.enterContext(edge_site.EdgeSite(daemons=1))
        self.daemon = self.site.daemons[0]
        # The daemon keeps connections to replicas of both services.
        for path in ("/whole/", "/once/"):
            self.assertEqual(edge_site.request(self.daemon, path, b"")[1], 200)

    def replicas(self):
        return self.site.models + self.site.plain

    def offered(self):
        return [request for replica in self.replicas() for _, request in replica.offers]

    def log(self, event):
        return [line for line in self.daemon.log_lines() if line["event"] == event]

    @contextlib.contextmanager
    def paused(self):
        self.daemon.process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            self.daemon.process.send_signal(signal.SIGCONT)

    def send_while_paused(self, paths, allowed_ms=4000, leave=False):
        """Sends requests while the daemon stands still, and leaves or reads the answers; returns the ids and statuses."""
        connections = {f"a{number:015x}": connect(self.daemon) for number in range(CALLERS)}
        with self.paused():
            for number, (identifier, connection) in enumerate(connections.items()):
                connection.sendall(head(paths[number % len(paths)], identifier, allowed_ms=allowed_ms))
                if leave:
                    connection.close()
            time.sleep(PAUSE_SECONDS)
        statuses = set()
        for connection in connections.values() if not leave else ():
            with connection:
                statuses.add(int(connection.recv(4096).split()[1]))
        return set(connections), statuses

    def test_requests_of_callers_that_left_before_they_were_read_are_not_sent_on(self):
        identifiers, _ = self.send_while_paused(["/whole/", "/once/"], leave=True)
        edge_site.wait_until(self.daemon.is_ready, "the daemon runs again")
        time.sleep(SETTLE_SECONDS)
        self.assertEqual(identifiers.intersection(self.offered()), set())

    def test_replicas_do_not_get_the_time_that_a_request_lay_unread(self):
        allowed_ms, paused_ms = 10000, 1000 * PAUSE_SECONDS - TICK_MS
        identifiers, statuses = self.send_while_paused(["/whole/"], allowed_ms)
        self.assertEqual(statuses, {200})
        passed_on = [int(fields["X-Goldcrestwood-Deadline-Ms"]) for replica in self.replicas()
                     for request, fields, _ in replica.requests if request in identifiers]
        self.assertEqual(len(passed_on), CALLERS)
        self.assertLessEqual(max(passed_on), allowed_ms - paused_ms)

        def unread():
            return [line["unread_ms"] for line in self.log("request_attempt") if line["request"] in identifiers]

        edge_site.wait_until(lambda: len(unread()) == CALLERS, "the attempts are logged")
        self.assertGreaterEqual(min(unread()), paused_ms)
        self.assertGreater(max(line["delay_ms"] for line in self.log("loop_late")), paused_ms / 2)

    def test_requests_whose_time_passed_before_they_were_read_are_not_sent_on(self):
        identifiers, statuses = self.send_while_paused(["/once/"], allowed_ms=300)
        # The refusals promise that the requests did not run.
        self.assertEqual(statuses, {503})
        self.assertEqual(identifiers.intersection(self.offered()), set())

    def test_bytes_behind_a_request_do_not_hide_that_its_caller_left(self):
        for replica in self.site.models:
            replica.pieces, replica.gap = 100, 0.1
        connection = connect(self.daemon)
        connection.sendall(head("/whole/", "b000000000000001"))
        edge_site.wait_until(lambda: "b000000000000001" in self.offered(), "the stream begins")
        connection.sendall(head("/whole/", "b000000000000002"))
        time.sleep(0.3)
        connection.shutdown(socket.SHUT_WR)

        edge_site.wait_until(lambda: any(line["client_gone"] for line in self.log("request_attempt")), "the attempt ends", SETTLE_SECONDS)
        connection.close()
        self.assertNotIn("b000000000000002", self.offered())


if __name__ == "__main__":
    unittest.main()
