"""Compares strategies that enforce a workspace's limit on many VMs.

Calls of a workspace arrive in bursts at random ones of 66 VMs.  The limits
are small and large; callers stay below them or send several times as much.
"""

import unittest

from postspring.quotas.tests import limit_strategies

LOADS = {
    "small": limit_strategies.Load(rate=6.0, share=0.62),
    "large": limit_strategies.Load(rate=166.0, share=0.62),
    "small, hot": limit_strategies.Load(rate=6.0, share=4.0),
    "large, hot": limit_strategies.Load(rate=166.0, share=4.0),
}
SEEDS = range(1, 4)


def outcomes(strategy_type, load):
    """Return the outcomes of a strategy under a load, one for each seed."""
    return [
        limit_strategies.play(strategy_type, load, seed=seed) for seed in SEEDS
    ]


class AllocatedPermitsTest(unittest.TestCase):
    """The strategy in use."""

    def test_never_exceeds_the_limit(self):
        for name, load in LOADS.items():
            for outcome in outcomes(limit_strategies.AllocatedPermits, load):
                with self.subTest(name):
                    self.assertLessEqual(outcome.excess, 1.0)

    def test_refuses_few_calls_below_the_limit(self):
        for name, load in LOADS.items():
            for outcome in outcomes(limit_strategies.AllocatedPermits, load):
                with self.subTest(name):
                    self.assertLessEqual(outcome.stranded, 0.02)

    def test_about_one_message_per_call_below_the_limit(self):
        for name in ("small", "large"):
            for outcome in outcomes(
                limit_strategies.AllocatedPermits, LOADS[name]
            ):
                self.assertLessEqual(outcome.messages, 1.2)


class OtherStrategiesTest(unittest.TestCase):
    """Weaknesses of the strategies not in use."""

    def test_equal_shares_refuse_calls_below_small_limits(self):
        for outcome in outcomes(limit_strategies.EqualShares, LOADS["small"]):
            self.assertGreater(outcome.stranded, 0.3)

    def test_exchanged_counts_exceed_a_hot_limit(self):
        for outcome in outcomes(
            limit_strategies.ExchangedCounts, LOADS["large, hot"]
        ):
            self.assertGreater(outcome.excess, 1.1)
