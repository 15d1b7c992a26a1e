"""Callers name many prompt parts in each request; the daemons weigh them for seconds, and ordinary orders get no answer in time."""

import json
import pathlib
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import site_2 as shared  # noqa: E402
from site_2 import edge_site as site  # noqa: E402

MEMORY_MB = 110  # As on the Khangai sheet, which also has 9 model replicas with 64 slots.
CONNECTIONS = 600  # At three daemons, each of which accepts 880.
PARTS = 1400
SECONDS = 40
ORDER_TIMEOUT = 4.0  # The route's timeout_ms.
LATE_AFTER = 0.5  # The rule: no final answer 0.5 s after the timeout.
LEAST_LATE, LATE_SHARE = 8, 0.25


def processor_seconds(daemon):
    with open(f"/proc/{daemon.process.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


def start(kind, seconds, connections, parts, fronts):
    """Starts callers in a process of their own, so that the stand-ins do not delay them."""
    script = pathlib.Path(__file__).with_name("callers.py")
    return subprocess.Popen([sys.executable, script, kind, str(seconds), str(connections), str(parts), fronts], stdout=subprocess.PIPE, text=True)


def count(results):
    statuses = {}
    for _, _, status in results:
        statuses[status] = statuses.get(status, 0) + 1
    return statuses


def case(record):
    configuration = shared.configuration(stream={"timeout_ms": 10000}, once={"timeout_ms": int(ORDER_TIMEOUT * 1000)})
    configuration["services"][0]["engine"].update(slots=64, kv_tokens=107588)
    configuration["services"][0]["max_conns"] = 360
    with site.EdgeSite(daemons=3, models=9, plain=3, configuration=configuration, memory_mb=MEMORY_MB, bounds=shared.BOUNDS) as edge:
        for replica in edge.models:
            replica.gap, replica.pieces, replica.slots = 0.5, 8, 64
            replica.register("ready", seq=2)
        for replica in edge.plain:
            replica.delay = 0.06
        time.sleep(2)
        fronts = ",".join(daemon.front for daemon in edge.daemons)
        used = [processor_seconds(daemon) for daemon in edge.daemons]
        crowd = start("uncontrolled", SECONDS, CONNECTIONS, PARTS if shared.TROUBLE else 3, fronts)
        callers = start("ordinary", SECONDS - 1, 12, 0, fronts)
        try:
            orders = json.loads(callers.communicate(timeout=SECONDS + 20)[0])
            used = [round((processor_seconds(daemon) - before) / SECONDS, 2) for daemon, before in zip(edge.daemons, used)]
            answers = json.loads(crowd.communicate(timeout=30)[0])
        finally:
            for process in (crowd, callers):
                process.kill()
                process.wait()
            ended = [daemon.process.poll() is not None for daemon in edge.daemons]
            for daemon in edge.daemons:
                daemon.stop()
        for began, seconds, status in orders:
            if seconds > ORDER_TIMEOUT:
                record.write("late_order", sent_at=round(began - record.began, 2), answered_after_s=round(seconds, 2), answer=status)
        long = [seconds for _, seconds, _ in orders if seconds > ORDER_TIMEOUT]
        late = [seconds for seconds in long if seconds > ORDER_TIMEOUT + LATE_AFTER]
        record.write("uncontrolled", answers=count(answers))
        record.write("daemons", share_of_a_core=used, ended=ended)
        record.write("orders", sent=len(orders), answers=count(orders), longer_than_timeout=len(long), unanswered_half_a_second_later=len(late))
        return len(late) >= LEAST_LATE and len(late) > LATE_SHARE * len(long)


if __name__ == "__main__":
    shared.run(case, pathlib.Path(__file__).parent)
