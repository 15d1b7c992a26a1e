"""A small site that speaks the users' protocol on loopback: a metadata store and replicas as threads, entry daemons as processes."""

import base64
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
import urllib.parse

BUILD = pathlib.Path(os.environ.get("GOLDCREST_BUILD", pathlib.Path(__file__).parents[1] / "build")).resolve()
START_SECONDS = 20
# Loopback subnet derived from the process id, so that several sites can run at the same time.
SUBNET = f"127.{32 + os.getpid() % 190}.{os.getpid() // 190 % 250}"
FLOOD_LIMIT_BYTES = 256 << 20  # A caller that reads this much is not going to close.
TOPICS = ("keyed.op", "keyed.servers", "keyed.status")


class Server(http.server.ThreadingHTTPServer):
    """An HTTP server with a reference to the store or replica that it serves."""

    daemon_threads = True
    request_queue_size = 128

    def __init__(self, ip, owner, handler, port=0):
        super().__init__((ip, port), handler)
        self.owner = owner
        self.connections = set()
        self.address = f"{ip}:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    def handle_error(self, request, client_address):
        pass  # Killed daemons break connections.

    def get_request(self):
        connection, address = super().get_request()
        self.connections.add(connection)
        return connection, address

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def abort(self):
        """Stops listening and resets all connections, like the end of the process."""
        self.shutdown()
        self.server_close()
        self.end_connections()

    def end_connections(self):
        """Resets all connections."""
        for connection in list(self.connections):
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
                connection.close()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)
        self.wfile.flush()


class StoreHandler(Handler):
    owes_refusal = False  # Whether the copy of a refusal precedes the next answer on this connection.

    def answer(self, status, body=b"", headers=()):
        super().answer(status, body, (*headers, ("Store-Era", str(self.server.owner.era))))

    def do_GET(self):
        store = self.server.owner
        path, _, query = self.path.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if path == "/log-read":
            store.reads.append((fields["topic"], int(fields.get("wait_ms", 0)) / 1000))
        if self.owes_refusal:
            self.owes_refusal = False
            self.answer(503)
        if path == "/log-read" and store.refuses_once == fields["topic"]:
            store.refuses_once = None
            self.owes_refusal = True
            return self.answer(503)
        if not self.apply_faults(store):
            return None
        if path == "/log-newest":
            return self.answer(200, json.dumps(store.newest(fields["topic"])).encode())
        if path == "/log-read":
            return self.answer(*store.read(fields["topic"], int(fields["from"]), int(fields.get("wait_ms", 0)) / 1000))
        return self.answer(404)

    def apply_faults(self, store):
        """Applies the store's faults; returns whether the call proceeds."""
        if store.is_unavailable(self.server.address):
            self.answer(503)
            return False
        if store.mode == "slow":
            time.sleep(0.4)
        return True

    def do_POST(self):
        store = self.server.owner
        path, _, query = self.path.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        data = self.body()
        if not self.apply_faults(store):
            return None
        if path != "/log-append":
            return self.answer(404)
        status, result = store.append(fields["topic"], data, int(fields["at"]) if "at" in fields else None)
        if store.mode == "lost":
            self.close_connection = True
            return self.connection.shutdown(socket.SHUT_RDWR)
        return self.answer(status, json.dumps(result).encode())


