"""The tool that compares the journal's scores reports drops, but not noise or unfinished runs."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import unittest

TOOL = pathlib.Path(__file__).parents[2] / "support" / "regression"


class RegressionTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.count = 0

    def add_entry(self, days, gate=1.0, **fields):
        self.count += 1
        entry = {"id": f"id{self.count}", "cmd": "score", "ok": True, "site": "a", "figures": {"gate": gate},
                 "days": [{"name": name, "G": day_score} for name, day_score in days.items()], **fields}
        (self.folder / f"2026010{self.count}-id{self.count}.json").write_text(json.dumps(entry), encoding="utf-8")

    def compare(self):
        done = subprocess.run([sys.executable, TOOL, "--compare", "--journal", self.folder], capture_output=True, text=True, check=False,
                              env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"})
        return done.returncode, done.stdout

    def test_a_drop_beyond_noise_is_reported(self):
        self.add_entry({"quiet-1": 0.7, "trouble-1": 0.5})
        self.add_entry({"quiet-1": 0.68, "trouble-1": 0.4})
        status, text = self.compare()
        self.assertEqual(status, 1)
        self.assertIn("trouble-1: 0.500 (id1) -> 0.400", text)
        self.assertNotIn("quiet-1", text)

    def test_noise_and_redrawn_days_are_not_reported(self):
        self.add_entry({"quiet-1": 0.7, "fresh-1": 0.9})
        self.add_entry({"quiet-1": 0.68, "fresh-1": 0.1})
        self.assertEqual(self.compare()[0], 0)

    def test_a_failed_gate_is_reported_and_unfinished_runs_are_ignored(self):
        self.add_entry({"quiet-1": 0.7})
        self.add_entry({"quiet-1": 0.1}, ok=False)
        self.assertEqual(self.compare()[0], 0)
        self.add_entry({"quiet-1": 0.7}, gate=0.0)
        status, text = self.compare()
        self.assertEqual(status, 1)
        self.assertIn("gate FAILED", text)


if __name__ == "__main__":
    unittest.main()
