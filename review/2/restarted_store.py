"""A store of kept KV cache loses power and returns empty while the daemons are restarted one after the other."""

import contextlib
import http.client
import itertools
import pathlib
import random
import signal
import socket
import sys
import tempfile
import threading
import time
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from common import HAS_TROUBLE, run, site  # noqa: E402
from soak_proxy import reset  # noqa: E402

DAEMONS, ENGINES, PROMPTS, CALLERS_PER_DAEMON = 3, 4, 24, 8
SHARED_TOKENS, OWN_TOKENS = 9000, 500
DARK_SECONDS = 1.0  # As in `srv_crash`, for_s = 1.0.
KEEPALIVE_SECONDS = 1.0  # How often the daemons probe a silent connection; the machine that is back answers the probe with a reset.
WRITE_SECONDS = 0.054  # 9,122 tokens of 327,680 B over 890 Gbit/s between two zones (runsheet-cache).
READ_SECONDS = 0.105  # 85.2 prompt tokens are read in a ms.
ROUNDS, ROUND_SECONDS = 10, 9.6
START_SECONDS = 0.4  # From the end of a process to its next start.
DARK_AFTER_START_SECONDS = 0.38


class Link:
    """The network between the daemons and the store: a connection over which bytes are lost says nothing more."""

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.is_dark = False
        self.last_bytes = {}  # When each open connection last carried bytes.
        self.lost = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(caller,), daemon=True).start()

    def serve(self, caller):
        callee = socket.create_connection(self.target, timeout=5)
        callee.settimeout(None)
        with self.lock:
            self.last_bytes[caller] = self.last_bytes[callee] = time.monotonic()
            if self.is_dark:  # No answer to the opening packet either.
                self.lost |= {caller, callee}
        answers = threading.Thread(target=self.forward, args=(callee, caller), daemon=True)
        answers.start()
        self.forward(caller, callee)
        answers.join()
        with self.lock:
            for connection in (caller, callee):
                self.last_bytes.pop(connection, None)
                self.lost.discard(connection)
        caller.close()
        callee.close()

    def forward(self, source, sink):
        try:
            while data := source.recv(65536):
                if source not in self.lost:
                    self.last_bytes[source] = self.last_bytes[sink] = time.monotonic()
                    sink.sendall(data)
            if source not in self.lost:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            reset(source)
            reset(sink)

    def darken(self):
        """Takes the power from the machine behind the link."""
        with self.lock:
            self.is_dark = True
            self.lost |= set(self.last_bytes)

    def lighten(self):
        """The machine has power again. It does not know the connections of before, and resets each when the system probes it."""
        with self.lock:
            self.is_dark = False
            now = time.monotonic()
            for connection in self.lost:
                silence = now - self.last_bytes[connection]
                threading.Timer(KEEPALIVE_SECONDS - silence % KEEPALIVE_SECONDS, reset, (connection,)).start()


class StoreHandler(site.Handler):
    def do_GET(self):
        store = self.server.owner
        path, _, query = self.path.partition("?")
        if path == "/kv-list":
            return self.reply(store.listing())
        if path == "/kv-events":
            return self.reply(store.events_since(int(dict(urllib.parse.parse_qsl(query))["since"]), int(self.headers.get("Wait-Ms", 0)) / 1000))
        return self.answer(404)

    def do_POST(self):
        self.body()
        return self.answer(200)

    def reply(self, body):
        return self.answer(200, site.json.dumps(body).encode(), (("Content-Type", "application/json"),))


class KvStore:
    """A managed store: it drops nothing by itself, reports a part when it is complete, and knows which parts are being written."""

    def __init__(self):
        self.changed = threading.Condition()
        self.start()
        self.server = site.Server("127.0.0.1", self, StoreHandler)
        self.link = Link(self.server.address)
        self.address = self.link.address
        self.is_dark = False

    def start(self):
        with self.changed:
            self.epoch = random.getrandbits(30)
            self.complete, self.writing, self.events = {}, {}, []

    def now_ms(self):
        return int(time.monotonic() * 1000)

    def listing(self):
        with self.changed:
            return {"boot_epoch": self.epoch, "next_token": len(self.events), "clock_ms": self.now_ms(),
                    "held": [[scope, part, tokens, "m"] for (scope, part), tokens in self.complete.items()]}

    def events_since(self, since, hold):
        with self.changed:
            self.changed.wait_for(lambda: len(self.events) > since, hold)
            return {"boot_epoch": self.epoch, "next_token": len(self.events), "lost": since > len(self.events), "clock_ms": self.now_ms(),
                    "events": self.events[since:]}

    def save(self, scope, part, tokens):
        """A replica sends a part; it is complete some time later."""
        key = (scope, part)
        with self.changed:
            if self.is_dark or key in self.complete or key in self.writing:
                return
            self.writing[key] = epoch = self.epoch
        time.sleep(WRITE_SECONDS)
        with self.changed:
            if self.epoch != epoch or self.writing.pop(key, None) is None:
                return
            self.complete[key] = tokens
            self.events.append([len(self.events) + 1, "+", scope, part, tokens, "m"])
            self.changed.notify_all()

    def fetch(self, scope, part):
        """Returns what a replica finds of a part that it fetches now: "whole", "partial" or "none"."""
        key = (scope, part)
        with self.changed:
            if self.is_dark:
                return "none"
            return "partial" if key in self.writing else "whole" if key in self.complete else "none"

    def lose_power(self):
        self.is_dark = True
        self.link.darken()

    def come_back(self):
        self.start()
        self.is_dark = False
        self.link.lighten()