class Store:
    """The platform's log: in-memory records, long-poll reads and conditional appends."""

    def __init__(self):
        self.topics = {}
        self.oldest_offsets = {}  # Offset of the oldest retained record, by topic.
        self.changed = threading.Condition()
        self.reads = []  # Topic and hold time in seconds of each read received, answered or not.
        self.era = 1  # Rises each time that the store returns from an older copy.
        self.refuses_once = None  # Topic whose next read is refused; a copy of that refusal precedes the next answer on the connection.
        self.mode = "up"  # busy: answers 503; slow: answers late; lost: executes appends without an answer.
        self.refused = set()  # Addresses at which calls get 503.
        self.servers = []

    def is_unavailable(self, address):
        """Returns whether calls at the address get 503."""
        return self.mode == "busy" or address in self.refused

    def go_away(self):
        """Ends the calls in progress and answers further ones with 503."""
        self.mode = "busy"
        for server in self.servers:
            server.end_connections()

    def add_address(self):
        """Opens another address, so that one daemon can be refused alone."""
        self.servers.append(Server("127.0.0.1", self, StoreHandler))
        return self.servers[-1].address

    def put(self, topic, key, value):
        """Writes a key of a keyed topic, as the operator or a replica does; None removes it."""
        body = b"" if value is None else json.dumps(value).encode()
        record = bytes([len(key)]) + key.encode() + body
        with self.changed:
            self.topics.setdefault(topic, []).append(record)
            self.changed.notify_all()

    def append(self, topic, data, expected_end):
        records = []
        while data:
            (length,) = struct.unpack(">I", data[:4])
            records.append(data[4:4 + length])
            data = data[4 + length:]
        with self.changed:
            topic_records = self.topics.setdefault(topic, [])
            if expected_end is not None and expected_end != len(topic_records):
                return 412, {"end": len(topic_records)}
            offset = len(topic_records)
            topic_records.extend(records)
            self.changed.notify_all()
            return 200, {"offset": offset, "end": len(topic_records)}

    def copy(self):
        """Returns a copy of the records, to return from later."""
        with self.changed:
            return {topic: list(topic_records) for topic, topic_records in self.topics.items()}

    def return_from(self, copy):
        """Replaces all records by an older copy; what was appended since is lost."""
        with self.changed:
            self.topics = {topic: list(topic_records) for topic, topic_records in copy.items()}
            self.era += 1
            self.changed.notify_all()

    def truncate(self):
        """Drops all records so far; newest() still returns the newest of each key."""
        with self.changed:
            self.oldest_offsets = {topic: len(topic_records) for topic, topic_records in self.topics.items()}

    def newest(self, topic):
        with self.changed:
            latest = {}
            for offset, record in enumerate(self.topics.get(topic, [])):
                key = record[1:1 + record[0]].decode()
                latest[key] = (record[1 + record[0]:], offset)
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in latest.items() if value]
            return {"items": items, "more": False, "end": len(self.topics.get(topic, []))}

    def read(self, topic, start, wait):
        with self.changed:
            self.changed.wait_for(lambda: len(self.topics.get(topic, [])) > start, wait)
            topic_records = self.topics.get(topic, [])
            oldest = self.oldest_offsets.get(topic, 0)
            if start < oldest or start > len(topic_records):
                return 410, json.dumps({"first": oldest, "end": len(topic_records)}).encode()
            body = struct.pack(">QQ", len(topic_records), oldest)
            for record in topic_records[start:]:
                body += struct.pack(">I", len(record)) + record
            return 200, body

    def stop(self):
        for server in self.servers:
            server.shutdown()
            server.server_close()


EVENT_STREAM = ("Content-Type", "text/event-stream")


def event(number):
    return f"id: {number}\ndata: piece {number}\n\n".encode()


