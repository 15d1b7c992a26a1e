"""The tool that compares checkouts by paired runs reports differences of pairs, marks noise and fails on broken rules."""

import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

TOOL = pathlib.Path(__file__).parents[2] / "support" / "rounds"
# Replaces the bench: the score is the base in the tree's file "worth" plus a term that depends on the seed.
BENCH = """#!/usr/bin/env python3
import json, pathlib, sys
arguments = sys.argv[1:]
seed = int(arguments[arguments.index("--seed") + 1])
base, step, rule = pathlib.Path("worth").read_text().split(",")
if seed == 9:
    sys.exit(1)
report = {"G": float(base) + 0.01 * seed + float(step) * (seed % 2), "refused": 0, "failed": 0.01, "breaks": {rule: 1} if rule else {},
          "all": {"late": 5, "n": 100}}
pathlib.Path(arguments[arguments.index("--report") + 1]).write_text(json.dumps(report))
"""


class RoundsTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.bench = self.folder / "bench"
        self.bench.write_text(BENCH, encoding="utf-8")
        self.bench.chmod(0o755)
        (self.folder / "site.toml").write_text("", encoding="utf-8")

    def tree(self, name, worth):
        path = self.folder / name
        path.mkdir()
        (path / "worth").write_text(worth, encoding="utf-8")
        return path

    def rounds(self, *trees, seeds="1,2,3,4"):
        done = subprocess.run([sys.executable, TOOL, "--bench", self.bench, "--site", self.folder / "site.toml", "--days", "quiet-1", "--seeds", seeds, *trees],
                              capture_output=True, text=True, check=False, env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"})
        return done.returncode, done.stdout

    def test_pairs_show_a_difference_that_single_runs_hide(self):
        status, text = self.rounds(self.tree("before", "0.5,0,"), self.tree("after", "0.51,0.0001,"))
        self.assertEqual(status, 0)
        self.assertIn("difference +0.010 +- 0.000", text)
        self.assertNotIn("(noise)", text)

    def test_a_difference_within_its_spread_is_noise(self):
        self.assertIn("(noise)", self.rounds(self.tree("before", "0.5,0,"), self.tree("after", "0.49,0.02,"))[1])

    def test_a_failed_run_is_left_out_with_its_pair(self):
        text = self.rounds(self.tree("before", "0.5,0,"), self.tree("after", "0.6,0,"), seeds="1,2,9")[1]
        self.assertIn("runs 2", text)

    def test_a_broken_rule_is_reported_and_fails(self):
        status, text = self.rounds(self.tree("before", "0.5,0,"), self.tree("after", "0.6,0,DRAIN"))
        self.assertEqual(status, 1)
        self.assertIn("BROKEN DRAIN", text)


if __name__ == "__main__":
    unittest.main()
