"""Shared by the scripts of the second review: the users' build of the daemon, a small site on loopback and the record of a run."""

import contextlib
import copy
import json
import os
import pathlib
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
os.environ["GOLDCREST_BUILD"] = str(ROOT / "target")  # Where the build of the deploy file puts the daemon.
sys.path.insert(0, str(ROOT / "support"))
sys.dont_write_bytecode = True

import edge_site  # noqa: E402

RESTART_SECONDS = 0.5
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# As the example of the pages' wire has them.
LIMITS = {"header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
# As the sheets of the small deployments have them.
BOUNDS = "contact_ms = 3000\nack_ms = 4000\nconverge_ms = 2000\nlease_ms = 3000\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 54\n"


class Record:
    """Writes what was sent, answered and run to record.txt in the case's folder."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def write(self, event, **fields):
        with self.lock:
            at = time.monotonic() - self.began
            self.file.write(f"{at:8.3f} {event} " + " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items()) + "\n")
            self.file.flush()


class Platform:
    """Ends a daemon whose memory exceeds memory_mb, and starts it again, as the pages say of the machines."""

    def __init__(self, record, daemons, memory_mb):
        self.record, self.limit_mb = record, memory_mb
        self.ends = {daemon.node: 0 for daemon in daemons}
        self.peak_mb = {daemon.node: 0.0 for daemon in daemons}

    @staticmethod
    def memory_mb(daemon):
        with open(f"/proc/{daemon.process.pid}/status", encoding="ascii") as status:
            return int(next(line for line in status if line.startswith("VmRSS")).split()[1]) / 1024

    def watch(self, daemon, ended):
        while not ended.is_set():
            if daemon.process.poll() is not None:
                self.restart(daemon, "ended by itself")
                continue
            used = self.memory_mb(daemon)
            self.peak_mb[daemon.node] = max(self.peak_mb[daemon.node], used)
            if used > self.limit_mb:
                self.restart(daemon, f"used {used:.0f} MB of {self.limit_mb}")
            time.sleep(0.05)

    def restart(self, daemon, why):
        daemon.stop()
        self.ends[daemon.node] += 1
        self.record.write("daemon_ended", node=daemon.node, why=why, times=self.ends[daemon.node])
        time.sleep(RESTART_SECONDS)
        daemon.start()
        self.record.write("daemon_started", node=daemon.node)


def configuration(**changes):
    """Returns the site's configuration with the limits of the pages; changes go into the routes of that name."""
    result = copy.deepcopy(edge_site.CONFIGURATION)
    result["limits"] = dict(LIMITS)
    for route in result["routes"]:
        route.update(changes.get(route["name"], {}))
    return result


def run(case, folder):
    """Runs a case and ends the process with its result: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    record.write("begin", trouble=TROUBLE)
    try:
        broken = case(record)
    except Exception as error:  # The case's own failure is no result.
        record.write("not_run", error=f"{type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        code = NOT_RUN
    else:
        record.write("result", rule_broken=broken)
        print("rule broken" if broken else "rule held")
        code = BROKEN if broken else HELD
    sys.stdout.flush()
    os._exit(code)  # Threads of stand-ins may still wait for calls.


@contextlib.contextmanager
def threads(*functions):
    """Runs functions until the block ends; each gets the event that ends it."""
    with edge_site.Callers(functions) as callers:
        yield callers
