"""Which way keeps limits, and strands little of them.

Pattern: 66 VMs that each see a few calls of a workspace, in no order; small
workspaces in lumps, a large one, and one that sends many times its usual.
"""

import unittest

from postspring.quotas.tests import ways

LOADS = {
    "small": ways.Load(rate=6.0, share=0.62),
    "large": ways.Load(rate=166.0, share=0.62),
    "small, hot": ways.Load(rate=6.0, share=4.0),
    "large, hot": ways.Load(rate=166.0, share=4.0),
}
SEEDS = range(1, 4)


def outcomes(way_type, load):
    """Return what a way makes of a load, for some seeds."""
    return [ways.play(way_type, load, seed=seed) for seed in SEEDS]


class DealtPermitsTest(unittest.TestCase):
    """The way that is taken."""

    def test_it_never_goes_beyond_the_limit(self):
        for name, load in LOADS.items():
            for outcome in outcomes(ways.DealtPermits, load):
                with self.subTest(name):
                    self.assertLessEqual(outcome.excess, 1.0)

    def test_it_strands_next_to_nothing(self):
        for name, load in LOADS.items():
            for outcome in outcomes(ways.DealtPermits, load):
                with self.subTest(name):
                    self.assertLessEqual(outcome.stranded, 0.02)

    def test_a_call_within_its_limit_costs_one_question(self):
        for name in ("small", "large"):
            for outcome in outcomes(ways.DealtPermits, LOADS[name]):
                self.assertLessEqual(outcome.messages, 1.2)


class OtherWaysTest(unittest.TestCase):
    """Why not these."""

    def test_equal_shares_strand_small_limits(self):
        for outcome in outcomes(ways.EqualShares, LOADS["small"]):
            self.assertGreater(outcome.stranded, 0.3)

    def test_told_counts_go_beyond_a_limit_that_is_hot(self):
        for outcome in outcomes(ways.ToldCounts, LOADS["large, hot"]):
            self.assertGreater(outcome.excess, 1.1)