class ReplicaHandler(Handler):
    refused = False  # Whether a request on this connection was refused.
    owed = None  # The refusal whose copy precedes the next answer on this connection.

    def do_GET(self):
        replica = self.server.owner
        if replica.endless and replica.floods_calls and (self.path == "/report" or self.path.startswith("/kv-")):
            replica.flooded_calls += 1
            return self.flood(replica, [])
        if replica.call_body and self.path.startswith("/kv-events"):
            replica.flooded_calls += 1
            return self.answer(200, replica.call_body)
        if self.path == "/report":
            return self.answer(200, json.dumps(replica.report()).encode())
        if self.path.startswith("/kv-"):
            return self.answer(404)
        return self.serve()

    def do_HEAD(self):
        return self.serve()

    def do_POST(self):
        if self.path == "/order":
            return self.answer(self.server.owner.order(json.loads(self.body())))
        return self.serve()

    def serve(self):
        replica = self.server.owner
        body = self.body()
        request = self.headers.get("X-Goldcrestwood-Request-Id", "")
        headers = [("X-Goldcrestwood-Request-Id", request)]
        if replica.leaving:
            headers.append(("Server-Leaving", "1"))
        limit = replica.limit
        if limit is not None:
            replica.limited.append((time.monotonic(), request))
            headers.append(("Server-Limit", limit))
        if self.headers.get("X-Goldcrestwood-Expect-Instance") not in (None, replica.id):
            replica.misdirected.append(request)
            self.send_copy(request)
            return self.refuse(421, request, [*headers, ("X-Goldcrestwood-Instance-Id", replica.id)])
        if replica.repeats_refusals and self.refused:
            self.answer(503, headers=[("X-Goldcrestwood-Not-Executed", "1")])
        replica.offers.append((time.monotonic(), request))
        if replica.refuse > 0:
            self.refused = True
            replica.refuse -= 1
            if replica.rest:
                headers.append(("Retry-After", str(replica.rest)))
            self.send_copy(request)
            return self.refuse(503, request, headers)
        replica.requests.append((request, dict(self.headers.items()), body))
        replica.arrivals.append((time.monotonic(), request))
        headers.append(("X-Goldcrestwood-Response-Seal", f"{replica.id}.{request}"))
        time.sleep(replica.delay)
        self.send_copy(request)
        action = replica.script.pop(0) if replica.script else None
        if action == "unavailable":
            return self.answer(503, b"failed", headers)
        if action is not None:
            self.close_connection = True
            self.wfile.write(b"" if action == "drop" else action.encode())
            self.connection.shutdown(socket.SHUT_RDWR)
            return None
        parts = [entry.partition(":")[0] for entry in self.headers.get("X-Goldcrestwood-Prefix-Hash", "").split(",")]
        if replica.deadly_part in parts[:-1]:
            replica.crash()
            return None
        if replica.fail > 0:
            replica.fail -= 1
            return self.answer(500, b"failed", headers)
        if replica.drop > 0:
            replica.drop -= 1
            self.close_connection = True
            self.connection.shutdown(socket.SHUT_RDWR)
            return None
        if replica.endless_from_now:
            replica.endless = replica.endless_from_now.pop(0)
        if replica.endless:
            return self.flood(replica, headers)
        if replica.kind != "streaming" and replica.framing == "connection":
            self.begin_unframed(headers)
            if replica.crashes_after:
                self.wfile.write(body[:replica.crashes_after.pop(0)])
                replica.exit()
            else:
                self.wfile.write(replica.id.encode() + b":" + body)
            return None
        if replica.kind != "streaming" or self.command == "HEAD":
            return self.answer(200, replica.id.encode() + b":" + body, headers)
        return self.stream(replica, headers)

    def refuse(self, status, request, headers):
        headers = [*headers, ("X-Goldcrestwood-Not-Executed", "1")]
        self.answer(status, headers=headers)
        if self.server.owner.copies_refusals:
            self.owed = (status, request, headers)

    def send_copy(self, request):
        """Sends the copy that precedes the answer to a request."""
        if self.owed:
            status, refused, headers = self.owed
            self.owed = None
            self.server.owner.copies.append((refused, request))
            self.answer(status, headers=headers)

    def flood(self, replica, headers):
        """Sends meaningless bytes in the head or the body until the caller closes."""
        self.close_connection = True
        replica.flooded = 0
        with contextlib.suppress(OSError):
            if replica.endless == "head":
                self.wfile.write(b"HTTP/1.1 200 OK\r\n")
            else:
                self.send_response(200)
                for name, value in headers:
                    self.send_header(name, value)
                self.end_headers()
            while replica.flooded < FLOOD_LIMIT_BYTES:
                self.wfile.write(b"X-Noise: 0123456789\r\n" * 500)
                replica.flooded += 500 * 21

    def begin_unframed(self, headers):
        """Sends the head of an answer with neither a length nor chunks, which ends with its connection."""
        self.close_connection = True
        self.send_response(200)
        for name, value in (*headers, ("Connection", "close")):
            self.send_header(name, value)
        self.end_headers()

    def end_inside_event(self, replica, headers):
        """Sends a stream that ends inside an event, with or without chunks."""
        whole = replica.ends_inside.pop(0) - 1
        body = b"".join(event(number) for number in range(1, whole + 1)) + f"id: {whole + 1}\ndata: pie".encode()
        if replica.framing == "chunks":
            self.begin_chunks(headers)
            self.wfile.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body))
        else:
            self.begin_unframed((*headers, EVENT_STREAM))
            self.wfile.write(body)

    def crash_between_events(self, replica, headers):
        """Sends some whole events of a stream with neither a length nor chunks; then the replica's process ends."""
        self.begin_unframed((*headers, EVENT_STREAM))
        self.wfile.write(b"".join(event(number) for number in range(1, replica.crashes_after.pop(0) + 1)))
        replica.exit()

    def begin_chunks(self, headers):
        self.send_response(200)
        for name, value in (*headers, EVENT_STREAM, ("Transfer-Encoding", "chunked")):
            self.send_header(name, value)
        self.end_headers()

    def stream(self, replica, headers):
        if replica.ends_inside:
            return self.end_inside_event(replica, headers)
        if replica.crashes_after:
            return self.crash_between_events(replica, headers)
        if replica.framing == "connection":
            self.begin_unframed((*headers, EVENT_STREAM))
            self.wfile.write(b"".join(event(number) for number in range(int(self.headers.get("Last-Event-Id", 0)) + 1, replica.pieces + 1)))
            return None
        self.begin_chunks(headers)
        first = int(self.headers.get("Last-Event-Id", 0)) + 1
        for number in range(first, replica.pieces + 1):
            if replica.cut_after and number > replica.cut_after:
                replica.cut_after = 0
                self.close_connection = True
                self.connection.shutdown(socket.SHUT_RDWR)
                return None
            piece = event(number)
            self.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            self.wfile.flush()
            time.sleep(replica.gap)
        replica.whole_streams.append(self.headers.get("X-Goldcrestwood-Request-Id", ""))
        self.wfile.write(b"0\r\n\r\n")
        return None


