"""A caller's request holds another request in its body, under a transfer coding that does not end in chunks."""

import contextlib
import pathlib
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from common import HAS_TROUBLE, run, site  # noqa: E402

DAEMONS, ROUNDS = 2, 5
ANSWER_SECONDS = 1.0
# RFC 9112, 6.3: such a request gets 400, and its connection is closed.
CODINGS = ("chunked, identity", "identity", "gzip", "xchunked")


def head(identifier, path, *fields):
    lines = (f"POST {path} HTTP/1.1", "Host: site.example", f"X-Goldcrestwood-Request-Id: {identifier}", "X-Goldcrestwood-Key: key-one",
             "X-Goldcrestwood-Deadline-Ms: 2000", *fields)
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def send(daemon, data):
    """Sends bytes on a new connection; returns the status lines that come back."""
    host, _, port = daemon.front.rpartition(":")
    received = b""
    with socket.create_connection((host, int(port)), timeout=ANSWER_SECONDS) as connection:
        connection.sendall(data)
        with contextlib.suppress(OSError):
            while piece := connection.recv(65536):
                received += piece
    return [line.decode() for line in received.replace(b"HTTP/1.1 ", b"\r\nHTTP/1.1 ").split(b"\r\n") if line.startswith(b"HTTP/1.1 ")]


def case(record):
    with site.EdgeSite(daemons=DAEMONS, models=1, plain=2) as edge:
        sent = {}
        for turn in range(ROUNDS):
            for number, coding in enumerate(CODINGS):
                outer, inner = f"0000{turn:02x}{number:02x}00000000", f"ffff{turn:02x}{number:02x}00000000"
                body = head(inner, "/once/inner", "Content-Length: 5") + b"order"
                framing = f"Transfer-Encoding: {coding}" if HAS_TROUBLE else f"Content-Length: {len(body)}"
                sent[outer] = inner
                record.add(f"caller: sends request {outer} with {framing}; its body holds {inner}")
                answers = send(edge.daemons[turn % DAEMONS], head(outer, "/once/outer", framing) + body)
                record.add(f"caller: gets {answers} on this connection")
        time.sleep(0.5)
        ran = {request: replica.id for replica in edge.plain for request, _, _ in replica.requests}
        for request, replica in ran.items():
            record.add(f"replica {replica}: ran {request}" + ("" if request in sent else ", which no caller sent"))
        strange = [request for request in ran if request not in sent]
        if strange:
            return [f"{len(strange)} orders ran that were smuggled inside {len(sent)} other requests"]
        return []


run(case, pathlib.Path(__file__).parent)
