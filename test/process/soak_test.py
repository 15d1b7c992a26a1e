"""A short soak with injected faults and fixed seeds; support/soak runs more seeds."""

import unittest

import soak_run

SECONDS = 5
DAEMONS = 3


class SoakTest(unittest.TestCase):
    def test_guarantees_hold_under_faults(self):
        for seed in (2, 5, 13):
            with self.subTest(seed=seed):
                broken, counts = soak_run.play(seed, SECONDS, DAEMONS)
                self.assertEqual(broken, [])
                self.assertGreater(counts["answers 200"], 0)


if __name__ == "__main__":
    unittest.main()
