"""Incomplete and invalid answers of replicas, through a real entry daemon: no caller gets a part or an invalid status as an answer."""

import copy
import http.client
import itertools
import os
import socket
import struct
import time
import unittest

import edge_site as site

# More than the socket buffers between a daemon and a replica that does not read: 3 MB fit into them, so the write did not fail.
UPLOAD = b"u" * (12 << 20)
PART = b"".join(site.event(number) for number in range(1, 4))
# How much of an upload a replica reads before its answer is reset: the connection breaks during the upload, or just after it.
UPLOAD_READS = (65536, len(UPLOAD) - 1, len(UPLOAD))
ROUNDS = 3
# Paths of a route that runs a request once, one that may repeat it, a resumable stream and one that runs once.
PATHS = ("/once/a", "/safe/a", "/stream/a", "/whole/a")
# 101 is valid only if the request asked for an upgrade.
STATUSES = ("000", "099", "1000", "20", "2x0", "101", "600", "999")


class FaultyHandler(site.ReplicaHandler):
    """Gives requests with the replica's `fault` to that function of the handler and the request's id."""

    calls = 0

    def do_POST(self):
        replica = self.server.owner
        self.calls += 1
        if self.path == "/order" or not replica.fault:
            return super().do_POST()
        request = self.headers["X-Goldcrestwood-Request-Id"]
        replica.requests.append((request, self.calls, None))
        self.close_connection = True
        return replica.fault(self, request)

    def head(self, status, request, *fields):
        seal = f"X-Goldcrestwood-Response-Seal: {self.server.owner.id}.{request}"
        lines = (f"HTTP/1.1 {status} Some", f"X-Goldcrestwood-Request-Id: {request}", seal, *fields)
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def reset(self):
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        os.close(self.connection.detach())


def reset_after(read_bytes, pause):
    """Returns a fault: an early 200 without length, of which a part is sent before the connection is reset."""
    def fault(handler, request):
        handler.rfile.read(read_bytes)
        handler.wfile.write(handler.head(200, request, "Content-Type: text/event-stream", "Connection: close") + PART)
        handler.wfile.flush()
        time.sleep(pause)
        handler.reset()
    return fault


def invalid(status, framing):
    """Returns a fault: an answer with an invalid status."""
    def fault(handler, request):
        handler.body()
        inner = handler.head(200, request, "Content-Length: 4") + b"fake"
        if framing == "length":
            handler.wfile.write(handler.head(status, request, f"Content-Length: {len(inner)}") + inner)
        elif framing == "none":
            handler.wfile.write(handler.head(status, request, "Connection: close") + b"part")
        else:
            handler.wfile.write(handler.head(status, request, "Content-Length: 0"))
        handler.wfile.flush()
        # The connection stays open, as a caller must not depend on its end.
        if framing != "none":
            handler.rfile.read(1)
    return fault


class IncompleteAnswerTest(unittest.TestCase):
    def setUp(self):
        configuration = copy.deepcopy(site.CONFIGURATION)
        configuration["limits"]["max_body_bytes"] = 16 << 20
        self.edge = self.enterContext(site.EdgeSite(daemons=1, models=1, plain=1, configuration=configuration))
        self.replicas = [*self.edge.models, *self.edge.plain]
        for replica in self.replicas:
            replica.fault = None
            replica.server.RequestHandlerClass = FaultyHandler

    def outcome(self, path, body):
        """Returns the id, status and body of a caller's request; the status is None if the answer broke off."""
        prompt = site.PROMPT if path in ("/stream/a", "/whole/a") else {}
        try:
            return site.request(self.edge.daemons[0], path, body, **prompt)[1::2]
        except (http.client.HTTPException, ConnectionError):
            return None, b""

    def check(self, path, body, fault, reused):
        """Makes one request that meets the fault; its caller must get 502 or an answer that breaks off, and it runs once."""
        replica = self.edge.models[0] if path in ("/stream/a", "/whole/a") else self.edge.plain[0]
        if reused:
            self.assertEqual(self.outcome(path, b"")[0], 200)
        replica.fault = fault
        before = len(replica.requests)
        try:
            status, answer = self.outcome(path, body)
        finally:
            replica.fault = None
        runs = replica.requests[before:]
        self.assertIn(status, (502, None), answer)
        self.assertNotIn(b"fake", answer)
        self.assertEqual(len(runs), 1, runs)
        self.assertEqual(runs[0][1] > 1, reused, "the fault met the other kind of connection")

    def test_an_answer_that_is_reset_is_not_passed_on_as_complete(self):
        # INCOMPLETE: a write that failed took the connection's error, so the read after it saw a normal end of the body.
        for path, read_bytes, reused in itertools.product(PATHS, UPLOAD_READS, (False, True)):
            for _, pause in itertools.product(range(ROUNDS), (0, 0.02)):
                with self.subTest(path=path, read_bytes=read_bytes, reused=reused, pause=pause):
                    self.check(path, UPLOAD, reset_after(read_bytes, pause), reused)

    def test_an_answer_with_an_invalid_status_is_not_passed_on(self):
        # INVALID: 000 counted as interim, so that its body was read as the next answer.
        for path, status, framing, reused in itertools.product(PATHS, STATUSES, ("length", "none", "empty"), (False, True)):
            with self.subTest(path=path, status=status, framing=framing, reused=reused):
                self.check(path, b"order", invalid(status, framing), reused)


if __name__ == "__main__":
    unittest.main()
