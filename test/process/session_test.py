"""Compares a whole session with its golden file: apply, resolve, a repeated prompt and a repeated order.

GOLDCREST_UPDATE=1 rewrites the file.
"""

import dataclasses
import http.client
import json
import os
import pathlib
import re
import unittest

import harness

GOLDEN = pathlib.Path(__file__).parents[1] / "golden" / "session.txt"
ENGINE = ("--cold-runs", 0)
PLAN = dataclasses.replace(harness.SMALL, services=(harness.Service("model", 3, "memory", ENGINE),))
PROMPT = "When the kiln has cooled, open it slowly. " * 20
MASKS = (
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"/\S*goldcrest-small-[^/\s]*"), "DIRECTORY"),
    (re.compile(r"^id: .+$", re.M), "id: TICKET"),
    (re.compile(r"small-\d+~\d+~\d+"), "REQUEST"),
    (re.compile(r"(Date|date): [^\n]+"), r"\1: DATE"),
    (re.compile(r'("lifetime_seconds":)[\d.]+'), r"\1SECONDS"),
    (re.compile(r'("weight":)[\d.]+'), r"\1WEIGHT"),
    (re.compile(r"revision \d+"), "revision NUMBER"),
    # The engine that answers depends on when its cache events arrive.
    (re.compile(r'("cached_tokens":)\d+'), r"\1COUNT"),
    (re.compile(r"[\d.]+ ?m?s\b"), "TIME"),
)


def masked(text):
    for pattern, word in MASKS:
        text = pattern.sub(word, text)
    return text


class SessionTest(unittest.TestCase):
    maxDiff = None

    def http(self, address, method, path, body=None, headers=None):
        connection = http.client.HTTPConnection(address, timeout=harness.STALL_SECONDS)
        connection.request(method, path, body if body is None else json.dumps(body), headers or {})
        answer = connection.getresponse()
        content = answer.read().decode()
        connection.close()
        return f"{method} {path}\n{answer.status} {answer.getheader('Content-Type')}\n{content}\n"

    def session(self, site):
        daemon, other = site.daemons[0].callers, site.daemons[1].callers
        caller = harness.Caller(site, "first")
        prompt = {"model": "model", "prompt": PROMPT, "max_tokens": 3, "seed": 5, "stream": True}
        order = f"/v1/services/{site.plan.plain}/confirm"
        with_key = caller.headers | {"Idempotency-Key": "pallet-1"}
        apply = ("apply", site.directory / "base.toml", "--overlay", site.directory / "overlay.toml")
        yield "apply the same again", site.ctl(*apply).stdout
        endpoints = harness.call_json(daemon, "GET", "/v1/endpoints")[1]
        endpoints["endpoints"].sort(key=lambda endpoint: endpoint["domain"])
        yield "resolve", json.dumps(endpoints, separators=(",", ":")) + "\n"
        yield "a prompt", self.http(daemon, "POST", "/v1/completions", prompt, caller.headers)
        yield "the same prompt, whole", self.http(
            other, "POST", "/v1/completions", prompt | {"stream": False}, caller.headers)
        yield "an order", self.http(daemon, "POST", order, {"item": "pallet"}, with_key)
        yield "the same order elsewhere", self.http(other, "POST", order, {"item": "pallet"}, with_key)
        yield "the key with another body", self.http(other, "POST", order, {"item": "two pallets"}, with_key)
        yield "a wrong key", self.http(daemon, "POST", order, {}, {"Authorization": "Bearer first.wrong"})
        yield "how often the order ran", self.http(site.plain, "GET", "/counts")

    def test_session(self):
        with harness.Site(PLAN) as site:
            for daemon in site.daemons:
                warm_up = harness.Caller(site, "second").complete("model", "warm up", 2, address=daemon.callers)
                self.assertTrue(warm_up.finished, warm_up)
            text = "".join(f"== {title}\n{masked(content)}" for title, content in self.session(site))
        if os.environ.get("GOLDCREST_UPDATE") == "1":
            GOLDEN.parent.mkdir(exist_ok=True)
            GOLDEN.write_text(text)
        self.assertEqual(text, GOLDEN.read_text())


if __name__ == "__main__":
    unittest.main()
