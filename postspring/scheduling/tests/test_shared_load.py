"""Placement for many VMs in front of nearly full engines."""

import functools
import unittest

from postspring.measuring import burst as burst_module

SEEDS = (1, 2)
# VMs don't exchange their loads.
NO_EXCHANGE = None


@functools.cache
def play(policy, exchange=0.2, vms=66, burst=1.7):
    """Return the mean share of programs on time."""
    reports = [
        burst_module.play_burst(policy, seed, vms, exchange, burst)
        for seed in SEEDS
    ]
    return sum(report.on_time for report in reports) / len(reports)


class SharedLoadTest(unittest.TestCase):
    """Policies in a burst of programs, in virtual time with fixed seeds."""

    def test_programs_stay_on_time_in_a_burst(self):
        self.assertGreater(play("shared_affinity"), 0.95)

    def test_policies_without_exchanged_loads_are_worse(self):
        known = play("shared_affinity")
        for policy in ("paced_affinity", "near_affinity", "least_load"):
            self.assertLess(play(policy, NO_EXCHANGE), known - 0.05, policy)

    def test_random_placement_is_mostly_late(self):
        self.assertLess(play("random", NO_EXCHANGE), 0.5)

    def test_overload_is_no_worse(self):
        # No placement helps against overload, but it must do no harm.
        known = play("shared_affinity", burst=2.3)
        alone = play("paced_affinity", NO_EXCHANGE, burst=2.3)
        self.assertGreater(known, alone - 0.05)

    def test_few_vms_are_no_worse(self):
        known = play("shared_affinity", vms=11)
        alone = play("paced_affinity", NO_EXCHANGE, vms=11)
        self.assertGreater(known, alone - 0.03)

    def test_hundreds_of_vms(self):
        self.assertGreater(play("shared_affinity", vms=300), 0.9)
