"""A stand-in for the platform's endpoint for usage reports and numbers of replicas, as a thread."""

import json
import threading
import time

import edge_site


class CloudHandler(edge_site.Handler):
    def do_POST(self):
        cloud = self.server.owner
        body = json.loads(self.body())
        if self.path not in ("/usage", "/scale"):
            return self.answer(404)
        holder, token = self.headers["X-Goldcrestwood-Holder"], int(self.headers["X-Goldcrestwood-Fence-Token"])
        status = cloud.execute(self.path, holder, token, body)
        if status is None:
            self.close_connection = True
            return None
        return self.answer(status)


class Cloud:
    """Checks fencing tokens and records all calls; each scope has the highest token seen."""

    def __init__(self):
        self.lock = threading.Lock()
        self.calls = []  # Time, path, holder, token, body and status of each call; the status is None if it was not answered.
        self.tokens = {}  # Highest token by scope.
        self.refusals = []  # Statuses of the next calls, instead of their execution.
        self.on_usage = None  # Called with holder and body of each report that is executed; returns whether the call is answered.
        self.server = edge_site.Server("127.0.0.1", self, CloudHandler)
        self.address = self.server.address

    def execute(self, path, holder, token, body):
        scope = path if path == "/usage" else (body["service"], body["zone"])
        with self.lock:
            if self.refusals:
                status = self.refusals.pop(0)
            elif token < self.tokens.get(scope, 0):
                status = 409
            else:
                self.tokens[scope] = token
                status = 200
            is_answered = not (status == 200 and path == "/usage" and self.on_usage and not self.on_usage(holder, body))
            self.calls.append((time.time(), path, holder, token, body, status if is_answered else None))
        return status if is_answered else None

    def reports(self):
        """Returns the executed reports: time, holder, token, window and counts."""
        with self.lock:
            return [(at, holder, token, body["window"], body["counts"]) for at, path, holder, token, body, status in self.calls
                    if path == "/usage" and status in (200, None)]

    def stop(self):
        self.server.shutdown()
        self.server.server_close()
