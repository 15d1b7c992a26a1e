"""The store carries out a replica's write seconds late: an entry that says `ready` follows those that say `draining`."""

import contextlib
import http.client
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from common import HAS_TROUBLE, run, site  # noqa: E402

DAEMONS, REPLICAS, CALLERS_PER_DAEMON = 3, 4, 3
ROUNDS = 3  # One replica leaves in each.
BEAT_SECONDS = 1.2  # heartbeat_ms
LOST_SECONDS = 4.5  # Length of platform_lost.
LATE_SECONDS = 5.9  # Lost writes are done 1 to 6 s later.
CONTACT_SECONDS = 3.0  # contact_ms: the store is stable after it, and calm machines are in touch.
DRAIN_SECONDS = 2.0  # drain_ms
EXIT_SECONDS = 3.3  # A leaving replica serves for drain_ms and a little longer.
ROUND_SECONDS = 18.0


class Replica(site.Replica):
    """A replica that writes its entry again and again, and leaves on request."""

    def __init__(self, store, number, record):
        super().__init__(store, number, "plain", "plain", f"zone-{number % 3}")
        self.record = record
        self.delay = 0.06
        self.lock = threading.Lock()
        self.state, self.sequence, self.next_beat = "ready", 1, time.monotonic() + BEAT_SECONDS
        self.is_late = False  # Whether its next write is carried out late.
        self.drained_at = None  # When the store accepted that it drains.
        self.exited_at = None
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while self.exited_at is None:
            time.sleep(0.01)
            with self.lock:
                if self.exited_at is None and time.monotonic() >= self.next_beat:
                    self.write()
                    self.next_beat += BEAT_SECONDS

    def write(self):
        self.sequence += 1
        entry = {"service": "plain", "addr": self.address, "zone": self.domain, "version": "v1", "slots": self.slots, "state": self.state,
                 "cold_left_ms": 0, "seq": self.sequence, "born": self.born}
        if self.is_late:
            self.is_late = False
            self.record.add(f"store: no answer to the write of {self.id}, state {self.state}, seq {self.sequence}")
            threading.Timer(LATE_SECONDS, self.carry_out, (entry,)).start()
            return
        self.store.put("keyed.servers", self.id, entry)

    def carry_out(self, entry):
        self.store.put("keyed.servers", self.id, entry)
        self.record.add(f"store: carries out the write of {self.id}, state {entry['state']}, seq {entry['seq']}")

    def drain(self):
        with self.lock:
            self.state = "draining"
            self.write()
            self.drained_at = time.monotonic()
            self.next_beat = self.drained_at + BEAT_SECONDS
        self.record.add(f"store: accepts that {self.id} is draining, seq {self.sequence}")

    def exit(self):
        with self.lock:
            self.exited_at = time.monotonic()
            self.store.put("keyed.servers", self.id, None)
        self.server.abort()  # What it has not answered is lost.
        self.record.add(f"{self.id} has left")


class Callers:
    """Callers that send orders all the time, each at most once."""

    def __init__(self, daemons, record):
        self.record = record
        self.is_finished = False
        self.outcomes = {}
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.send, args=(daemon,), daemon=True) for daemon in daemons for _ in range(CALLERS_PER_DAEMON)]
        for thread in self.threads:
            thread.start()

    def send(self, daemon):
        while not self.is_finished:
            try:
                identifier, status, _, _ = site.request(daemon, "/once/order", b"order", timeout=6)
                outcome = str(status)
            except (OSError, http.client.HTTPException) as error:
                identifier, outcome = "", f"no answer ({type(error).__name__})"
            if outcome != "200":
                self.record.add(f"caller: order {identifier} at {daemon.node} gets {outcome}")
            with self.lock:
                self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
            time.sleep(0.02)

    def stop(self):
        self.is_finished = True
        for thread in self.threads:
            thread.join()


def case(record):
    with contextlib.ExitStack() as stack:
        edge = stack.enter_context(site.EdgeSite(daemons=DAEMONS, models=1, plain=0))
        replicas = [Replica(edge.store, number, record) for number in range(REPLICAS)]
        time.sleep(1.0)
        callers = Callers(edge.daemons, record)
        stack.callback(callers.stop)
        begun = time.monotonic()

        def wait_to(moment):
            time.sleep(max(0.0, moment - time.monotonic()))

        for turn in range(ROUNDS):
            replica = replicas[turn]
            wait_to(begun + 1.0 + turn * ROUND_SECONDS)
            record.add("answers of the store are lost" if HAS_TROUBLE else "calm")
            wait_to(time.monotonic() + LOST_SECONDS - BEAT_SECONDS)
            with replica.lock:  # Its next write is the last in the disruption.
                replica.is_late = HAS_TROUBLE
                replica.next_beat = time.monotonic() + BEAT_SECONDS - 0.1
            ends_at = time.monotonic() + BEAT_SECONDS
            wait_to(ends_at)
            record.add("the store answers all again")
            wait_to(ends_at + CONTACT_SECONDS + 0.1)
            replica.drain()
            wait_to(replica.drained_at + EXIT_SECONDS)
            replica.exit()
        wait_to(begun + 1.0 + ROUNDS * ROUND_SECONDS - 6.0)
        callers.stop()
        record.add(f"orders by outcome: {callers.outcomes}")
        late = 0
        for replica in replicas[:ROUNDS]:
            arrivals = [(at, identifier) for at, identifier in replica.arrivals if at > replica.drained_at + DRAIN_SECONDS]
            late += len(arrivals)
            for at, identifier in arrivals:
                record.add(f"order {identifier} reached {replica.id} {at - replica.drained_at:.3f} s after the store accepted that it was draining")
            record.add(f"{replica.id} got {len(replica.arrivals)} orders in all")
        if late:
            return [f"{late} orders reached replicas later than {DRAIN_SECONDS:.0f} s after the store accepted that they were draining"]
        return []


run(case, pathlib.Path(__file__).parent)
