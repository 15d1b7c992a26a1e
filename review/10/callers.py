"""Callers in a process of their own: callers.py uncontrolled|ordinary SECONDS CONNECTIONS PARTS FRONT,...; prints what they got as JSON."""

import http.client
import itertools
import json
import os
import sys
import threading
import time

kind, seconds, connections, parts, fronts = sys.argv[1], float(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4]), sys.argv[5].split(",")
numbers = itertools.count(1)
lock = threading.Lock()
ended = threading.Event()
results = []  # When the request was sent, how long its answer took in seconds, and the status or the error.


def fields(number):
    identifier = f"{1 if kind == 'ordinary' else 2}{number:015x}"
    result = {"Host": "site.example", "X-Goldcrestwood-Request-Id": identifier, "X-Goldcrestwood-Key": "key-one"}
    if kind == "ordinary":
        return "/once/order", {**result, "X-Goldcrestwood-Deadline-Ms": "4000"}
    listed = [f"{number & 0xffff:04x}{part:03x}:1" for part in range(parts - 1)]
    return "/stream/a", {**result, "X-Goldcrestwood-Deadline-Ms": "9000", "X-Goldcrestwood-Model": "m", "X-Goldcrestwood-Token-Usage": "1500,40",
                         "X-Goldcrestwood-Prefix-Hash": ",".join([*listed, f"{identifier}:100"])}


def send(front):
    path, headers = fields(next(numbers))
    host, _, port = front.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=12)
    began = time.monotonic()
    try:
        connection.request("POST", path, b"p", headers)
        response = connection.getresponse()
        response.read()
        status = str(response.status)
    except (OSError, http.client.HTTPException) as error:
        status = type(error).__name__
    finally:
        connection.close()
    with lock:
        results.append((began, time.monotonic() - began, status))


def run(front):
    while not ended.is_set():
        send(front)
        ended.wait(0.2 if kind == "ordinary" else 0.3)


for number in range(connections):
    threading.Thread(target=run, args=(fronts[number % len(fronts)],), daemon=True).start()
time.sleep(seconds)
ended.set()
with lock:
    print(json.dumps(results), flush=True)
os._exit(0)
