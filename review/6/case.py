"""A faulty replica sends bytes that are not its answer but begin like one; a caller gets them as the success of its order."""

import http.client
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import site_2 as shared  # noqa: E402
from site_2 import edge_site as site  # noqa: E402

SECONDS = 60
CALLERS, PAUSE = 12, 1.2  # Longer than the replicas keep an idle connection, so that most orders begin a new one.
REPLICAS, FAULTY = 4, 2  # share = .5
EVERY = 50  # A faulty replica spoils one answer of this many: x = .02.
NO_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n"


class OrderReplica(site.ReplicaHandler):
    """Runs orders and answers with the seal; a faulty one now and then sends other bytes, and has not run the order then."""

    def serve(self):
        replica = self.server.owner
        body = self.body()
        request = self.headers.get("X-Goldcrestwood-Request-Id", "")
        headers = [("X-Goldcrestwood-Request-Id", request), ("X-Goldcrestwood-Instance-Id", replica.id)]
        if self.headers.get("X-Goldcrestwood-Expect-Instance") not in (None, replica.id):
            return self.answer(421, headers=[*headers, ("X-Goldcrestwood-Not-Executed", "1")])
        with replica.crash_lock:
            replica.received += 1
            spoils = replica.faulty and replica.received % EVERY == 0
        if spoils:
            replica.spoiled.append(request)
            self.close_connection = True
            self.wfile.write(NO_ANSWER)
            return None
        time.sleep(0.06)  # The work of an order on the sheet.
        replica.ran.append(request)
        # A server closes idle connections after a while and says so; occasionally it ends one.
        return self.answer(200, replica.id.encode() + b":" + body,
                           [*headers, ("X-Goldcrestwood-Response-Seal", f"{replica.id}.{request}"), ("Keep-Alive", "timeout=1")])


def case(record):
    with site.EdgeSite(daemons=2, plain=0, configuration=shared.configuration(), bounds=shared.BOUNDS) as edge:
        replicas = []
        for number in range(REPLICAS):
            replica = site.Replica(edge.store, 10 + number, "plain", "plain", f"zone-{number % 3}", slots=6)
            replica.server.RequestHandlerClass = OrderReplica
            replica.received, replica.spoiled, replica.ran = 0, [], []
            replica.faulty = shared.TROUBLE and number < FAULTY
            replicas.append(replica)
        time.sleep(2)
        answers, lock = [], threading.Lock()

        def caller(daemon):
            def run(ended):
                while not ended.is_set():
                    try:
                        identifier, status, headers, body = site.request(daemon, "/once/order", b"order")
                        with lock:
                            answers.append((identifier, status, headers.get("X-Goldcrestwood-Response-Seal"), body))
                    except (OSError, http.client.HTTPException) as error:
                        with lock:
                            answers.append((None, type(error).__name__, None, b""))
                    # All callers send at the same moments.
                    ended.wait(PAUSE - time.monotonic() % PAUSE)
            return run

        with shared.threads(*(caller(edge.daemons[number % 2]) for number in range(CALLERS))):
            time.sleep(SECONDS)
        ran = {request for replica in replicas for request in replica.ran}
        spoiled = {request for replica in replicas for request in replica.spoiled}
        statuses = {}
        broken = 0
        for identifier, status, seal, body in answers:
            statuses[str(status)] = statuses.get(str(status), 0) + 1
            if isinstance(status, int) and 200 <= status < 300 and not seal:
                broken += 1
                record.write("success_without_seal", request=identifier, status=status, body=body.decode("latin-1"), ran=identifier in ran, spoiled=identifier in spoiled)
        for replica in replicas:
            record.write("replica", id=replica.id, faulty=replica.faulty, received=replica.received, ran=len(replica.ran), spoiled=replica.spoiled)
        record.write("callers", sent=len(answers), answers=statuses, successes_without_seal=broken)
        return broken > 0


if __name__ == "__main__":
    shared.run(case, pathlib.Path(__file__).parent)
