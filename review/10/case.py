"""Another writer leaves entries that cannot be read in the registry; the daemons keep their bytes until their memory is used up."""

import base64
import http.client
import json
import pathlib
import sys
import time
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import site_2 as shared  # noqa: E402
from site_2 import edge_site as site  # noqa: E402

MEMORY_MB = 110  # memory_mb of the Khangai sheet.
ENTRIES, ENTRY_BYTES = 440, 250_000  # record_bytes allows 262,144; all together 110 MB of the 400 MB that the store keeps.
RUN_SECONDS = 80
MACHINES, ENDS = 2, 3  # The rule: on a tenth of the machines, two at least, three times.


PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20


class PagingHandler(site.StoreHandler):
    """Lists the newest records in pages, as the platform's store does."""

    def do_GET(self):
        path, _, query = self.path.partition("?")
        if path != "/log-newest":
            return super().do_GET()
        fields = dict(urllib.parse.parse_qsl(query))
        store = self.server.owner
        with store.changed:
            records = list(store.topics.get(fields["topic"], []))
        latest = {record[1:1 + record[0]].decode(): offset for offset, record in enumerate(records)}
        items, size, more = [], 0, False
        for key in sorted(key for key in latest if key > fields.get("after", "")):
            value = records[latest[key]][1 + len(key):]
            if not value:
                continue
            if len(items) >= PAGE_ITEMS or size + len(value) > PAGE_BYTES:
                more = True
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": latest[key]})
        return self.answer(200, json.dumps({"items": items, "more": more, "end": len(records)}).encode())


def write(store, key, value):
    with store.changed:
        store.topics["keyed.servers"].append(bytes([len(key)]) + key.encode() + value)
        store.changed.notify_all()


def case(record):
    with site.EdgeSite(daemons=3, configuration=shared.configuration(), memory_mb=MEMORY_MB, bounds=shared.BOUNDS) as edge:
        for server in edge.store.servers:
            server.RequestHandlerClass = PagingHandler
        time.sleep(1)
        platform = shared.Platform(record, edge.daemons, MEMORY_MB)
        orders = {}

        def ordinary(daemon):
            def run(ended):
                while not ended.is_set():
                    try:
                        status = str(site.request(daemon, "/once/order", b"order", timeout=5)[1])
                    except (OSError, http.client.HTTPException) as error:
                        status = type(error).__name__
                    answers = orders.setdefault(daemon.node, {})
                    answers[status] = answers.get(status, 0) + 1
                    ended.wait(0.1)
            return run

        def other_writer(ended):
            for number in range(ENTRIES):
                if shared.TROUBLE:
                    write(edge.store, f"odd-{number:04d}", b"\xff" * ENTRY_BYTES)
                else:
                    edge.plain[0].register("ready", seq=2 + number)
                if number % 40 == 39:
                    record.write("written", entries=number + 1)
                if ended.wait(0.05):
                    return

        watchers = [lambda ended, daemon=daemon: platform.watch(daemon, ended) for daemon in edge.daemons]
        with shared.threads(other_writer, *watchers, *(ordinary(daemon) for daemon in edge.daemons)):
            deadline = time.monotonic() + RUN_SECONDS
            while time.monotonic() < deadline and sum(ends >= ENDS for ends in platform.ends.values()) < MACHINES:
                time.sleep(0.2)
        record.write("orders", answers=orders)
        record.write("platform", ends=platform.ends, peak_mb={node: round(used) for node, used in platform.peak_mb.items()})
        return sum(ends >= ENDS for ends in platform.ends.values()) >= MACHINES


if __name__ == "__main__":
    shared.run(case, pathlib.Path(__file__).parent)
