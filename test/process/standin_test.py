"""Checks that the stand-ins implement the protocols of docs/interfaces.md."""

import json
import socket
import subprocess
import unittest

from harness import BUILD, call, expected_tokens, free_address, wait_until


def events(content):
    lines = content.decode().split("\n\n")
    return [json.loads(line[len("data: "):]) for line in lines if line.startswith("data: ")]


class StandinTest(unittest.TestCase):
    def start(self, name, *flags):
        address = free_address()
        process = subprocess.Popen([BUILD / name, "--listen", address, *flags])
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        wait_until(lambda: call(address, "GET", "/faults"), name)
        return address

    def run_prompt(self, engine, run, prompt, **more):
        body = {"request_id": "q", "run_id": run, "prompt": prompt, "version": "v1", "max_tokens": 8, "account": "a"}
        return call(engine, "POST", "/v1/completions", body | more)

    def test_engine_streams_resumes_and_reuses_blocks(self):
        engine = self.start("engine_standin", "--block-tokens", "4", "--cold-runs", "0", "--cache-blocks", "4")
        prompt = "one two three four five six seven eight nine"
        _, content = self.run_prompt(engine, "r1", prompt)
        got = events(content)
        self.assertEqual([e["token"] for e in got[:-1]], expected_tokens(prompt, "v1", 0, 8))
        self.assertEqual(got[-1]["cached_tokens"], 0)
        _, content = call(engine, "GET", "/v1/runs/r1?from=5")
        self.assertEqual([e.get("index") for e in events(content)], [5, 6, 7, None])
        _, content = self.run_prompt(engine, "r2", prompt)
        self.assertEqual(events(content)[-1]["cached_tokens"], 8)
        _, content = self.run_prompt(engine, "r3", prompt, account="b")
        self.assertEqual(events(content)[-1]["cached_tokens"], 0)
        _, content = self.run_prompt(engine, "r4", prompt, start_token=6)
        self.assertEqual([e["token"] for e in events(content)[:-1]], expected_tokens(prompt, "v1", 0, 8)[6:])
        self.assertEqual(self.run_prompt(engine, "r5", prompt, version="v2")[0], 409)

    def test_overloaded_cold_engine_fails(self):
        engine = self.start("engine_standin", "--cold-running", "0", "--cold-runs", "2")
        self.assertEqual(self.run_prompt(engine, "r1", "a b")[0], 503)

    def test_orders_and_fences(self):
        for flags, late in ((["--checks-fencing"], 412), ([], 200)):
            engine = self.start("engine_standin", "--load-ms", "10", *flags)
            order = {"kind": "load", "value": "v2", "fence": 7}
            self.assertEqual(call(engine, "POST", "/v1/orders", order)[0], 200)
            order = {"kind": "role", "value": "prefill", "fence": 6}
            self.assertEqual(call(engine, "POST", "/v1/orders", order)[0], late)

    def test_blocks_are_transferred_through_the_store(self):
        store = self.start("store_standin")
        first = self.start("engine_standin", "--block-tokens", "4", "--cold-runs", "0", "--event-lag-ms", "0")
        second = self.start("engine_standin", "--block-tokens", "4", "--cold-runs", "0")
        prompt = "one two three four five six seven eight nine"
        self.run_prompt(first, "r1", prompt)
        _, content = call(first, "GET", "/v1/events?after=0")
        hashes = [e["hash"] for e in json.loads(content)["events"]]
        self.assertEqual(len(hashes), 2)
        body = {"hashes": hashes, "store": store}
        _, content = call(first, "POST", "/v1/cache/export", body)
        self.assertEqual(json.loads(content), {"exported": hashes})
        for fault in ("damage_share", "replace_share"):
            call(store, "POST", "/faults", {fault: 1})
            _, content = call(second, "POST", "/v1/cache/import", body)
            self.assertEqual(json.loads(content), {"imported": []}, fault)
            call(store, "POST", "/faults", {fault: 0})
        _, content = call(second, "POST", "/v1/cache/import", body)
        self.assertEqual(json.loads(content), {"imported": hashes})
        _, content = self.run_prompt(second, "r2", prompt)
        self.assertEqual(events(content)[-1]["cached_tokens"], 8)

    def test_plain_service_runs_each_call(self):
        plain = self.start("plain_standin", "--status")
        key = {"Idempotency-Key": "k"}
        call(plain, "POST", "/order", b"pallet", key)
        call(plain, "POST", "/faults", {"lose_answers_share": 1, "lost_answer_ms": 1})
        call(plain, "POST", "/order", b"pallet", key)
        _, content = call(plain, "GET", "/counts")
        self.assertEqual(json.loads(content), {"total": 2, "keys": {"k": 2}})
        call(plain, "POST", "/faults", {"lose_answers_share": 0})
        _, content = call(plain, "GET", "/status/k")
        self.assertTrue(json.loads(content)["executed"])

    def test_platform_keeps_offsets_and_has_outages(self):
        platform = self.start("platform_standin", "--list-lag-ms", "0")
        records = b"\x92\xc4\x01a\xc4\x01b"
        path = "/v1/streams/control/records"
        self.assertEqual(call(platform, "POST", path, records), (200, b"\x92\x00\x02"))
        self.assertEqual(call(platform, "POST", path, records), (200, b"\x92\x02\x02"))
        status, content = call(platform, "GET", path + "?from=3&wait_ms=0")
        self.assertEqual((status, content), (200, b"\x93\x00\x04\x91\x92\x03\xc4\x01b"))
        call(platform, "PUT", "/v1/instances/d1", {"address": "127.0.0.1:1", "domain": "x", "state": "live"})
        _, content = call(platform, "GET", "/v1/instances")
        self.assertEqual(json.loads(content)["instances"][0]["id"], "d1")
        call(platform, "POST", "/faults", {"log_outage": True})
        self.assertEqual(call(platform, "POST", path, records)[0], 503)

    def test_open_connections_go_silent_and_new_ones_work(self):
        plain = self.start("plain_standin")
        host, port = plain.split(":")
        with socket.create_connection((host, int(port)), timeout=1) as old:
            request = b"POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
            old.sendall(request)
            self.assertIn(b"200 OK", old.recv(4096))
            call(plain, "POST", "/faults", {"silence_open_connections": True})
            old.sendall(request)
            with self.assertRaises(TimeoutError):
                while old.recv(4096):
                    pass
        self.assertEqual(call(plain, "POST", "/x", b"")[0], 200)


if __name__ == "__main__":
    unittest.main()
