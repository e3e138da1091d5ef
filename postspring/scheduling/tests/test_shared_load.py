"""Placement under the load that it is for: many VMs before full engines."""

import functools
import unittest

from postspring.measuring import burst as burst_module

SEEDS = (1, 2)
# Without the others' loads known.
ALONE = None


@functools.cache
def play(policy, exchange=0.2, vms=66, burst=1.7):
    """Return the mean share of programs on time."""
    reports = [
        burst_module.play_burst(policy, seed, vms, exchange, burst)
        for seed in SEEDS
    ]
    return sum(report.on_time for report in reports) / len(reports)


class SharedLoadTest(unittest.TestCase):
    """In virtual time, from fixed seeds."""

    def test_a_burst_is_ridden_out(self):
        self.assertGreater(play("shared_affinity"), 0.95)

    def test_without_the_others_loads_it_is_not(self):
        known = play("shared_affinity")
        for policy in ("paced_affinity", "near_affinity", "least_load"):
            self.assertLess(play(policy, ALONE), known - 0.05, policy)

    def test_memory_counts_for_more_than_evenness(self):
        self.assertLess(play("random", ALONE), 0.5)

    def test_more_work_than_engines_can_do(self):
        # Where it is placed wins nothing there, and must lose nothing.
        known = play("shared_affinity", burst=2.3)
        alone = play("paced_affinity", ALONE, burst=2.3)
        self.assertGreater(known, alone - 0.05)

    def test_few_vms_are_no_worse(self):
        known = play("shared_affinity", vms=11)
        alone = play("paced_affinity", ALONE, vms=11)
        self.assertGreater(known, alone - 0.03)

    def test_the_size_does_not_matter(self):
        self.assertGreater(play("shared_affinity", vms=300), 0.9)
