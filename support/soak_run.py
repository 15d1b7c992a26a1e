"""One seed of the fault soak: the schedule of faults, the callers, and the promises that are checked."""

import collections
import copy
import http.client
import json
import random
import signal
import threading
import time

import edge_site as site
from soak_proxy import Proxy

CALLERS = 6
DRAIN_SECONDS = 2.0  # Of the site's settings.
SLACK_SECONDS = 1.0  # For stand-ins on a busy machine; how fast things are is measured on the users' bench.
RECOVER_SECONDS = 20.0
STORM_SECONDS = 2.0
REST_SECONDS = 3.0
# Tight, so that daemons which send again without asking their budget break it.
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW = 0.01, 7, 10.0
REFUSALS = (408, 421, 429, 503)  # "Not run".
ACCOUNTS = {"key-one": "first", "key-two": "first", "key-three": "second"}


class Soak:
    """A site under faults, and what callers and replicas saw."""

    def __init__(self, seed, daemons):
        self.random = random.Random(seed)
        self.proxies = []  # Of the store, for each daemon, and of the replicas.
        self.site = site.EdgeSite(daemons=daemons, models=3, plain=3, link=self.link,
                                  bounds=f"retry_ratio = {RETRY_RATIO}\nretry_slack = {RETRY_SLACK}\nretry_window_s = {RETRY_WINDOW:.0f}\n")
        self.configuration = copy.deepcopy(site.CONFIGURATION)
        self.removed = {}  # Keys that were taken away, and when.
        self.left = {}  # Replicas that reported to drain, and when.
        self.weights = 1
        self.is_over = False
        self.answers = []
        self.broken = set()
        self.lock = threading.Lock()
        self.counts = collections.Counter()
        self.paused = set()
        self.starts = daemons  # Processes that were started, each with a share of the budget.

    def link(self, address):
        self.proxies.append(Proxy(address))
        return self.proxies[-1].address

    def breach(self, text):
        with self.lock:
            self.broken.add(text)

    # Faults: each returns what ends it, or nothing.

    def kill(self):
        daemon = self.random.choice(self.site.daemons)
        if daemon in self.paused:
            return None
        daemon.stop()
        return lambda: self.revive(daemon)

    def terminate(self):
        daemon = self.random.choice(self.site.daemons)
        if daemon in self.paused or daemon.process.poll() is not None:
            return None
        daemon.process.send_signal(signal.SIGTERM)

        def again():
            daemon.stop()  # SIGKILL if it has not ended.
            self.revive(daemon)
        return again

    def revive(self, daemon):
        """Starts a daemon again, unless another fault's end has done so."""
        if daemon.process.poll() is not None:
            daemon.start()
            self.starts += 1

    def pause(self):
        daemon = self.random.choice(self.site.daemons)
        if daemon in self.paused or daemon.process.poll() is not None:
            return None
        process = daemon.process
        process.send_signal(signal.SIGSTOP)
        self.paused.add(daemon)

        def resume():
            self.paused.discard(daemon)
            process.send_signal(signal.SIGCONT)
        return resume

    def link_fault(self):
        proxy = self.random.choice(self.proxies)
        proxy.set(self.random.choice(("delay", "reset", "silent", "mute")))
        return lambda: proxy.set("pass")

    def stall(self):
        """Open connections to the store go silent: one daemon may then know one topic and not the other."""
        for proxy in self.random.sample(self.proxies, 3):
            proxy.stall(self.random)

    def store_fault(self):
        store = self.site.store
        mode = self.random.choice(("busy", "slow", "lost", "refusing", "forgetting"))
        if mode == "forgetting":
            return store.forget()
        if mode == "refusing":
            store.refused = {self.random.choice(store.doors).address}

            def serve_all():
                store.refused = set()
            return serve_all
        store.mode = mode

        def serve():
            store.mode = "up"
        return serve

    def replica_fault(self):
        replica = self.random.choice(self.site.models + self.site.plain)
        name = self.random.choice(("refuse", "fail", "drop", "cut_after"))
        setattr(replica, name, self.random.randint(1, 4))

        def heal():
            setattr(replica, name, 0)
        return heal

    def remove_key(self):
        key = self.random.choice(("key-two", "key-three"))
        if key in self.removed:
            return
        self.configuration["version"] += self.random.randint(1, 5)
        for tenant in self.configuration["tenants"]:
            tenant["api_keys"] = [one for one in tenant["api_keys"] if one != key]
        self.site.store.put("keyed.op", "config", copy.deepcopy(self.configuration))
        self.removed[key] = time.monotonic()

    def name_weights(self):
        self.weights += 1
        self.site.store.put("keyed.op", "version/m", {"model": "m", "version": self.weights})

    def drain(self):
        staying = [replica for replica in self.site.plain if replica not in self.left]
        if len(staying) < 2:
            return
        replica = self.random.choice(staying)
        replica.register("draining")
        self.left[replica] = time.monotonic()

    def disturb(self, seconds):
        """Plays a series of faults that overlap."""
        kinds = ((self.kill, 2), (self.terminate, 2), (self.pause, 2), (self.link_fault, 4), (self.stall, 3), (self.store_fault, 3),
                 (self.replica_fault, 4), (self.remove_key, 1), (self.name_weights, 1))
        ends = []
        begun = time.monotonic()
        while time.monotonic() - begun < seconds:
            now = time.monotonic()
            for at, end in [one for one in ends if one[0] <= now]:
                end()
                ends.remove((at, end))
            fault = self.random.choices([kind for kind, _ in kinds], [weight for _, weight in kinds])[0]
            self.counts[fault.__name__] += 1
            if end := fault():
                ends.append((now + self.random.uniform(0.2, 2.5), end))
            time.sleep(self.random.uniform(0.05, 0.6))
        for _, end in ends:
            end()
        for daemon in self.site.daemons:
            self.revive(daemon)
        self.site.store.mode, self.site.store.refused = "up", set()
        for proxy in self.proxies:
            proxy.set("pass")

    # Callers.

    def call(self, own):
        """Sends requests on kept connections, at daemons that the directory names, until the end."""
        connection = None
        number = 0
        while not self.is_over:
            number += 1
            if connection is None:
                connection = self.connect(own)
                continue
            key = own.choice(("key-one", "key-two", "key-three"))
            kind = own.choice(("once", "safe", "stream"))
            identifier = f"{own.getrandbits(64):016x}"
            fields = {"Host": "site.example", "X-Goldcrestwood-Request-Id": identifier, "X-Goldcrestwood-Key": key,
                      "X-Goldcrestwood-Deadline-Ms": str(own.choice((300, 1000, 3000)))}
            if kind == "stream":
                fields.update({name.replace("_", "-"): value for name, value in site.PROMPT.items()})
            status, body, is_whole = None, b"", False
            try:
                connection.request("POST", f"/{kind}/{number}", b"body", fields)
                response = connection.getresponse()
                status = response.status
                body = response.read()
                is_whole = True
                if response.will_close:
                    connection = self.close(connection)
            except (OSError, http.client.HTTPException):
                connection = self.close(connection)
            with self.lock:
                self.answers.append((identifier, kind, key, status, body, is_whole))
            time.sleep(own.uniform(0, 0.03))
        if connection is not None:
            connection.close()

    def connect(self, own):
        daemon = own.choice(self.site.daemons)
        try:
            addresses = json.loads(site.call(daemon.directory, "GET", "/resolve?name=site.example&zone=zone-1", timeout=1)[2])["addrs"]
        except (OSError, ValueError, KeyError, http.client.HTTPException):
            time.sleep(0.05)
            return None
        host, _, port = own.choice(addresses).rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=5)

    @staticmethod
    def close(connection):
        connection.close()

    def watch_keys(self):
        """A key that a process has refused stays refused there; a new process has to learn first."""
        refused = set()
        while not self.is_over:
            for daemon in self.site.daemons:
                process = daemon.process.pid
                for key in tuple(self.removed):
                    try:
                        status = site.request(daemon, "/once/watch", b"", key=key, timeout=1)[1]
                    except (OSError, http.client.HTTPException):
                        continue
                    if status == 401:
                        refused.add((process, key))
                    elif status not in REFUSALS and (process, key) in refused and daemon.process.pid == process:
                        self.breach(f"configuration went back at {daemon.node}: {key} got {status}")
            time.sleep(0.05)

    # Promises.

    def check_recovery(self):
        """With all faults gone the site serves, and what the operator named is in force."""
        try:
            for daemon in self.site.daemons:
                site.wait_until(daemon.is_ready, f"{daemon.node} is ready again", RECOVER_SECONDS)
                site.wait_until(lambda one=daemon: site.request(one, "/once/end", b"")[1] == 200, f"{daemon.node} serves again", RECOVER_SECONDS)
                for key in self.removed:
                    site.wait_until(lambda one=daemon, gone=key: site.request(one, "/once/end", b"", key=gone)[1] == 401,
                                    f"{daemon.node} refuses {key}", RECOVER_SECONDS)
            site.wait_until(lambda: all(replica.report()["models"][0]["version"] == self.weights for replica in self.site.models),
                            f"weights {self.weights} at all replicas", RECOVER_SECONDS)
        except (TimeoutError, OSError, http.client.HTTPException) as error:
            self.breach(f"no recovery: {error}")

    def play_storm(self):
        """Load pattern: nearly all answers of a service fail at once, so that each request would be sent again."""
        for replica in self.site.plain:
            replica.fail = 1000
        time.sleep(STORM_SECONDS)
        for replica in self.site.plain:
            replica.fail = 0

    def check_drain(self):
        """In calm, a replica that reported to drain gets no request after its time."""
        self.drain()
        time.sleep(DRAIN_SECONDS + 2 * SLACK_SECONDS)
        for replica, since in self.left.items():
            late = [identifier for at, identifier in replica.arrivals if at > since + DRAIN_SECONDS + SLACK_SECONDS]
            if late:
                self.breach(f"{replica.id} got {len(late)} requests after its drain")

    def check_notices(self):
        """In calm, a replica that says that it leaves gets nothing after its time, and one that asks for rest has it.

        A daemon learns by its first answer only; until then each caller may have one request on its way through it.
        """
        leaving, resting = [replica for replica in self.site.plain if replica not in self.left]
        leaving.leaving = True
        since = time.monotonic()
        time.sleep(DRAIN_SECONDS + 4 * SLACK_SECONDS)
        late = sum(at > since + DRAIN_SECONDS + SLACK_SECONDS for at, _ in leaving.offers)
        self.counts["after leaving"] = late
        if late > CALLERS:
            self.breach(f"{leaving.id} got {late} requests after it had said that it leaves")
        leaving.leaving = False
        leaving.register("ready", born=2)
        resting.rest, resting.refuse = REST_SECONDS, 1 << 30
        before = len(resting.offers)
        time.sleep(REST_SECONDS)
        offers = len(resting.offers) - before
        resting.refuse = 0
        self.counts["while resting"] = offers
        if offers > CALLERS * len(self.site.daemons):
            self.breach(f"{resting.id} got {offers} requests while it rested")

    def check_answers(self):
        runs = collections.Counter()
        accounts = {}
        for replica in self.site.models + self.site.plain:
            for identifier, fields, _ in replica.requests:
                runs[identifier] += 1
                accounts[identifier] = fields.get("X-Goldcrestwood-Tenant")
        for identifier, kind, key, status, body, is_whole in self.answers:
            self.counts[f"answers {status}"] += 1
            if kind == "once" and runs[identifier] > 1:
                self.breach(f"{identifier} ran {runs[identifier]} times, though it may run only once")
            if status in REFUSALS and runs[identifier]:
                self.breach(f"{identifier} got {status}, which says 'not run', but ran")
            if identifier in accounts and accounts[identifier] != (None if kind == "safe" else ACCOUNTS[key]):
                self.breach(f"{identifier} ran for {accounts[identifier]} with a key of {ACCOUNTS[key]}")
            if status == 200 and is_whole and not self.is_complete(kind, body):
                self.breach(f"{identifier} ({kind}) looks whole and is not: {body[:60]!r}")
        for replicas in (self.site.models, self.site.plain):
            self.check_budget(sorted(offer for replica in replicas for offer in replica.offers))

    def check_budget(self, offers):
        """In any window, sends beyond a request's first stay within the budget of its service, all daemons together."""
        seen = set()
        window = collections.deque()
        further = 0
        most = 0
        for at, identifier in offers:
            window.append((at, identifier in seen))
            further += identifier in seen
            seen.add(identifier)
            while at - window[0][0] > RETRY_WINDOW:
                further -= window.popleft()[1]
            # A process that starts again has forgotten what it sent.
            bound = RETRY_RATIO * (len(window) - further) + RETRY_SLACK * self.starts / len(self.site.daemons)
            most = max(most, further)
            if further > bound:
                self.breach(f"more further sends in {RETRY_WINDOW:.0f} s than the budget has")
        self.counts["most further sends"] = max(most, self.counts["most further sends"])

    @staticmethod
    def is_complete(kind, body):
        if kind != "stream":
            return body.endswith(b":body")
        pieces = [line for line in body.decode().splitlines() if line.startswith("id:")]
        return pieces == [f"id: {number}" for number in range(1, 6)]


def play(seed, seconds, daemons):
    """Plays one seed. Returns the promises that were broken, and counts of what happened."""
    soak = Soak(seed, daemons)
    threads = [threading.Thread(target=soak.call, args=(random.Random(seed * 1000 + number),)) for number in range(CALLERS)]
    threads.append(threading.Thread(target=soak.watch_keys))
    with soak.site:
        for thread in threads:
            thread.start()
        try:
            soak.disturb(seconds)
            soak.check_recovery()
            soak.play_storm()
            soak.check_drain()
            soak.check_notices()
        finally:
            soak.is_over = True
            for thread in threads:
                thread.join()
        soak.check_answers()
        for daemon in soak.site.daemons:
            if daemon.process.poll() is not None:
                soak.breach(f"{daemon.node} ended by itself with {daemon.process.returncode}")
    for proxy in soak.proxies:
        proxy.stop()
    return sorted(soak.broken), dict(soak.counts)
