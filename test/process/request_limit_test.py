"""Replicas that name in their answers how many requests a second they take, through real entry daemons."""

import collections
import contextlib
import functools
import http.client
import math
import time
import unittest

import edge_site as site

REPLICAS = 5
CALLERS = 24
REQUESTS_PER_SECOND = 130
LONGEST_WAIT_SECONDS = 0.3
# Long enough that each of three daemons has more requests in progress than there are replicas; daemons send on to the least busy ones.
ANSWER_SECONDS = 0.15
WARM_SECONDS = 1
NAMED_SECONDS = 12
# Of the rule LIMIT; contact_ms has its default.
CONTACT_SECONDS = 3
WINDOW_SECONDS = 4
EXCESS = 1.5
EXTRA_REQUESTS = 5
HEARD_SECONDS = 0.5
# The time after a change within which the load spreads again, and the time in which its spread is then judged.
SPREAD_SECONDS = 3
JUDGED_SECONDS = 3
LEAST_SHARE = 1 / 3  # Of an equal share of the load.
LEAST_ANSWERED = 0.95
LEAST_USED = 1 / 4  # Of the sum of all limits.

Sent = collections.namedtuple("Sent", "daemon at answered status body")


def allowance(limit):
    """Returns how many requests a replica with the limit may get in a window."""
    return math.floor(EXCESS * WINDOW_SECONDS * float(limit) + EXTRA_REQUESTS)


class Readers:
    """Reads of callers through all daemons."""

    def __init__(self, daemons):
        self.daemons = daemons
        self.sent = {}  # By request id; an exception leaves no status.

    def read(self, caller, ended):
        daemon = self.daemons[caller % len(self.daemons)]
        interval = CALLERS / REQUESTS_PER_SECOND
        ended.wait(interval * caller / CALLERS)
        number = 0
        while not ended.is_set():
            number += 1
            identifier = f"{caller + 1:08x}{number:08x}"
            at, status, headers, body = time.monotonic(), None, {}, b""
            with contextlib.suppress(http.client.HTTPException, OSError):
                _, status, headers, body = site.request(daemon, "/safe/a", key=None, method="GET", X_Goldcrestwood_Request_Id=identifier)
            answered = time.monotonic()
            self.sent[identifier] = Sent(daemon, at, answered, status, body)
            wait = min(float(headers.get("Retry-After", 0)), LONGEST_WAIT_SECONDS)
            ended.wait(max(at + interval - answered, wait, 0))