class Replica:
    """An upstream that answers, streams and takes orders; the test sets its faults."""

    def __init__(self, store, number, service, kind, domain, slots=8, link=None, software="v1"):
        self.id = f"i-{service}-{number}"
        self.store, self.service, self.kind, self.domain, self.slots = store, service, kind, domain, slots
        self.software = software
        self.requests = []
        self.offers = []  # Time and id of each request received.
        self.arrivals = []  # Time and id of each request that was not refused.
        self.orders = []
        self.version = 1
        self.load_seconds = 0.1
        self.loading_until = 0.0
        self.next_version = 1
        self.refuse = self.fail = self.drop = self.cut_after = 0
        self.repeats_refusals = False  # Whether it sends a refusal once more, without an id, before each later answer on the connection.
        self.copies_refusals = False  # Whether it sends the copy of a refusal, with its request's id, before the next answer on the connection.
        self.copies = []  # Id of the refused request and of the one before whose answer the copy came.
        self.misdirected = []  # Ids of the requests that were meant for another id at its address.
        self.born = 1
        self.deadly_part = None  # Part of prompts that ends the replica's process.
        self.down_seconds = 1.0
        self.down_until = 0.0
        self.crashes = []  # Time of each crash.
        self.crash_lock = threading.Lock()
        self.leaving = False  # Whether its answers announce that it leaves.
        self.limit = None  # Text that its answers to callers' requests name as Server-Limit.
        self.limited = []  # Time and id of each request whose answer names a limit.
        self.rest = None  # Backoff in seconds that its refusals ask for.
        self.ends_inside = []  # Numbers of the events inside which its next streams end; may be shared by replicas.
        self.framing = None  # What ends its answers: "chunks" or "connection"; by default chunks for streams, a length for others.
        self.crashes_after = []  # Numbers of events, or bytes, after which its next unframed answers end with its process; may be shared.
        self.whole_streams = []  # Ids of the requests whose streams it completed.
        self.script = []  # What it does with the next requests: "unavailable", "drop" or the part of a head that it sends before it closes; may be shared.
        self.endless = None  # Part of its answers that never ends: "head" or "body".
        self.endless_from_now = []  # What its answers' `endless` becomes with the next request; may be shared.
        self.floods_calls = False  # Whether its answers to the daemons' own calls never end either.
        self.call_body = None  # Its answer to the daemons' calls for cache events.
        self.flooded = self.flooded_calls = 0
        self.delay, self.gap, self.pieces = 0.0, 0.0, 5
        self.server = Server("127.0.0.1", self, ReplicaHandler)
        self.address = link(self.server.address) if link else self.server.address
        self.register("ready")

    def register(self, state, identifier=None, **fields):
        entry = {"service": self.service, "addr": self.address, "zone": self.domain, "version": self.software, "slots": self.slots,
                 "state": state, "cold_left_ms": 0, "seq": 1, "born": self.born, **fields}
        if self.kind == "streaming":
            entry["models"] = [{"name": "m", "version": self.version, "adapters": []}]
        self.store.put("keyed.servers", identifier or self.id, entry)

    def leave(self):
        self.store.put("keyed.servers", self.id, None)

    def crash(self):
        """Ends the replica's process and starts it again after some time."""
        with self.crash_lock:
            if time.monotonic() < self.down_until:
                return
            self.down_until = time.monotonic() + self.down_seconds
            self.crashes.append(time.monotonic())
        threading.Thread(target=self.restart, daemon=True).start()

    def exit(self):
        """Ends the replica's process: it listens no longer once its connections end, in order. Starts it again after some time."""
        self.server.shutdown()
        self.server.server_close()
        threading.Thread(target=self.restart, daemon=True).start()

    def restart(self):
        self.server.abort()
        time.sleep(self.down_seconds)
        host, _, port = self.server.address.rpartition(":")
        self.server = Server(host, self, ReplicaHandler, int(port))
        self.born += 1
        self.register("ready")

    def begin_anew(self):
        """Ends the replica's process and starts it under another id; then the store writes the entry of the earlier id once more."""
        earlier, self.id = self.id, f"{self.id.partition('+')[0]}+{self.born}"
        self.restart()
        self.register("ready", identifier=earlier, born=self.born - 1, seq=2)
        return earlier

    def report(self):
        if time.monotonic() >= self.loading_until and self.version != self.next_version:
            self.version = self.next_version
            self.register("ready")
        return {"stage": "unified", "models": [{"name": "m", "version": self.version, "adapters": []}],
                "busy": time.monotonic() < self.loading_until, "seq": len(self.orders), "queued": 0, "running": 0}

    def order(self, order):
        if order.get("expect") not in (None, len(self.orders)):
            return 409
        if any(order["fence"] < earlier["fence"] for _, earlier in self.orders):
            return 412
        self.orders.append((time.monotonic(), order))
        self.next_version = order["version"]
        self.loading_until = time.monotonic() + self.load_seconds
        return 202


