#!/usr/bin/python3
"""Measures the control overhead of the daemons of a running site, idle and under load: processor time, memory and bytes sent to peers."""

import argparse
import os
import re
import threading
import time

import demo
import harness

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def resource_usage(daemon):
    """Returns the processor seconds used, the resident KiB and the bytes sent to peers so far."""
    pid = daemon.process.pid
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        resident = int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1))
    metrics = harness.call(daemon.operators, "GET", "/metrics")[1].decode()
    sent = re.search(r"^goldcrestwood_peer_sent_bytes (\S+)", metrics, re.MULTILINE)
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND, resident, float(sent.group(1)) if sent else 0.0


def measure(site, seconds, title, answers=None):
    before = [resource_usage(daemon) for daemon in site.daemons]
    answered_before = len(answers or [])
    time.sleep(seconds)
    rate = (len(answers or []) - answered_before) / seconds / len(site.daemons)
    after = [resource_usage(daemon) for daemon in site.daemons]
    cpu_share = max(end[0] - start[0] for end, start in zip(after, before)) / seconds
    sent_rate = max(end[2] - start[2] for end, start in zip(after, before)) / seconds
    resident = max(end[1] for end in after)
    print(f"{title:<28}{100 * cpu_share:>14.2f}{resident / 1024:>14.1f}{sent_rate:>16.0f}{rate:>24.2f}")


def send_requests(site, number, stop, answers):
    caller = harness.Caller(site, site.plan.accounts[number][0])
    count = 0
    while not stop.is_set():
        answers.append(caller.complete(site.plan.services[0].name, demo.make_prompt(site.plan.name, 100 * number + count % 8, 6), 24, seed=1))
        count += 1


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", choices=sorted(harness.SITES), default="saigon")
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()
    with harness.Site(harness.SITES[options.site]) as site:
        time.sleep(12)
        print(f"{'largest of the daemons':<28}{'core %':>14}{'resident MiB':>14}{'peer bytes/s':>16}{'requests/s and daemon':>24}")
        measure(site, options.seconds, "idle")
        stop, answers = threading.Event(), []
        threads = [threading.Thread(target=send_requests, args=(site, number, stop, answers)) for number in range(6)]
        for thread in threads:
            thread.start()
        measure(site, options.seconds, "six callers", answers)
        stop.set()
        for thread in threads:
            thread.join()


if __name__ == "__main__":
    main()