class EngineHandler(site.ReplicaHandler):
    """A model replica; other prompts have displaced what it kept, so it fetches each shared part or reads it."""

    def do_GET(self):
        if self.path.startswith("/kv-events"):
            time.sleep(0.9)
            return self.answer(200, b'{"boot_epoch":7,"next_token":0,"lost":false,"events":[]}')
        return super().do_GET()

    def stream(self, replica, headers):
        store, record = replica.kv_store, replica.record
        scope = self.headers.get("X-Goldcrestwood-Cache-Salt", "")
        identifier = self.headers["X-Goldcrestwood-Request-Id"]
        parts = [entry.partition(":") for entry in self.headers["X-Goldcrestwood-Prefix-Hash"].split(",")]
        sources = self.headers.get("X-Goldcrestwood-Kv-Fetch", "").split(",")
        targets = self.headers.get("X-Goldcrestwood-Kv-Save", "").split(",")
        part, _, tokens = parts[0]
        found = store.fetch(scope, part) if sources[0].partition("/")[0] == store.address else "none"
        replica.counts[found] += 1
        if found == "partial":
            record.add(f"replica {replica.id}: request {identifier} takes part {part} from the store, where it is being written")
            replica.partial.append(identifier)
        if found == "none":
            time.sleep(READ_SECONDS)
        if targets[0] == store.address:
            replica.counts["saves"] += 1
            threading.Thread(target=store.save, args=(scope, part, int(tokens)), daemon=True).start()
        return super().stream(replica, headers)


class Callers:
    """Callers that send prompts with shared parts all the time."""

    def __init__(self, daemons):
        self.is_finished = False
        self.outcomes = {}
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.send, args=(daemon, number), daemon=True) for daemon in daemons for number in range(CALLERS_PER_DAEMON)]
        for thread in self.threads:
            thread.start()

    def send(self, daemon, number):
        generator = random.Random(f"{daemon.node} {number}")
        for turn in itertools.count():
            if self.is_finished:
                return
            parts = f"{0xa000 + generator.randrange(PROMPTS):x}:{SHARED_TOKENS},{generator.getrandbits(32):x}:{OWN_TOKENS}"
            try:
                outcome = site.request(daemon, "/whole/a", b"p", timeout=8, X_Goldcrestwood_Model="m", X_Goldcrestwood_Deadline_Ms="5000",
                                       X_Goldcrestwood_Token_Usage=f"{SHARED_TOKENS + OWN_TOKENS},20", X_Goldcrestwood_Prefix_Hash=parts)[1]
            except ConnectionRefusedError:
                outcome = "not connected"
                time.sleep(0.05)
            except (OSError, http.client.HTTPException) as error:
                outcome = type(error).__name__
            with self.lock:
                self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            time.sleep(0.03)

    def stop(self):
        self.is_finished = True
        for thread in self.threads:
            thread.join()


def case(record):
    site.ReplicaHandler = EngineHandler
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        store = site.Store()
        stack.callback(store.stop)
        kv_store = KvStore()
        engine = {"slots": 32, "kv_tokens": 400000, "kv_bytes": 327680, "link_mbps": 740000.0, "max_inflight": 12, "models": [{"name": "m"}]}
        services = [{"name": "model", "health_path": "/healthz", "max_conns": 64, "cold_s": 0.0, "cold_per_s": 0.0, "engine": engine},
                    {"name": "kept", "health_path": "/healthz", "max_conns": 64, "kv_store_addr": kv_store.address, "zone": "zone-0", "kv_tokens": 1111436,
                     "managed": True, "max_inflight": 12}]
        store.put("keyed.op", "config", {**site.CONFIGURATION, "services": [*services, site.CONFIGURATION["services"][1]]})
        engines = [site.Replica(store, number, "model", "streaming", f"zone-{number % 3}", slots=32) for number in range(ENGINES)]
        partial, counts = [], {"whole": 0, "partial": 0, "none": 0, "saves": 0}
        for one in engines:
            one.kv_store, one.record, one.partial, one.counts = kv_store, record, partial, counts
        seeds = [f"{site.SUBNET}.{number + 1}" for number in range(DAEMONS)]
        daemons = []
        for number in range(DAEMONS):
            daemons.append(site.Daemon(number + 1, store, folder, seeds).start())
            stack.callback(daemons[-1].stop)
        for daemon in daemons:
            site.wait_until(daemon.is_ready, f"{daemon.node} is ready", check=daemon.process)
        callers = Callers(daemons)
        stack.callback(callers.stop)
        begun = time.monotonic()
        for turn in range(ROUNDS):
            time.sleep(max(0.0, begun + 4.0 + turn * ROUND_SECONDS - time.monotonic()))
            daemon = daemons[turn % DAEMONS]
            record.add(f"{daemon.node} gets SIGTERM; the store holds {len(kv_store.complete)} parts")
            daemon.process.send_signal(signal.SIGTERM)
            daemon.process.wait()
            time.sleep(START_SECONDS)
            daemon.start()
            record.add(f"{daemon.node} is started again")
            if not HAS_TROUBLE:
                continue
            time.sleep(DARK_AFTER_START_SECONDS)
            kv_store.lose_power()
            record.add("the store loses power")
            time.sleep(DARK_SECONDS)
            kv_store.come_back()
            record.add("the store is back, empty")
        time.sleep(max(0.0, begun + 4.0 + ROUNDS * ROUND_SECONDS - time.monotonic()))
        callers.stop()
        record.add(f"requests by outcome: {callers.outcomes}; shared parts fetched and found: {counts}")
        if partial:
            return [f"{len(partial)} requests took a part from a store where it was being written"]
        return []


run(case, pathlib.Path(__file__).parent)
