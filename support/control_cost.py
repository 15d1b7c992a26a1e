#!/usr/bin/python3
"""Measures what control costs a daemon of a running site: processor time, memory and bytes to peers, idle and under load."""

import argparse
import os
import re
import threading
import time

import demo
import harness

TICK = os.sysconf("SC_CLK_TCK")


def usage(daemon):
    """Processor seconds, resident KiB and bytes sent to peers so far."""
    pid = daemon.process.pid
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        resident = int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1))
    metrics = harness.call(daemon.operators, "GET", "/metrics")[1].decode()
    sent = re.search(r"^goldcrestwood_peer_sent_bytes (\S+)", metrics, re.MULTILINE)
    return (int(fields[11]) + int(fields[12])) / TICK, resident, float(sent.group(1)) if sent else 0.0


def measure(site, seconds, title, answers=None):
    before = [usage(daemon) for daemon in site.daemons]
    answered = len(answers or [])
    time.sleep(seconds)
    rate = (len(answers or []) - answered) / seconds / len(site.daemons)
    after = [usage(daemon) for daemon in site.daemons]
    core = max(now[0] - then[0] for now, then in zip(after, before)) / seconds
    sent = max(now[2] - then[2] for now, then in zip(after, before)) / seconds
    resident = max(now[1] for now in after)
    print(f"{title:<28}{100 * core:>14.2f}{resident / 1024:>14.1f}{sent:>16.0f}{rate:>24.2f}")


def keep_asking(site, number, stop, answers):
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
        threads = [threading.Thread(target=keep_asking, args=(site, number, stop, answers)) for number in range(6)]
        for thread in threads:
            thread.start()
        measure(site, options.seconds, "six callers", answers)
        stop.set()
        for thread in threads:
            thread.join()


if __name__ == "__main__":
    main()
