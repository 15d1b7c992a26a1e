"""Incomplete, invalid and forged answers of replicas, through a real entry daemon: no caller gets one of them as the answer."""

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
ID, SEAL, NOT_RUN = "X-Goldcrestwood-Request-Id: {request}", "X-Goldcrestwood-Response-Seal: s.{request}", "X-Goldcrestwood-Not-Executed: 1"
EMPTY_SEALS = ("X-Goldcrestwood-Response-Seal:", "X-Goldcrestwood-Response-Seal: \t ")
# Second lines of fields that an answer has once; they contradict the first, or repeat it.
REPEATED = ("X-Goldcrestwood-Request-Id: 0123456789abcdef", "X-Goldcrestwood-Response-Seal: t.{request}", ID, SEAL)
# Sound replicas encode no body, whatever the coding.
ENCODINGS = ("Content-Encoding: gzip", "Content-Encoding: br", "Content-Encoding: identity", "Content-Encoding:")
# Heads of answers that are not the replica's, or refuse a request that it has run: the status and the fields.
FORGED = (
    *((status, ()) for status in (200, 201, 204, 206, 400, 408, 421, 429, 500, 503)),
    (200, (ID,)), (204, (ID,)), (200, (SEAL,)), (200, (ID, SEAL, NOT_RUN)), (503, (NOT_RUN,)), (503, (SEAL, NOT_RUN)),
    *((status, (ID, SEAL)) for status in (408, 429, 503)), (503, (ID,)),
    *((200, (ID, seal)) for seal in EMPTY_SEALS),
    *((200, (ID, SEAL, line)) for line in REPEATED), (503, (ID, NOT_RUN, REPEATED[0])),
    *((200, (ID, SEAL, encoding)) for encoding in ENCODINGS), (500, (ID, SEAL, ENCODINGS[0])), (503, (ID, NOT_RUN, ENCODINGS[0])),
)
# Behind the body they say nothing of it, and end no connection.
TRAILERS = {"Content-Encoding": "gzip", "X-Goldcrestwood-Response-Seal": "other", "Server-Leaving": "1", "X-Trailer": "1"}
DRAIN_SECONDS = 2  # A replica that leaves still serves for this long.
# What the sender of a forged head says of itself: nobody may send to it any more.
CLAIMS = ("Server-Leaving: 1", "Server-Limit: 0.01", "X-Goldcrestwood-Server-Load: 99,99,1", "Retry-After: 60")


class FaultyHandler(site.ReplicaHandler):
    """Gives requests with the replica's `fault` to that function of the handler and the request's id, and forges answers to calls."""

    calls = 0

    def do_GET(self):
        replica = self.server.owner
        if not replica.forges_calls or not self.path.startswith(("/kv-", "/report")):
            return super().do_GET()
        replica.forged_calls += 1
        return self.answer(200, b"ok\n", [claim.split(": ") for claim in CLAIMS])

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


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def broken_off(handler, request):
    """Sends a part of a stream and ends the connection in order, so that the part arrives."""
    handler.body()
    handler.wfile.write(handler.head(200, request, "Content-Type: text/event-stream", "Transfer-Encoding: chunked") + chunk(PART))


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


def forged(status, fields, framing):
    """Returns a fault: the request runs, and a forged head with a body comes; a connection that may not be kept stays open."""
    def fault(handler, request):
        handler.body()
        names_request = ID in fields and status >= 300
        lines = [f"HTTP/1.1 {status} Some", *(field.format(request=request) for field in fields), *(("Connection: close",) if names_request else CLAIMS)]
        body = PART + b"id: 4\ndata: fake\n\n" if status != 204 else b""
        if framing == "chunks" and body:
            lines.append("Transfer-Encoding: chunked")
            body = chunk(body) + b"0\r\n\r\n"
        elif framing != "connection":
            lines.append(f"Content-Length: {len(body)}")
        handler.wfile.write("\r\n".join((*lines, "Content-Type: text/event-stream", "", "")).encode() + body)
        handler.wfile.flush()
        if framing != "connection" and not names_request:
            handler.rfile.read(1)
    return fault


