"""Copies of refusals, which have the id of the request that was refused, through a real entry daemon."""

import collections
import concurrent.futures
import http.client
import json
import time
import unittest

import edge_site as site

NOT_RUN_STATUSES = (408, 421, 429, 503)
# Requests that one drive brings back to the address at which they were refused.
RETURNS = 6
DRIVE_SECONDS = 40
# More than the connections that three callers and their refused requests leave idle.
CROWD = 10
# Without parts, which would keep requests at the replica that has them.
PROMPT = {"X_Goldcrestwood_Model": "m", "X_Goldcrestwood_Token_Usage": "1000,40"}


class CopiedRefusalTest(unittest.TestCase):
    def start(self, copies=True, **services):
        edge = self.enterContext(site.EdgeSite(daemons=1, **services))
        for replica in edge.models + edge.plain:
            replica.copies_refusals = copies
            replica.down_seconds = 0
        for replica in edge.models[1:] + edge.plain[1:]:
            replica.delay = 0.1  # Requests prefer the first.
        return edge

    def returned(self, replica):
        """Returns the ids of the requests that were refused with 421 and ran at the same address."""
        return set(replica.misdirected) & {request for _, request in replica.arrivals}

    def listed(self, daemon):
        return json.loads(site.call(daemon.metrics, "GET", "/state")[2])["upstreams"]

    def drive(self, edge, replicas, path, **headers):
        """Makes requests while a replica starts under other ids at its address; checks that none ran twice, or was refused and ran."""
        daemon, replica = edge.daemons[0], replicas[0]
        answers = {}

        def ask(_):
            try:
                identifier, status, _, _ = site.request(daemon, path, b"order", **headers)
                answers[identifier] = status
            except (OSError, http.client.HTTPException):
                pass  # An answer that breaks off refuses nothing.

        end = time.monotonic() + DRIVE_SECONDS
        with concurrent.futures.ThreadPoolExecutor(3) as callers, concurrent.futures.ThreadPoolExecutor(CROWD) as crowd:
            while time.monotonic() < end and (len(self.returned(replica)) < RETURNS or (replica.copies_refusals and not replica.copies)):
                earlier = replica.begin_anew()
                site.wait_until(lambda: {earlier, replica.id} <= set(self.listed(daemon)), "both ids are listed")
                list(callers.map(ask, range(12)))
                # Connections that were used last are taken first: only requests at the same time reach those that owe a copy.
                list(crowd.map(ask, range(CROWD)))
        runs = collections.Counter(request for each in replicas for _, request in each.arrivals)
        figures = f"{len(answers)} answers, {len(replica.misdirected)} sent to an earlier id, {len(self.returned(replica))} of them ran at its address, " \
                  f"{len(replica.copies)} copies"
        self.assertGreaterEqual(len(self.returned(replica)), RETURNS, figures)
        self.assertEqual(bool(replica.copies), replica.copies_refusals, figures)
        self.assertEqual({request: count for request, count in runs.items() if count > 1}, {}, figures)
        self.assertEqual({request: status for request, status in answers.items() if status in NOT_RUN_STATUSES and request in runs}, {}, figures)
        returned = self.returned(replica)
        self.assertEqual({answers.get(request) for request in returned}, {200}, figures)
        # The log tells that each send of such a request had a connection of its own.
        sends = [line for line in daemon.log_lines() if line["event"] == "request_attempt" and line["request"] in returned and line["connection"]]
        self.assertGreaterEqual(len({line["request"] for line in sends}), 1, figures)
        self.assertEqual(len({(line["request"], line["address"], line["connection"]) for line in sends}), len(sends), figures)

    def test_an_order_runs_once_beside_a_second_replica(self):
        # TWICE: it ran at both.
        edge = self.start(plain=2)
        self.drive(edge, edge.plain, "/once/a")

    def test_an_order_that_ran_is_not_refused(self):
        # REFUSED: 503 for an order that ran.
        edge = self.start(plain=1)
        self.drive(edge, edge.plain, "/once/a")

    def test_a_stream_that_may_not_be_resumed_runs_once(self):
        edge = self.start(models=2)
        self.drive(edge, edge.models, "/whole/a", **PROMPT)

    def test_a_stream_that_ran_is_not_refused(self):
        edge = self.start(models=1)
        self.drive(edge, edge.models, "/whole/a", **PROMPT)

    def test_without_copies(self):
        edge = self.start(copies=False, plain=2)
        self.drive(edge, edge.plain, "/once/a")


if __name__ == "__main__":
    unittest.main()
