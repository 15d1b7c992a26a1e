"""Usage reports of real entry daemons: one count for each window for ever, and right counts, also when the holder dies."""

import collections
import contextlib
import functools
import http.client
import json
import time
import unittest

import cloud_site
import edge_site as site

WINDOW_SECONDS = 2
LATE_SECONDS = 10
USAGE_OFF = 0.05
# A daemon that dies loses the runs since its last report, which it sends once a second.
LOST_SECONDS = 1.3
CALLERS = {"key-one": ("first", 3), "key-three": ("second", 2)}  # Account and number of callers by key.
PAUSE_SECONDS = 0.02

BOUNDS = f"""
report_window_s = {WINDOW_SECONDS}
usage_late_s = {LATE_SECONDS}
usage_off = {USAGE_OFF}
lease_ms = 3000
[cloud]
addr = "{{address}}"
duties = ["metering"]
duty_per_s = 20
"""


class UsageTest(unittest.TestCase):
    def begin(self, daemons=3):
        self.cloud = cloud_site.Cloud()
        self.addCleanup(self.cloud.stop)
        self.daemons_of = {}  # Daemon by request id.
        self.edge = self.enterContext(site.EdgeSite(daemons=daemons, models=2, plain=2, bounds=BOUNDS.format(address=self.cloud.address)))

    def call(self, key, number, ended):
        turn = number
        while not ended.is_set():
            turn += 1
            running = [daemon for daemon in self.edge.daemons if daemon.process.poll() is None]
            daemon = running[turn % len(running)]
            identifier = f"{next(site.request_numbers):016x}"
            self.daemons_of[identifier] = daemon.node
            path, prompt = ("/once/a", {}) if turn % 5 else ("/stream/a", site.PROMPT)
            with contextlib.suppress(http.client.HTTPException, OSError):
                site.request(daemon, path, b"x", key=key, X_Goldcrestwood_Request_Id=identifier, **prompt)
            with contextlib.suppress(http.client.HTTPException, OSError):
                if turn % 10 == 0:  # Public routes do not count.
                    site.request(daemon, "/safe/a", key=None, method="GET")
            ended.wait(PAUSE_SECONDS)

    def load(self):
        return site.Callers([functools.partial(self.call, key, number) for key, (_, count) in CALLERS.items() for number in range(count)])

    def runs(self):
        """Returns the runs that the replicas started: time, account and daemon of each."""
        offset = time.time() - time.monotonic()
        result = []
        for replica in self.edge.models + self.edge.plain:
            accounts = {identifier: headers.get("X-Goldcrestwood-Tenant") for identifier, headers, _ in list(replica.requests)}
            result += [(at + offset, accounts[identifier], self.daemons_of[identifier]) for at, identifier in list(replica.arrivals)
                       if accounts.get(identifier)]
        return result

    def check(self, first, last, dead=None, died=0.0):
        """Checks the reports of windows first to last; returns the number of runs checked."""
        reports = collections.defaultdict(list)
        for at, _, _, window, counts in self.cloud.reports():
            reports[window].append((at, counts))
        for window, sent in reports.items():
            self.assertEqual(len({json.dumps(counts, sort_keys=True) for _, counts in sent}), 1, f"window {window}: {sent}")
        truth, lost = collections.Counter(), collections.Counter()
        for at, account, daemon in self.runs():
            truth[int(at // WINDOW_SECONDS), account] += 1
            lost[int(at // WINDOW_SECONDS), account] += daemon == dead and at >= died - LOST_SECONDS
        for window in range(first, last + 1):
            self.assertIn(window, reports)
            at, counts = reports[window][0]
            self.assertLessEqual(at, (window + 1) * WINDOW_SECONDS + LATE_SECONDS, f"window {window} was reported late")
            self.assertLessEqual(set(counts), {account for account, _ in CALLERS.values()})
            for account, _ in CALLERS.values():
                true = truth[window, account]
                self.assertLessEqual(counts.get(account, 0), true * (1 + USAGE_OFF), (window, account, lost[window, account]))
                self.assertGreaterEqual(counts.get(account, 0), (true - lost[window, account]) * (1 - USAGE_OFF), (window, account))
        return sum(count for (window, _), count in truth.items() if first <= window <= last)

    def windows(self):
        return {window for _, _, _, window, _ in self.cloud.reports()}

    def test_counts_are_right_and_few_calls_reach_the_store(self):
        """Guards against wrong or missing counts, and against calls to the store and the platform beyond those needed."""
        self.begin()
        with self.load():
            first = int(time.time() // WINDOW_SECONDS) + 1
            time.sleep(5 * WINDOW_SECONDS)
        site.wait_until(lambda: first + 4 in self.windows(), "five windows are reported")
        self.assertGreater(self.check(first, first + 4), 500)
        windows = len(self.windows())
        self.assertLessEqual(len(self.edge.store.topics["goldcrestwood.duty"]), windows + 2)
        self.assertLessEqual(sum(topic == "goldcrestwood.duty" for topic, _ in self.edge.store.reads), 10)
        self.assertEqual(len(self.cloud.calls), windows)
        self.assertEqual(len({holder for _, holder, _, _, _ in self.cloud.reports()}), 1)

    def test_the_holder_dies_after_its_append(self):
        """Guards against a second, different count of the window whose report was executed without an answer."""
        self.begin()
        killed = []

        def kill(holder, body):
            if len(self.cloud.calls) < 2 or killed or not body["counts"]:
                return True
            killed.append((holder, body["window"], time.time()))
            next(daemon for daemon in self.edge.daemons if daemon.node == holder).stop()
            return False

        self.cloud.on_usage = kill
        with self.load():
            first = int(time.time() // WINDOW_SECONDS) + 1
            site.wait_until(lambda: killed, "the holder is killed")
            holder, window, died = killed[0]
            site.wait_until(lambda: window + 3 in self.windows(), "the successor reports")
        self.check(min(first, window), window + 3, holder, died)
        again = [sender for _, sender, _, number, _ in self.cloud.reports() if number == window]
        self.assertGreater(len(again), 1)
        self.assertNotIn(holder, again[1:])

    def test_the_holder_starts_again(self):
        """Guards against counts without those that the earlier process of the new holder had reported."""
        self.begin()
        with self.load():
            first = int(time.time() // WINDOW_SECONDS) + 1
            site.wait_until(lambda: first + 2 in self.windows(), "the windows of the start are reported")
            holder = self.cloud.reports()[-1][1]
            daemon = next(daemon for daemon in self.edge.daemons if daemon.node == holder)
            died = time.time()
            daemon.stop()
            time.sleep(1)
            daemon.start()
            last = int(time.time() // WINDOW_SECONDS) + 3
            site.wait_until(lambda: last in self.windows(), "later windows are reported")
        self.check(first, last, holder, died)

    def test_refused_calls_are_repeated(self):
        """Guards against windows that are lost or sent with other counts after 409, 429 or a failure of the platform."""
        self.begin(daemons=2)
        with self.load():
            first = int(time.time() // WINDOW_SECONDS) + 1
            site.wait_until(lambda: first + 2 in self.windows(), "the windows of the start are reported")
            self.cloud.refusals = [429, 500, 409]
            site.wait_until(lambda: first + 6 in self.windows(), "later windows are reported")
        self.check(first, first + 6)
        refused = [(token, body) for _, _, _, token, body, status in self.cloud.calls if status == 409]
        later = [token for _, _, _, token, body, status in self.cloud.calls if status == 200 and body["window"] >= refused[0][1]["window"]]
        self.assertGreater(min(later), refused[0][0])

    def test_the_store_returns_from_an_older_copy(self):
        """Guards against other counts of a window whose record the store has lost, and against windows that wait for ever."""
        self.begin()
        with self.load():
            first = int(time.time() // WINDOW_SECONDS) + 1
            site.wait_until(lambda: first in self.windows(), "a window is reported")
            copy = self.edge.store.copy()
            site.wait_until(lambda: first + 1 in self.windows(), "another window is reported")
            self.edge.store.go_away()
            time.sleep(1.5 * WINDOW_SECONDS)
            self.edge.store.return_from(copy)
            self.edge.store.mode = "up"
            site.wait_until(lambda: first + 5 in self.windows(), "later windows are reported")
        self.check(first, first + 5)


if __name__ == "__main__":
    unittest.main()