def with_trailers(handler, request):
    """Answers with a whole body in chunks, and with trailers."""
    body = b"".join(site.event(number) for number in range(1, 6))
    head = handler.head(200, request, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
    handler.wfile.write(head + chunk(body) + b"0\r\n" + "".join(f"{name}: {value}\r\n" for name, value in TRAILERS.items()).encode() + b"\r\n")


class IncompleteAnswerTest(unittest.TestCase):
    def setUp(self):
        configuration = copy.deepcopy(site.CONFIGURATION)
        configuration["limits"]["max_body_bytes"] = 16 << 20
        self.edge = self.enterContext(site.EdgeSite(daemons=1, models=1, plain=1, configuration=configuration, bounds="retry_slack = 300\n"))
        self.replicas = [*self.edge.models, *self.edge.plain]
        for replica in self.replicas:
            replica.fault = None
            replica.forges_calls, replica.forged_calls = False, 0
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

    def test_a_forged_answer_is_not_passed_on(self):
        # MIXED: it was a success if it came first on its connection, or with the request's id. REFUSED: 503 for an order that had run.
        heads = [(*head, framing) for head in FORGED for framing in ("length", "chunks", "connection") if framing == "length" or head[0] < 300]
        for path, (status, fields, framing), reused in itertools.product(PATHS, heads, (False, True)):
            with self.subTest(path=path, status=status, fields=fields, framing=framing, reused=reused):
                self.check(path, b"order", forged(status, fields, framing), reused)
                self.assertEqual(self.outcome(path, b"order")[0], 200, "its claims count for nothing")
                for replica in self.replicas:
                    replica.server.end_connections()

    def test_a_forged_answer_moves_what_may_be_repeated_to_another_replica(self):
        for kind, replicas, path in (("plain", self.edge.plain, "/safe/a"), ("streaming", self.edge.models, "/stream/a")):
            replicas = (replicas[0], self.add_replica(replicas[0].service, kind))
            for status, fields in FORGED:
                with self.subTest(path=path, status=status, fields=fields):
                    seen, answer, left = self.outcome_of_faults(replicas, path, [forged(status, fields, "length")])
                    self.assertEqual((seen, left), (200, []), answer)
                    self.assertNotIn(b"fake", answer)

    def test_a_forged_answer_does_not_resume_a_stream(self):
        # MIXED, ORDER: the head at which a stream goes on is not relayed, so the caller could not tell that it was forged, or that there
        # was no stream.
        replicas = (self.edge.models[0], self.add_replica("model", "streaming"))
        for status, fields in (*FORGED, (204, (ID, SEAL))):
            with self.subTest(status=status, fields=fields):
                # The route allows two sends, so the stream breaks off.
                seen, answer, left = self.outcome_of_faults(replicas, "/stream/a", [broken_off, forged(status, fields, "length")])
                self.assertEqual((seen, left), (None, []), answer)

    def add_replica(self, service, kind):
        replica = site.Replica(self.edge.store, 7, service, kind, "zone-0")
        replica.fault, replica.forges_calls = None, False
        replica.server.RequestHandlerClass = FaultyHandler
        site.wait_until(lambda: replica.id.encode() in site.call(self.edge.daemons[0].metrics, "GET", "/state")[2], "the other replica is listed")
        return replica

    def outcome_of_faults(self, replicas, path, faults):
        """Makes one request whose sends meet the faults in turn, at whichever replica; returns its status and body, and the faults that are left."""
        for replica in replicas:
            replica.fault = lambda handler, request: self.fault_once(faults, handler, request)
        return *self.outcome(path, b"order"), faults

    def test_the_trailers_of_an_answer_are_not_passed_on_as_its_head(self):
        # MIXED: a success came with a second signature and a content coding, which stood behind its body.
        for path in PATHS:
            with self.subTest(path=path):
                replica = self.edge.models[0] if path in ("/stream/a", "/whole/a") else self.edge.plain[0]
                replica.fault = with_trailers
                prompt = site.PROMPT if replica is self.edge.models[0] else {}
                identifier, status, headers, answer = site.request(self.edge.daemons[0], path, b"order", **prompt)
                self.assertEqual((status, answer.count(b"id: ")), (200, 5))
                self.assertEqual(headers.get_all("X-Goldcrestwood-Response-Seal"), [f"{replica.id}.{identifier}"])
                self.assertEqual(TRAILERS.keys() & headers.keys(), {"X-Goldcrestwood-Response-Seal"})

    def test_the_claims_of_a_forged_answer_to_a_call_count_for_nothing(self):
        # Its head took the replica out, though its body was no answer to the call.
        replica = self.edge.models[0]
        replica.forges_calls = True
        site.wait_until(lambda: replica.forged_calls, "a call gets a forged answer")
        time.sleep(DRAIN_SECONDS)
        for path in ("/stream/a", "/whole/a"):
            self.assertEqual(self.outcome(path, b"")[0], 200, path)

    @staticmethod
    def fault_once(faults, handler, request):
        if faults:
            return faults.pop(0)(handler, request)
        handler.close_connection = False
        return handler.serve()


if __name__ == "__main__":
    unittest.main()
