"""Several replicas send answers that never end, to requests and to the daemon's own calls, while callers read."""

import collections
import threading
import time
import unittest

import edge_site as site

MEMORY_MB = 110  # memory_mb in the settings: the platform kills a process that exceeds it.
ENDLESS_SECONDS = 6
CALLERS = 12
SPOILED_SECONDS = 4
PLAIN, ENDLESS_PLAIN = 9, 5
MODELS, ENDLESS_MODELS = 9, 5


class EndlessAnswersTest(unittest.TestCase):
    def read(self, daemon, path, end, outcomes):
        while time.monotonic() < end:
            arguments = {"body": b"p", **site.PROMPT} if path.startswith("/stream") else {"method": "GET"}
            try:
                outcomes[path, site.request(daemon, path, **arguments)[1]] += 1
            except OSError as error:
                outcomes[path, type(error).__name__] += 1

    def test_a_large_answer_that_makes_no_sense_does_not_exceed_the_memory(self):
        # Fault: what a few megabytes decode to, and the findings on them, took many times as much.
        for name, body in (("rows", b'{"boot_epoch":7,"next_token":0,"events":[' + b"0," * (6 << 20) + b"0]}"),
                           ("a few rows", b'{"boot_epoch":7,"next_token":0,"events":[' + b"0," * (500 << 10) + b"0]}"),
                           ("nesting", b"[" * (1000 << 10) + b"]" * (20 << 10))):
            with self.subTest(name), site.EdgeSite(daemons=1, models=3) as edge:
                for replica in edge.models:
                    replica.call_body = body
                time.sleep(SPOILED_SECONDS)
                self.assertIsNone(edge.daemons[0].process.poll())
                self.assertLess(edge.daemons[0].peak_mb(), MEMORY_MB)
                self.assertGreater(sum(replica.flooded_calls for replica in edge.models), 0)

    def test_answers_without_end_do_not_exceed_the_memory(self):
        # Fault: each answer was bounded, their sum was not; the process ended with the requests of all callers.
        for where in ("body", "head"):
            with self.subTest(where=where), site.EdgeSite(daemons=1, models=MODELS, plain=PLAIN) as edge:
                daemon, outcomes = edge.daemons[0], collections.Counter()
                endless = edge.plain[:ENDLESS_PLAIN] + edge.models[:ENDLESS_MODELS]
                for replica in endless:
                    replica.endless, replica.floods_calls = where, True
                end = time.monotonic() + ENDLESS_SECONDS
                paths = ("/safe/a", "/safe/a", "/stream/a")
                threads = [threading.Thread(target=self.read, args=(daemon, paths[number % len(paths)], end, outcomes)) for number in range(CALLERS)]
                for thread in threads:
                    thread.start()
                for thread in threads:
                    thread.join()
                for replica in endless:
                    replica.endless = None
                self.assertIsNone(daemon.process.poll())
                self.assertLess(daemon.peak_mb(), MEMORY_MB, outcomes)
                self.assertGreater(sum(replica.flooded_calls for replica in edge.models[:ENDLESS_MODELS]), 0)
                # Callers of sound replicas are served meanwhile, and all are afterwards.
                self.assertGreater(outcomes["/safe/a", 200], 0, outcomes)
                self.assertGreater(outcomes["/stream/a", 200], 0, outcomes)
                site.wait_until(lambda: site.request(daemon, "/safe/a", method="GET")[1] == 200, "reads are answered")


if __name__ == "__main__":
    unittest.main()
