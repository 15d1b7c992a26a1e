"""Shared by the cases: starts the daemons with the deploy file's program and records what callers, replicas and the platform see."""

import os
import pathlib
import signal
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
os.environ["GOLDCREST_BUILD"] = str(ROOT / "target")
sys.path.insert(0, str(ROOT / "support"))
sys.dont_write_bytecode = True

import edge_site as site  # noqa: E402  (needs the path and the variable above)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2


class Record:
    """The file record.txt of a case: lines with the time since its start."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.path.write_text("")

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        with self.lock, self.path.open("a") as file:
            file.write(f"{self.now():8.3f} s  {text}\n")


def run(case, folder):
    """Runs a case and ends with its result: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    # A case that is ended from outside still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(folder)
    record.add(f"disruption: {'on' if HAS_TROUBLE else 'off'}")
    if not (ROOT / "target" / "goldcrestd").exists():
        record.add("target/goldcrestd is missing: run the build line of deploy/system.toml")
        sys.exit(NOT_RUN)
    try:
        findings = case(record)
    except Exception as error:  # A fault of the case itself is no broken rule.
        record.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    for finding in findings:
        record.add("BROKEN: " + finding)
        print("BROKEN: " + finding)
    if not findings:
        record.add("the rule held")
        print("the rule held")
    sys.exit(BROKEN if findings else HELD)
