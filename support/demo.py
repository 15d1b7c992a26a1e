#!/usr/bin/python3
"""Runs a whole site on this machine: new prompts, the same prompts repeated, and an order sent twice."""

import argparse
import functools
import random
import statistics
import sys

import harness

WORDS = {
    "saigon": "glaze cone firing celadon shard kiln ash slip ramp soak cooling crawl pinhole batch shelf saggar "
              "oxide feldspar review tray bisque crackle temper lid dome damper pyrometer pallet".split(),
    "ulaanbaatar": "dog handler gather outrun lift fetch drive shed pen flock whistle course judge points class "
                   "entry camp winter trial rule section novice open heat fee steward gate".split(),
}
ANSWER_TOKENS = 24
BLOCKS_IN_PROMPT = 6


def make_prompt(site, number, blocks):
    """Returns a text that is unique to the number and slightly longer than its whole blocks."""
    generator = random.Random(f"{site} {number}")
    words = [generator.choice(WORDS[site]) for _ in range(blocks * 1024 + 60)]
    return f"Review {number}: " + " ".join(words)


def send_prompts(site, callers, service, numbers):
    """Completes the prompts: sequentially within an account, concurrently across accounts."""
    def complete_for_account(index):
        answers = []
        for number in numbers[index::len(callers)]:
            prompt = make_prompt(site.plan.name, number, BLOCKS_IN_PROMPT)
            answer = callers[index].complete(service, prompt, ANSWER_TOKENS, seed=number)
            expected = harness.expected_tokens(prompt, "v1", number, ANSWER_TOKENS)
            answers.append((number, answer, answer.finished and answer.tokens == expected))
        return answers

    jobs = [functools.partial(complete_for_account, index) for index in range(len(callers))]
    return [result for account_results in harness.in_parallel(jobs) for result in account_results]


def report_round(title, site, answers, before):
    sent, cached = (after - earlier for after, earlier in zip(site.cache_use(), before))
    first_token_ms = sorted(answer.first_token_seconds * 1000 for _, answer, _ in answers)
    wrong = [(number, answer) for number, answer, is_correct in answers if not is_correct]
    print(f"{title:<22}{len(answers):>8}{statistics.median(first_token_ms):>14.0f}{first_token_ms[int(len(first_token_ms) * 0.95)]:>11.0f}"
          f"{100 * (sent - cached) / max(1, sent):>15.1f}{len(wrong):>8}")
    for number, answer in wrong:
        print(f"  prompt {number}: status {answer.status}, {len(answer.tokens)} tokens, problem {answer.problem}")
    return len(wrong)


def run_prompts(site, count):
    service = site.plan.services[0].name
    callers = [harness.Caller(site, account) for account, _, _ in site.plan.accounts[:6]]
    wrong = 0
    print(f"\n{'prompts':<22}{'answers':>8}{'median ms':>14}{'95 % ms':>11}{'recomputed %':>15}{'wrong':>8}")
    for title in ("new", "returning", "returning again"):
        before = site.cache_use()
        wrong += report_round(title, site, send_prompts(site, callers, service, list(range(count))), before)
    print(f"milliseconds are times to first token; the stores' links carried {site.link_bytes() / 2**20:.0f} MiB")
    return wrong


def run_order(site):
    caller = harness.Caller(site, site.plan.accounts[0][0])
    body = {"item": "one pallet", "for": site.plan.accounts[1][0]}
    first = caller.order("confirm", body, "demo-1")
    repeat = caller.order("confirm", body, "demo-1")
    executions = harness.call_json(site.plain, "GET", "/counts")[1]["total"]
    print(f"\norder   {first[0]} {first[1]}\nrepeat  {repeat[0]} {repeat[1]}\nthe service ran it {executions} time(s)")
    return int(first[0] != 200 or first != repeat or executions != 1)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--site", choices=sorted(harness.SITES), default="saigon")
    parser.add_argument("--prompts", type=int, default=36, help="number of different prompts (default: 36)")
    parser.add_argument("--seed", type=int, default=1, help="seed for faults and keys (default: 1)")
    options = parser.parse_args()
    with harness.Site(harness.SITES[options.site], options.seed) as site:
        print(f"{options.site}: {len(site.daemons)} daemons, {len(site.engines)} engines, "
              f"{len(site.stores)} stores; files in {site.directory}")
        wrong = run_prompts(site, options.prompts) + run_order(site)
    print("\nall answers were right" if wrong == 0 else f"\n{wrong} WRONG")
    return int(wrong != 0)


if __name__ == "__main__":
    sys.exit(main())
