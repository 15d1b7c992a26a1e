"""A prompt part that crashes each replica which begins to answer it."""

import contextlib
import http.client
import json
import threading
import time
import unittest

import edge_site as site

DEADLY = "dead01"
CRASHES_OF_RULE = 5
CONTACT_SECONDS = 3
MAX_LATE_REQUESTS = 3


def prompt(number, deadly):
    middle = DEADLY if deadly else "bb01"
    return {**site.PROMPT, "X_Goldcrestwood_Prefix_Hash": f"aa01:700,{middle}:200,c{number:05x}:100"}


class DeadlyPartTest(unittest.TestCase):
    def test_requests_with_a_part_that_crashes_replicas_stop_reaching_them(self):
        edge = self.enterContext(site.EdgeSite(daemons=2, models=6))
        for replica in edge.models:
            replica.deadly_part = DEADLY
        answers = {}
        numbers = iter(range(1, 1 << 20))
        stop = threading.Event()

        def send(deadly, pause):
            while not stop.is_set():
                number = next(numbers)
                identifier = f"d{number:015x}"
                answers[identifier] = (deadly, None, None)
                # A crash also breaks sound streams in progress; their caller goes on.
                with contextlib.suppress(http.client.HTTPException, OSError):
                    _, status, headers, _ = site.request(edge.daemons[number % 2], "/stream/a", b"p", **prompt(number, deadly), X_Goldcrestwood_Request_Id=identifier)
                    answers[identifier] = (deadly, status, headers.get("Retry-After"))
                stop.wait(pause)

        def crashes():
            return sorted(crash for replica in edge.models for crash in replica.crashes)

        callers = [threading.Thread(target=send, args=(True, 0.1)), threading.Thread(target=send, args=(False, 0.05))]
        for caller in callers:
            caller.start()
        try:
            site.wait_until(lambda: len(crashes()) >= CRASHES_OF_RULE, "crashes", 30)
            contact = crashes()[CRASHES_OF_RULE - 1] + CONTACT_SECONDS
            site.wait_until(lambda: time.monotonic() > contact + 4, "some time after the contact time", 30)
        finally:
            stop.set()
            for caller in callers:
                caller.join()
        deadly = {identifier for identifier, (is_deadly, _, _) in answers.items() if is_deadly}
        late = [request for replica in edge.models for at, request in replica.offers if request in deadly and at > contact]
        self.assertLessEqual(len(late), MAX_LATE_REQUESTS)
        refused = [retry_after for is_deadly, status, retry_after in answers.values() if is_deadly and status == 503]
        self.assertGreater(len(refused), 10)
        self.assertGreater(float(refused[-1]), 60)
        sound = [status for is_deadly, status, _ in answers.values() if not is_deadly]
        self.assertEqual(sound[-20:], [200] * 20)
        for daemon in edge.daemons:
            state = json.loads(site.call(daemon.metrics, "GET", "/state")[2])
            self.assertEqual(list(state["quarantined_parts"]), [DEADLY])


if __name__ == "__main__":
    unittest.main()
