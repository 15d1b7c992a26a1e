"""A model replica as a process of its own: answers each request with a stream that has neither a length nor chunks and ends with its connection."""

import http.server
import json
import socketserver
import sys
import time

ADDRESS, PORT, IDENTIFIER, PIECES, GAP_MS, LOG = sys.argv[1], int(sys.argv[2]), sys.argv[3], int(sys.argv[4]), float(sys.argv[5]), sys.argv[6]
HOLD_SECONDS = 0.9


def note(text):
    """Writes a line that outlives the process."""
    with open(LOG, "a") as file:
        file.write(f"replica {IDENTIFIER}: {text}\n")


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def answer(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self):
        if self.path == "/report":
            return self.answer(200, json.dumps({"stage": "unified", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": 0,
                                                "queued": 0, "running": 0}).encode())
        if self.path.startswith("/kv-events"):
            time.sleep(HOLD_SECONDS)
            return self.answer(200, b'{"boot_epoch":7,"next_token":0,"lost":false,"events":[]}')
        return self.answer(200, headers=(("X-Goldcrestwood-Instance-Id", IDENTIFIER),))

    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        request = self.headers.get("X-Goldcrestwood-Request-Id", "")
        echo = ("X-Goldcrestwood-Request-Id", request)
        if self.headers.get("X-Goldcrestwood-Expect-Instance") not in (None, IDENTIFIER):
            return self.answer(421, headers=(echo,))
        self.close_connection = True
        note(f"runs {request}")
        self.send_response(200)
        for name, value in (echo, ("X-Goldcrestwood-Response-Seal", f"{IDENTIFIER}.{request}"), ("Content-Type", "text/event-stream"),
                            ("Connection", "close")):
            self.send_header(name, value)
        self.end_headers()
        for number in range(1, PIECES + 1):
            self.wfile.write(f"id: {number}\ndata: piece {number}\n\n".encode())
            time.sleep(GAP_MS / 1000)
        note(f"has made all pieces of {request}")
        return None


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


Server((ADDRESS, PORT), Handler).serve_forever(0.02)
