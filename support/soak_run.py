"""Runs one seed of the fault soak: the fault schedule, the callers and the checks of the guarantees."""

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
DRAIN_SECONDS = 2.0  # Must match drain_ms in the site's settings.
SLACK_SECONDS = 1.0  # Allowance for stand-ins on a busy machine; latency is measured on the users' bench.
RECOVERY_SECONDS = 20.0
STORM_SECONDS = 2.0
BACKOFF_SECONDS = 3.0
# Tight, so that daemons that retry without consulting their budget exceed it.
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_SECONDS = 0.01, 7, 10.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
ACCOUNT_BY_KEY = {"key-one": "first", "key-two": "first", "key-three": "second"}


class Soak:
    """A site under faults, with the results that its callers saw."""

    def __init__(self, seed, daemons):
        self.random = random.Random(seed)
        self.proxies = []  # One per replica, and one per daemon for its address of the store.
        self.site = site.EdgeSite(daemons=daemons, models=3, plain=3, link=self.add_proxy,
                                  bounds=f"retry_ratio = {RETRY_RATIO}\nretry_slack = {RETRY_SLACK}\nretry_window_s = {RETRY_WINDOW_SECONDS:.0f}\n")
        self.configuration = copy.deepcopy(site.CONFIGURATION)
        self.removed_keys = {}  # Removal time by key.
        self.draining = {}  # Time of the drain report by replica.
        self.weight_version = 1
        self.is_finished = False
        self.answers = []
        self.violations = set()
        self.lock = threading.Lock()
        self.counts = collections.Counter()
        self.paused = set()
        self.process_starts = daemons  # Each started process has a share of the retry budget.

    def add_proxy(self, address):
        self.proxies.append(Proxy(address))
        return self.proxies[-1].address

    def report_violation(self, text):
        with self.lock:
            self.violations.add(text)

    # Faults. Each returns a function that ends it, or None; the counts are printed under the method names.

    def kill(self):
        daemon = self.random.choice(self.site.daemons)
        if daemon in self.paused:
            return None
        daemon.stop()
        return lambda: self.start_if_stopped(daemon)

    def terminate(self):
        daemon = self.random.choice(self.site.daemons)
        if daemon in self.paused or daemon.process.poll() is not None:
            return None
        daemon.process.send_signal(signal.SIGTERM)

        def restart():
            daemon.stop()  # Sends SIGKILL if the daemon has not exited.
            self.start_if_stopped(daemon)
        return restart

    def start_if_stopped(self, daemon):
        """Restarts a daemon unless the end of another fault has already done so."""
        if daemon.process.poll() is not None:
            daemon.start()
            self.process_starts += 1

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
        proxy.set_mode(self.random.choice(("delay", "reset", "silent", "mute")))
        return lambda: proxy.set_mode("pass")

    def stall(self):
        """Silences open connections: a daemon may then receive one topic of the store but not another."""
        for proxy in self.random.sample(self.proxies, 3):
            proxy.stall(self.random)

    def store_fault(self):
        store = self.site.store
        mode = self.random.choice(("busy", "slow", "lost", "refusing", "forgetting"))
        if mode == "forgetting":
            return store.truncate()
        if mode == "refusing":
            store.refused = {self.random.choice(store.servers).address}

            def restore_address():
                store.refused = set()
            return restore_address
        store.mode = mode

        def restore_mode():
            store.mode = "up"
        return restore_mode

    def replica_fault(self):
        replica = self.random.choice(self.site.models + self.site.plain)
        fault = self.random.choice(("refuse", "fail", "drop", "cut_after"))
        setattr(replica, fault, self.random.randint(1, 4))

        def clear_fault():
            setattr(replica, fault, 0)
        return clear_fault

    def remove_key(self):
        key = self.random.choice(("key-two", "key-three"))
        if key in self.removed_keys:
            return
        self.configuration["version"] += self.random.randint(1, 5)
        for tenant in self.configuration["tenants"]:
            tenant["api_keys"] = [api_key for api_key in tenant["api_keys"] if api_key != key]
        self.site.store.put("keyed.op", "config", copy.deepcopy(self.configuration))
        self.removed_keys[key] = time.monotonic()

    def name_weights(self):
        self.weight_version += 1
        self.site.store.put("keyed.op", "version/m", {"model": "m", "version": self.weight_version})

    def drain(self):
        remaining = [replica for replica in self.site.plain if replica not in self.draining]
        if len(remaining) < 2:
            return
        replica = self.random.choice(remaining)
        replica.register("draining")
        self.draining[replica] = time.monotonic()

    def inject_faults(self, seconds):
        """Injects a series of overlapping faults."""
        weighted_faults = ((self.kill, 2), (self.terminate, 2), (self.pause, 2), (self.link_fault, 4), (self.stall, 3), (self.store_fault, 3),
                 (self.replica_fault, 4), (self.remove_key, 1), (self.name_weights, 1))
        pending_ends = []
        started = time.monotonic()
        while time.monotonic() - started < seconds:
            now = time.monotonic()
            for end_time, end in [entry for entry in pending_ends if entry[0] <= now]:
                end()
                pending_ends.remove((end_time, end))
            fault = self.random.choices([method for method, _ in weighted_faults], [weight for _, weight in weighted_faults])[0]
            self.counts[fault.__name__] += 1
            if end := fault():
                pending_ends.append((now + self.random.uniform(0.2, 2.5), end))
            time.sleep(self.random.uniform(0.05, 0.6))
        for _, end in pending_ends:
            end()
        for daemon in self.site.daemons:
            self.start_if_stopped(daemon)
        self.site.store.mode, self.site.store.refused = "up", set()
        for proxy in self.proxies:
            proxy.set_mode("pass")

    # Callers.

    def send_requests(self, generator):
        """Sends requests over persistent connections to daemons that the directory lists, until the run finishes."""
        connection = None
        number = 0
        while not self.is_finished:
            number += 1
            if connection is None:
                connection = self.connect(generator)
                continue
            key = generator.choice(("key-one", "key-two", "key-three"))
            kind = generator.choice(("once", "safe", "stream"))
            identifier = f"{generator.getrandbits(64):016x}"
            fields = {"Host": "site.example", "X-Goldcrestwood-Request-Id": identifier, "X-Goldcrestwood-Key": key,
                      "X-Goldcrestwood-Deadline-Ms": str(generator.choice((300, 1000, 3000)))}
            if kind == "stream":
                fields.update({name.replace("_", "-"): value for name, value in site.PROMPT.items()})
            status, body, is_read_fully = None, b"", False
            try:
                connection.request("POST", f"/{kind}/{number}", b"body", fields)
                response = connection.getresponse()
                status = response.status
                body = response.read()
                is_read_fully = True
                if response.will_close:
                    connection = self.close(connection)
            except (OSError, http.client.HTTPException):
                connection = self.close(connection)
            with self.lock:
                self.answers.append((identifier, kind, key, status, body, is_read_fully))
            time.sleep(generator.uniform(0, 0.03))
        if connection is not None:
            connection.close()

    def connect(self, generator):
        daemon = generator.choice(self.site.daemons)
        try:
            addresses = json.loads(site.call(daemon.directory, "GET", "/resolve?name=site.example&zone=zone-1", timeout=1)[2])["addrs"]
        except (OSError, ValueError, KeyError, http.client.HTTPException):
            time.sleep(0.05)
            return None
        host, _, port = generator.choice(addresses).rpartition(":")
        return http.client.HTTPConnection(host, int(port), timeout=5)

    @staticmethod
    def close(connection):
        connection.close()

    def watch_keys(self):
        """Checks that a key that a process has refused stays refused there; a new process must first learn of the removal."""
        refused = set()
        while not self.is_finished:
            for daemon in self.site.daemons:
                pid = daemon.process.pid
                for key in tuple(self.removed_keys):
                    try:
                        status = site.request(daemon, "/once/watch", b"", key=key, timeout=1)[1]
                    except (OSError, http.client.HTTPException):
                        continue
                    if status == 401:
                        refused.add((pid, key))
                    elif status not in NOT_RUN_STATUSES and (pid, key) in refused and daemon.process.pid == pid:
                        self.report_violation(f"configuration was reverted at {daemon.node}: {key} got {status}")
            time.sleep(0.05)

    # Guarantees.

    def check_recovery(self):
        """Checks that the site serves and the operator's changes are in force once all faults have ended."""
        try:
            for daemon in self.site.daemons:
                site.wait_until(daemon.is_ready, f"{daemon.node} is ready again", RECOVERY_SECONDS)
                site.wait_until(lambda target=daemon: site.request(target, "/once/end", b"")[1] == 200, f"{daemon.node} serves again", RECOVERY_SECONDS)
                for key in self.removed_keys:
                    site.wait_until(lambda target=daemon, removed_key=key: site.request(target, "/once/end", b"", key=removed_key)[1] == 401,
                                    f"{daemon.node} refuses {key}", RECOVERY_SECONDS)
            site.wait_until(lambda: all(replica.report()["models"][0]["version"] == self.weight_version for replica in self.site.models),
                            f"weights {self.weight_version} at all replicas", RECOVERY_SECONDS)
        except (TimeoutError, OSError, http.client.HTTPException) as error:
            self.report_violation(f"no recovery: {error}")

    def run_retry_storm(self):
        """Load pattern: nearly all answers of a service fail at once, so that every request would be retried."""
        for replica in self.site.plain:
            replica.fail = 1000
        time.sleep(STORM_SECONDS)
        for replica in self.site.plain:
            replica.fail = 0

    def check_drain(self):
        """Checks that a draining replica gets no request after its drain time; no other fault is active."""
        self.drain()
        time.sleep(DRAIN_SECONDS + 2 * SLACK_SECONDS)
        for replica, since in self.draining.items():
            late = [identifier for arrived, identifier in replica.arrivals if arrived > since + DRAIN_SECONDS + SLACK_SECONDS]
            if late:
                self.report_violation(f"{replica.id} got {len(late)} requests after its drain time")

    def check_notices(self):
        """Checks that a replica gets no request after the drain time once its answers say that it leaves, and none during the
        backoff that its refusals ask for; no other fault is active.

        A daemon learns of either only from its first such answer; until then each caller may have one request in flight through it.
        """
        leaving, overloaded = [replica for replica in self.site.plain if replica not in self.draining]
        leaving.leaving = True
        since = time.monotonic()
        time.sleep(DRAIN_SECONDS + 4 * SLACK_SECONDS)
        late = sum(arrived > since + DRAIN_SECONDS + SLACK_SECONDS for arrived, _ in leaving.offers)
        self.counts["after leaving"] = late
        if late > CALLERS:
            self.report_violation(f"{leaving.id} got {late} requests after it announced that it leaves")
        leaving.leaving = False
        leaving.register("ready", born=2)
        overloaded.rest, overloaded.refuse = BACKOFF_SECONDS, 1 << 30
        before = len(overloaded.offers)
        time.sleep(BACKOFF_SECONDS)
        offers = len(overloaded.offers) - before
        overloaded.refuse = 0
        self.counts["while resting"] = offers
        if offers > CALLERS * len(self.site.daemons):
            self.report_violation(f"{overloaded.id} got {offers} requests during its backoff")

    def check_answers(self):
        runs = collections.Counter()
        accounts = {}
        for replica in self.site.models + self.site.plain:
            for identifier, fields, _ in replica.requests:
                runs[identifier] += 1
                accounts[identifier] = fields.get("X-Goldcrestwood-Tenant")
        for identifier, kind, key, status, body, is_read_fully in self.answers:
            self.counts[f"answers {status}"] += 1
            if kind == "once" and runs[identifier] > 1:
                self.report_violation(f"{identifier} ran {runs[identifier]} times, though it may run only once")
            if status in NOT_RUN_STATUSES and runs[identifier]:
                self.report_violation(f"{identifier} got {status}, which means 'not run', but ran")
            if identifier in accounts and accounts[identifier] != (None if kind == "safe" else ACCOUNT_BY_KEY[key]):
                self.report_violation(f"{identifier} ran for {accounts[identifier]} with a key of {ACCOUNT_BY_KEY[key]}")
            if status == 200 and is_read_fully and not self.is_complete(kind, body):
                self.report_violation(f"{identifier} ({kind}) looks complete but is not: {body[:60]!r}")
        for replicas in (self.site.models, self.site.plain):
            self.check_budget(sorted(offer for replica in replicas for offer in replica.offers))

    def check_budget(self, offers):
        """Checks that in any window the retries of all daemons together stay within the budget of the service."""
        seen = set()
        window = collections.deque()
        retries = 0
        max_retries = 0
        for sent_at, identifier in offers:
            window.append((sent_at, identifier in seen))
            retries += identifier in seen
            seen.add(identifier)
            while sent_at - window[0][0] > RETRY_WINDOW_SECONDS:
                retries -= window.popleft()[1]
            # A restarted process has no record of what its predecessor sent.
            budget = RETRY_RATIO * (len(window) - retries) + RETRY_SLACK * self.process_starts / len(self.site.daemons)
            max_retries = max(max_retries, retries)
            if retries > budget:
                self.report_violation(f"more retries in {RETRY_WINDOW_SECONDS:.0f} s than the budget allows")
        self.counts["most further sends"] = max(max_retries, self.counts["most further sends"])

    @staticmethod
    def is_complete(kind, body):
        if kind != "stream":
            return body.endswith(b":body")
        id_lines = [line for line in body.decode().splitlines() if line.startswith("id:")]
        return id_lines == [f"id: {number}" for number in range(1, 6)]


def play(seed, seconds, daemons):
    """Runs one seed. Returns the violated guarantees and the counts of events."""
    soak = Soak(seed, daemons)
    threads = [threading.Thread(target=soak.send_requests, args=(random.Random(seed * 1000 + number),)) for number in range(CALLERS)]
    threads.append(threading.Thread(target=soak.watch_keys))
    with soak.site:
        for thread in threads:
            thread.start()
        try:
            soak.inject_faults(seconds)
            soak.check_recovery()
            soak.run_retry_storm()
            soak.check_drain()
            soak.check_notices()
        finally:
            soak.is_finished = True
            for thread in threads:
                thread.join()
        soak.check_answers()
        for daemon in soak.site.daemons:
            if daemon.process.poll() is not None:
                soak.report_violation(f"{daemon.node} exited unexpectedly with {daemon.process.returncode}")
    for proxy in soak.proxies:
        proxy.stop()
    return sorted(soak.violations), dict(soak.counts)
