"""A daemon that is added after a replica has left takes the replica's late write for a new entry, and sends it orders."""

import http.client
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import site_2 as shared  # noqa: E402
from site_2 import edge_site as site  # noqa: E402

DAEMONS, REPLICAS, CALLERS = 3, 4, 3
ROUNDS, ROUND_SECONDS = 3, 20.0
BEAT = 1.2  # heartbeat_ms
LOST = 4.5  # Length of platform_lost on the site.
LATE = 5.9  # Lost writes are done 1 to 6 s later.
CONTACT = 3.0  # contact_ms: the store is stable after it, and calm machines are in touch.
DRAIN = 2.0  # drain_ms
SERVES_ON = 6.0  # After its removal: drain_ms and longer, at times many seconds.


class Replica(site.Replica):
    """A replica that renews its entry, and leaves without a report: its entry is removed and it serves on for some time."""

    def __init__(self, store, number, record):
        super().__init__(store, number, "plain", "plain", f"zone-{number % 3}")
        self.record, self.delay, self.sequence = record, 0.06, 1
        self.is_late, self.gone_at, self.lock = False, None, threading.Lock()
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        due = time.monotonic() + BEAT
        while True:
            time.sleep(max(0.0, due - time.monotonic()))
            due += BEAT
            with self.lock:
                if self.gone_at is not None:
                    return
                self.sequence += 1
                if self.is_late:
                    self.is_late = False
                    self.record.write("store_does_not_answer", replica=self.id, seq=self.sequence)
                    threading.Timer(LATE, self.carry_out, (self.sequence,)).start()
                else:
                    self.register("ready", seq=self.sequence)

    def carry_out(self, sequence):
        self.register("ready", seq=sequence)
        self.record.write("store_carries_out", replica=self.id, seq=sequence)
        # Nothing renews it: the store removes it after three intervals of silence.
        threading.Timer(3 * BEAT, self.leave).start()

    def go(self):
        with self.lock:
            self.leave()
            self.gone_at = time.monotonic()
        self.record.write("store_accepts_removal", replica=self.id, seq=self.sequence)


def case(record):
    with site.EdgeSite(daemons=DAEMONS, models=1, plain=0, configuration=shared.configuration(), bounds=shared.BOUNDS) as edge:
        replicas = [Replica(edge.store, number, record) for number in range(REPLICAS)]
        time.sleep(1)
        sent, lock, daemons = {}, threading.Lock(), list(edge.daemons)
        started = {daemon.node: time.monotonic() - CONTACT for daemon in daemons}

        def caller(daemon):
            def run(ended):
                while not ended.is_set():
                    began = time.monotonic()
                    try:
                        identifier, status, _, _ = site.request(daemon, "/once/order", b"order", timeout=6)
                    except (OSError, http.client.HTTPException) as error:
                        identifier, status = f"none-{began}", type(error).__name__
                    with lock:
                        sent[identifier] = (daemon.node, began, str(status))
                    if status != 200:
                        record.write("order", request=identifier, daemon=daemon.node, answer=str(status))
                    ended.wait(0.05)
            return run

        def add_daemon(ended, number):
            daemon = site.Daemon(number, edge.store, edge.folder, [f"{site.SUBNET}.{seed + 1}" for seed in range(3)], bounds=shared.BOUNDS)
            edge.callback(daemon.stop)
            daemon.start()
            started[daemon.node] = time.monotonic()
            record.write("daemon_added", node=daemon.node)
            site.wait_until(daemon.is_ready, "the added daemon is ready", check=daemon.process)
            daemons.append(daemon)
            callers.threads.extend(threading.Thread(target=caller(daemon), args=(ended,)) for _ in range(CALLERS))
            for thread in callers.threads[-CALLERS:]:
                thread.start()

        with shared.threads(*(caller(daemon) for daemon in edge.daemons for _ in range(CALLERS))) as callers:
            begun = time.monotonic() + 1
            for turn in range(ROUNDS):
                replica = replicas[turn]
                time.sleep(max(0.0, begun + turn * ROUND_SECONDS - time.monotonic()))
                record.write("answers_are_lost" if shared.TROUBLE else "calm")
                time.sleep(LOST - BEAT)
                replica.is_late = shared.TROUBLE  # Its next write, the last one in the disruption.
                time.sleep(BEAT)
                record.write("store_answers_again")
                time.sleep(CONTACT + 0.1)
                replica.go()
                add_daemon(callers.ended, DAEMONS + 1 + turn)
                time.sleep(max(0.0, replica.gone_at + SERVES_ON - time.monotonic()))
                replica.server.abort()
                record.write("replica_exits", replica=replica.id)
            time.sleep(max(0.0, begun + ROUNDS * ROUND_SECONDS - 4 - time.monotonic()))
        late = 0
        for replica in replicas[:ROUNDS]:
            for at, identifier in replica.arrivals:
                node, began, status = sent.get(identifier, ("unknown", 0.0, "none"))
                in_touch = node in started and began >= started[node] + CONTACT
                if at > replica.gone_at + DRAIN:
                    late += in_touch
                    record.write("late_order", request=identifier, replica=replica.id, after_s=round(at - replica.gone_at, 3), daemon=node, in_touch=in_touch, answer=status)
        statuses = [status for _, _, status in sent.values()]
        record.write("orders", answers={status: statuses.count(status) for status in sorted(set(statuses))}, late_from_machines_in_touch=late)
        return late > 0


if __name__ == "__main__":
    shared.run(case, pathlib.Path(__file__).parent)
