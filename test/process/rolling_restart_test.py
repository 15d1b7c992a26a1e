"""Daemons that are killed and started again, each as soon as the one before is ready, through real entry daemons."""

import unittest

import entry_case


class RollingRestartTest(entry_case.DepartedEntryTest):
    # DRAIN: the last daemon that remembered a removal ended before the first that had started again had asked for it.
    def test_a_removal_outlives_restarts_that_follow_each_other_at_once(self):
        edge, replica = self.start(daemons=3)
        self.leave(edge, replica)
        for daemon in edge.daemons:
            self.restart(daemon)
        self.check_late_write(edge, replica)


if __name__ == "__main__":
    unittest.main()