class CacheStoreHandler(Handler):
    def do_GET(self):
        store = self.server.owner
        path, _, query = self.path.partition("?")
        if path == "/kv-list":
            return self.answer(200, json.dumps(store.listing()).encode())
        if path == "/kv-events":
            hold = int(self.headers.get("Wait-Ms", 0)) / 1000
            return self.answer(200, json.dumps(store.events_since(int(query.removeprefix("since=")), hold)).encode())
        return self.answer(404)

    def do_POST(self):
        body = json.loads(self.body())
        if self.path != "/kv-free":
            return self.answer(404)
        return self.answer(self.server.owner.free(body))


class CacheStore:
    """A store of cached prompt parts; the test puts parts into it."""

    def __init__(self, ip="127.0.0.1"):
        self.parts = {}  # Tokens by scope and part id.
        self.events = []
        self.calls = []  # Time in milliseconds and body of each call that frees parts.
        self.freed = []  # Scope and id of each part that was freed.
        self.changed = threading.Condition()
        self.clock_ms = 5_000_000  # The clock of the replicas and stores, in milliseconds, when the store started.
        self.started = time.monotonic()
        self.server = Server(ip, self, CacheStoreHandler)
        self.address = self.server.address

    def now_ms(self):
        return self.clock_ms + int((time.monotonic() - self.started) * 1000)

    def put(self, scope, part, tokens):
        """Changes how many tokens of a part the store holds; 0 frees it."""
        with self.changed:
            if tokens:
                self.parts[scope, part] = tokens
            else:
                self.parts.pop((scope, part), None)
            self.events.append([len(self.events) + 1, "+" if tokens else "-", scope, part, tokens, "m"])
            self.changed.notify_all()

    def listing(self):
        with self.changed:
            held = [[scope, part, tokens, "m"] for (scope, part), tokens in self.parts.items()]
            return {"boot_epoch": 7, "next_token": len(self.events), "held": held, "clock_ms": self.now_ms()}

    def events_since(self, start, hold):
        with self.changed:
            self.changed.wait_for(lambda: len(self.events) > start, hold)
            return {"boot_epoch": 7, "next_token": len(self.events), "lost": False, "events": self.events[start:], "clock_ms": self.now_ms()}

    def free(self, body):
        self.calls.append((self.now_ms(), body))
        if body.get("boot_epoch", 7) != 7 or self.now_ms() > body.get("until_ms", self.now_ms()):
            return 409
        for scope, part in body["parts"]:
            self.freed.append((scope, part))
            self.put(scope, part, 0)
        return 200


