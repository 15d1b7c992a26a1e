"""Outages and lost answers of the platform's log: prompts still complete, and an order runs at most once."""

import dataclasses
import unittest

import harness

PLAN = dataclasses.replace(harness.SMALL, services=(harness.Service("model", 3, "memory", ("--cold-runs", 0)),))


class OutageTest(unittest.TestCase):
    def setUp(self):
        self.site = self.enterContext(harness.Site(PLAN))
        self.caller = harness.Caller(self.site, "first")

    def counts(self):
        return harness.call_json(self.site.plain, "GET", "/counts")[1]["keys"]

    def order_until_done(self, key):
        def done():
            status, answer = self.caller.order("confirm", {"item": key}, key)
            return (status, answer) if status == 200 else None
        return harness.wait_until(done, f"order {key}", 60)

    def test_prompts_complete_and_an_order_does_not_run(self):
        self.site.set_faults(self.site.platform, log_outage=True)
        for number in range(6):
            prompt = f"during the outage {number}"
            answer = self.caller.complete("model", prompt, 4)
            self.assertEqual(answer.tokens, harness.expected_tokens(prompt, "v1", 7, 4), answer)
        status, problem = self.caller.order("confirm", {"item": "a"}, "a")
        self.assertGreaterEqual(status, 500)
        self.assertIn(problem["executed"], ("no", "unknown"), problem)
        self.assertEqual(self.counts(), {})
        self.site.set_faults(self.site.platform, log_outage=False)
        self.order_until_done("a")
        self.assertEqual(list(self.counts().values()), [1])

    def test_lost_append_answers_run_an_order_once(self):
        self.site.set_faults(self.site.platform, lose_answers_share=0.5, lost_answer_ms=3000)
        keys = [f"key-{number}" for number in range(4)]
        jobs = []
        for key in keys:
            for daemon in self.site.daemons:
                jobs.append(lambda key=key, address=daemon.callers: self.caller.order("confirm", {"item": key}, key, address))
        answers = harness.in_parallel(jobs)
        refused = [problem for status, problem in answers if status != 200]
        self.assertTrue(all(problem["executed"] in ("no", "unknown", "yes") for problem in refused), refused)
        self.site.set_faults(self.site.platform, lose_answers_share=0)
        for key in keys:
            self.order_until_done(key)
        self.assertEqual(sorted(self.counts().values()), [1 for _ in keys])

    def test_lost_service_answer_is_never_retried(self):
        self.site.set_faults(self.site.plain, lose_answers_share=1, lost_answer_ms=15000)
        status, problem = self.caller.order("confirm", {"item": "a"}, "a", timeout=30)
        self.assertNotEqual((status, problem.get("executed")), (200, "no"))
        self.site.set_faults(self.site.plain, lose_answers_share=0)
        self.caller.order("confirm", {"item": "a"}, "a", timeout=30)
        self.assertEqual(list(self.counts().values()), [1])


if __name__ == "__main__":
    unittest.main()
