"""Streams while daemons stop, crash or pause, connections go silent or a failure domain is taken out."""

import dataclasses
import signal
import threading
import time
import unittest

import harness

# The fault begins while most tokens are still outstanding.
TOKENS = 160
TOKENS_BEFORE_FAULT = 10
STREAMS = 6
# Number of prompts after which the daemons have learnt the engines' capacity.
WARM_UP_PROMPTS = 12
ENGINE = ("--decode-rate", 20, "--cold-runs", 0)
PLAN = dataclasses.replace(harness.SMALL, services=(harness.Service("model", 3, "memory", ENGINE),))
# Time after which a failure domain that was taken out must get no new work.
DOMAIN_SECONDS = 5
END_SECONDS = 60


class StreamsTest(unittest.TestCase):
    def setUp(self):
        self.site = self.enterContext(harness.Site(PLAN))
        self.prompts = [f"stream {number} " + "word " * 100 for number in range(STREAMS)]
        caller = harness.Caller(self.site, "second")
        for number in range(WARM_UP_PROMPTS):
            daemon = self.site.daemons[number % len(self.site.daemons)]
            caller.complete("model", f"warm up {number}", 2, address=daemon.callers)

    def run_streams(self, fault, address=None):
        """Starts all streams, injects the fault when all have begun and none has ended, and returns their answers."""
        begun = [threading.Event() for _ in range(STREAMS)]
        ended = []

        def stream(number):
            def on_token(answer):
                if len(answer.tokens) == TOKENS_BEFORE_FAULT:
                    begun[number].set()
            caller = harness.Caller(self.site, "first", number)
            answer = caller.complete("model", self.prompts[number], TOKENS, number, on_token, address=address)
            ended.append(number)
            return answer

        def inject_fault():
            self.assertTrue(all(event.wait(END_SECONDS) for event in begun), "streams begin")
            self.assertEqual(ended, [], "streams that ended before the fault")
            return fault()

        jobs = [lambda number=number: stream(number) for number in range(STREAMS)]
        return harness.in_parallel([*jobs, inject_fault])[:-1]

    def check(self, answers):
        for number, answer in enumerate(answers):
            expected = harness.expected_tokens(self.prompts[number], "v1", number, TOKENS)
            self.assertEqual((answer.finished, answer.tokens, answer.problem), (True, expected, None), answer)

    def test_planned_stop_breaks_no_stream(self):
        leaving = self.site.daemons[0]
        answers = self.run_streams(lambda: leaving.send(signal.SIGTERM), leaving.callers)
        self.check(answers)
        self.assertEqual([answer.connections for answer in answers], [1] * STREAMS)
        self.assertEqual(leaving.process.wait(END_SECONDS), 0)

    def test_streams_of_a_killed_daemon_resume_at_another(self):
        killed = self.site.daemons[0]
        answers = self.run_streams(lambda: killed.send(signal.SIGKILL), killed.callers)
        self.check(answers)
        self.assertTrue(all(answer.connections > 1 for answer in answers))

    def test_streams_of_a_paused_daemon_continue(self):
        paused = self.site.daemons[0]
        other = harness.Caller(self.site, "second")

        def pause():
            paused.send(signal.SIGSTOP)
            try:
                return other.complete("model", "while paused", 4, address=self.site.daemons[1].callers)
            finally:
                time.sleep(2)
                paused.send(signal.SIGCONT)

        meanwhile = []
        answers = self.run_streams(lambda: meanwhile.append(pause()), paused.callers)
        self.check(answers)
        self.assertEqual(meanwhile[0].tokens, harness.expected_tokens("while paused", "v1", 7, 4))

    def test_silent_connections_are_replaced(self):
        def silence():
            for engine in self.site.engines.values():
                self.site.set_faults(engine, silence_open_connections=True)

        answers = self.run_streams(silence)
        self.check(answers)
        self.assertEqual([answer.connections for answer in answers], [1] * STREAMS)

    def runs_in(self, domain):
        engines = [address for name, address in self.site.engines.items() if self.site.domain_of(name) == domain]
        return sum(harness.call_json(address, "GET", "/counts")[1]["runs"] for address in engines)

    def test_domain_out_breaks_no_stream_and_stops_new_work(self):
        domain = self.site.plan.domains[1]

        def take_out():
            result = self.site.ctl("domain", "out", domain)
            self.assertEqual(result.returncode, 0, result.stdout + result.stderr)

        self.check(self.run_streams(take_out))
        time.sleep(DOMAIN_SECONDS)
        before = self.runs_in(domain)
        caller = harness.Caller(self.site, "second")
        for number in range(12):
            prompt = f"after the take-out {number}"
            daemon = self.site.daemons[number % len(self.site.daemons)]
            answer = caller.complete("model", prompt, 2, address=daemon.callers)
            self.assertEqual(answer.tokens, harness.expected_tokens(prompt, "v1", 7, 2), answer)
        self.assertEqual(self.runs_in(domain), before)


if __name__ == "__main__":
    unittest.main()