CONFIGURATION = {
    "version": 1,
    "routes": [
        {"name": "stream", "host": "site.example", "path_prefix": "/stream/", "kind": "streaming", "timeout_ms": 5000, "goal_ms": 500,
         "priority": 1, "service": "model", "attempts": 2, "public": False, "sticky": True, "resumable": True, "gap_aim_ms": 250},
        {"name": "whole", "host": "site.example", "path_prefix": "/whole/", "kind": "streaming", "timeout_ms": 5000, "goal_ms": 500,
         "priority": 1, "service": "model", "attempts": 1, "public": False, "sticky": True, "resumable": False, "gap_aim_ms": 250},
        {"name": "once", "host": "site.example", "path_prefix": "/once/", "kind": "unsafe", "timeout_ms": 2000, "goal_ms": 300,
         "priority": 1, "service": "plain", "attempts": 1, "public": False, "sticky": False, "resumable": False},
        {"name": "safe", "host": "site.example", "path_prefix": "/safe/", "kind": "safe", "timeout_ms": 2000, "goal_ms": 300,
         "priority": 1, "service": "plain", "attempts": 2, "public": True, "sticky": False, "resumable": False},
    ],
    "services": [
        {"name": "model", "health_path": "/healthz", "max_conns": 64, "cold_s": 0.0, "cold_per_s": 0.0,
         "engine": {"slots": 8, "kv_tokens": 100000, "kv_bytes": 1000, "link_mbps": 1000.0, "max_inflight": 12, "models": [{"name": "m"}]}},
        {"name": "plain", "health_path": "/healthz", "max_conns": 64, "cold_s": 0.0, "cold_per_s": 0.0},
    ],
    "limits": {"header_bytes": 8192, "max_body_bytes": 65536, "header_timeout_ms": 1000, "idle_timeout_ms": 5000},
    "tenants": [{"name": "first", "api_keys": ["key-one", "key-two"]}, {"name": "second", "api_keys": ["key-three"], "isolated": True}],
}

SETTINGS = """
node = "{node}"
zone = "{zone}"
region = "here"
bootstrap = true
ip = "{ip}"
seeds = [{seeds}]
[listen]
front = "{ip}:7001"
ready = "{ip}:7002"
control = "{ip}:7000"
directory = "{ip}:7003"
[limits]
cpu_share = 0.25
memory_mb = {memory_mb}
{limits}
[platform]
addr = "{store}"
[bounds]
drain_ms = 2000
grace_s = 4
fence_required = true
"""