class RequestLimitTest(unittest.TestCase):
    def run_site(self, limits, daemons=3, named_seconds=NAMED_SECONDS, free_seconds=0):
        """Starts a site under load whose first replicas then name the limits, for some time; the load goes on for a time after that."""
        edge = self.enterContext(site.EdgeSite(daemons=daemons, models=0, plain=REPLICAS))
        self.replicas = edge.plain
        for replica in edge.plain:
            replica.delay = ANSWER_SECONDS
        readers = Readers(edge.daemons)
        with site.Callers([functools.partial(readers.read, number) for number in range(CALLERS)]):
            time.sleep(WARM_SECONDS)
            self.named = time.monotonic()
            for replica, limit in zip(edge.plain, limits):
                replica.limit = limit
            time.sleep(named_seconds)
            self.freed = time.monotonic()
            for replica in edge.plain:
                replica.limit = None
            time.sleep(free_seconds)
            self.end = time.monotonic()
        self.sent = readers.sent
        self.limits = list(zip(edge.plain, limits))

    def offers(self, replica, start, end):
        return [(at, request) for at, request in replica.offers if start <= at < end]

    def first_heard(self, replica):
        """Returns when each daemon first passed on an answer of the replica that names a limit."""
        heard = {}
        for _, request in replica.limited:
            sent = self.sent[request]
            if sent.status == 200 and sent.body.startswith(replica.id.encode() + b":"):
                heard[sent.daemon] = min(sent.answered, heard.get(sent.daemon, math.inf))
        return heard

    def worst_window(self, replica):
        """Returns the most requests of a window that count for the rule, and when that window ends.

        A window may reach back to before the limit was named. All requests in it count whose daemon has been told when it ends.
        """
        if not replica.limited:
            return 0, self.named
        heard = self.first_heard(replica)
        offers = sorted(replica.offers)
        worst = (0, self.named)
        for at, _ in self.offers(replica, replica.limited[0][0] + CONTACT_SECONDS, self.freed):
            count = sum(1 for sent, request in offers if at - WINDOW_SECONDS < sent <= at and heard.get(self.sent[request].daemon, math.inf) + HEARD_SECONDS <= at)
            worst = max(worst, (count, at))
        return worst

    def assert_limits_kept(self):
        windows = [(replica, limit, *self.worst_window(replica)) for replica, limit in self.limits]
        found = "; ".join(f"{replica.id}, limit {limit}: {count} of {allowance(limit)} in the {WINDOW_SECONDS} s to {end - self.named:.1f} s"
                          for replica, limit, count, end in windows)
        self.assertFalse([replica.id for replica, limit, count, _ in windows if count > allowance(limit)], f"worst windows: {found}")

    def assert_load_exceeds_limits(self):
        # Otherwise limits could be kept by chance.
        start = self.named + CONTACT_SECONDS
        sent = sum(start <= request.at < self.freed for request in self.sent.values()) * WINDOW_SECONDS / (self.freed - start)
        self.assertGreater(sent * len(self.limits) / REPLICAS, sum(allowance(limit) for _, limit in self.limits))

    def assert_callers_answered(self, start, end):
        statuses = [request.status for request in self.sent.values() if start <= request.at < end]
        self.assertGreaterEqual(statuses.count(200), LEAST_ANSWERED * len(statuses), collections.Counter(statuses))

    def assert_spread(self, start, end):
        counts = {replica.id: len(self.offers(replica, start, end)) for replica in self.replicas}
        self.assertGreater(sum(counts.values()), 0)
        self.assertGreaterEqual(min(counts.values()), LEAST_SHARE * sum(counts.values()) / REPLICAS, counts)

    def check_limits(self):
        self.assert_load_exceeds_limits()
        with self.subTest("limits"):
            self.assert_limits_kept()

    def test_limits_of_some_replicas_are_kept_and_callers_served_by_the_others(self):
        self.run_site(["2.7", "3.1"])
        self.check_limits()
        with self.subTest("callers"):
            self.assert_callers_answered(self.named, self.freed)

    def test_limits_of_all_replicas_are_kept_and_used(self):
        self.run_site(["2.7", "3.1", "1.0", "6.5", "0.5"])
        self.check_limits()
        with self.subTest("use"):
            start = self.named + CONTACT_SECONDS
            served = sum(len(self.offers(replica, start, self.freed)) for replica in self.replicas)
            self.assertGreaterEqual(served, LEAST_USED * sum(float(limit) for _, limit in self.limits) * (self.freed - start))

    def test_limits_hold_for_all_daemons_together(self):
        self.run_site(["2.7", "3.1"], daemons=6)
        self.check_limits()

    def test_a_replica_that_names_no_limit_any_more_gets_its_share_again(self):
        self.run_site(["2.7", "3.1"], named_seconds=CONTACT_SECONDS + WINDOW_SECONDS, free_seconds=SPREAD_SECONDS + JUDGED_SECONDS)
        self.check_limits()
        with self.subTest("spread"):
            self.assert_spread(self.end - JUDGED_SECONDS, self.end)
            self.assert_callers_answered(self.end - JUDGED_SECONDS, self.end)

    def test_a_limit_of_zero_lets_nothing_but_the_extra_requests_through(self):
        self.run_site(["0"])
        self.check_limits()

    def test_malformed_limits_change_nothing(self):
        self.run_site(["abc", "-1", "nan", "inf", ""], named_seconds=SPREAD_SECONDS + JUDGED_SECONDS)
        for replica in self.replicas:
            self.assertTrue(replica.limited)
        self.assert_callers_answered(self.named, self.freed)
        self.assert_spread(self.freed - JUDGED_SECONDS, self.freed)

    def test_without_limits_the_load_is_spread(self):
        self.run_site([], named_seconds=SPREAD_SECONDS + JUDGED_SECONDS)
        self.assert_limits_kept()
        self.assert_callers_answered(self.named, self.freed)
        self.assert_spread(self.freed - JUDGED_SECONDS, self.freed)


if __name__ == "__main__":
    unittest.main()