class Daemon:
    """One entry daemon on its own loopback address."""

    def __init__(self, number, store, folder, seeds, link=None, bounds="", memory_mb=110, limits=""):
        self.node, self.ip = f"edge-{number}", f"{SUBNET}.{number}"
        self.front, self.ready, self.directory, self.metrics, self.peers = (f"{self.ip}:{port}" for port in (7001, 7002, 7003, 9464, 7000))
        self.store_address = link(store.add_address()) if link else store.add_address()
        self.settings = folder / f"{self.node}.toml"
        self.settings.write_text(SETTINGS.format(node=self.node, zone=f"zone-{number % 3}", ip=self.ip, store=self.store_address,
                                                 seeds=", ".join(f'"{seed}:7000"' for seed in seeds),
                                                 memory_mb=memory_mb, limits=limits) + bounds)
        self.log_path = folder / f"{self.node}.log"
        self.process = None

    def start(self):
        if self.process:  # The platform sets bootstrap to false for a restarted process.
            self.settings.write_text(self.settings.read_text().replace("bootstrap = true", "bootstrap = false"))
        environment = {**os.environ, "GOLDCRESTWOOD_NODE_FILE": str(self.settings)}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen([BUILD / "goldcrestd", "edge"], stdout=log, stderr=log, env=environment)
        return self

    def peak_mb(self):
        """Returns the most memory that the process has had, in MB of 2^20 bytes."""
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as status:
            return int(next(line for line in status if line.startswith("VmHWM")).split()[1]) / 1024

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def log_lines(self):
        lines = []
        for line in self.log_path.read_text().splitlines():
            with contextlib.suppress(json.JSONDecodeError):
                lines.append(json.loads(line))
        return lines

    def is_ready(self):
        try:
            return call(self.ready, "GET", "/readyz")[0] == 200
        except OSError:
            return False

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class EdgeSite(contextlib.ExitStack):
    """A store, replicas of a model and of a plain service, and daemons."""

    def __init__(self, daemons=2, models=3, plain=2, configuration=None, link=None, bounds="", memory_mb=110, limits=""):
        """Starts the site.

        link, if given, maps each address of the store and of a replica to the address to use instead.
        bounds and limits hold additional lines for the [bounds] and [limits] tables of the settings.
        """
        super().__init__()
        try:
            self.begin(daemons, models, plain, configuration, link, bounds, memory_mb, limits)
        except BaseException:
            self.close()  # Leaves no process running.
            raise

    def begin(self, daemons, models, plain, configuration, link, bounds, memory_mb, limits):
        self.folder = pathlib.Path(self.enter_context(tempfile.TemporaryDirectory()))
        self.store = Store()
        self.callback(self.store.stop)
        self.store.put("keyed.op", "config", configuration or CONFIGURATION)
        self.models = [Replica(self.store, number, "model", "streaming", f"zone-{number % 3}", link=link) for number in range(models)]
        self.plain = [Replica(self.store, number, "plain", "plain", f"zone-{number % 3}", link=link) for number in range(plain)]
        seeds = [f"{SUBNET}.{number + 1}" for number in range(min(daemons, 3))]
        self.daemons = [Daemon(number + 1, self.store, self.folder, seeds, link, bounds, memory_mb, limits).start() for number in range(daemons)]
        for daemon in self.daemons:
            self.callback(daemon.stop)
        for daemon in self.daemons:
            wait_until(daemon.is_ready, f"{daemon.node} is ready", check=daemon.process)


class Callers:
    """Runs functions in threads of their own until the block ends; each gets the event that ends it."""

    def __init__(self, functions):
        self.ended = threading.Event()
        self.threads = [threading.Thread(target=function, args=(self.ended,)) for function in functions]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *error):
        self.ended.set()
        for thread in self.threads:
            thread.join()


def wait_until(condition, what, seconds=START_SECONDS, check=None):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if value := condition():
            return value
        if check is not None and check.poll() is not None:
            raise RuntimeError(f"{what}: the process ended with {check.returncode}")
        time.sleep(0.02)
    raise TimeoutError(f"{what}: not within {seconds} s")


def call(address, method, path, body=None, headers=None, timeout=10):
    """Makes one call on a new connection; returns status, headers and body."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        return response.status, response.headers, response.read()
    finally:
        connection.close()


request_numbers = iter(range(1, 1 << 30))


def request(daemon, path, body=None, key="key-one", method="POST", timeout=10, **headers):
    """Sends a caller's request; header names use underscores. Returns the id, status, headers and body."""
    identifier = f"{next(request_numbers):016x}"
    fields = {"Host": "site.example", "X-Goldcrestwood-Request-Id": identifier, "X-Goldcrestwood-Deadline-Ms": "4000"}
    if key:
        fields["X-Goldcrestwood-Key"] = key
    fields.update({name.replace("_", "-"): value for name, value in headers.items()})
    return identifier, *call(daemon.front, method, path, body, fields, timeout)


PROMPT = {"X_Goldcrestwood_Model": "m", "X_Goldcrestwood_Token_Usage": "1000,40",
          "X_Goldcrestwood_Prefix_Hash": "aa01:700,bb01:200,cc01:100"}
