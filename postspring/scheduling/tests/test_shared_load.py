"""Placement under the load that it is for: many VMs before full engines."""

import functools
import unittest

from postspring import scheduling
from postspring.testing import load

# A burst before 23 engines of 8 places, as their users tell it: short
# programs that carry their conversation, and long ones.
KINDS = [
    load.ProgramKind("short", 32.8, 3, 654, 73, 0.05, 1.4, 0.253),
    load.ProgramKind("long", 8.45, 9, 327, 73, 0.15, 1.5, 0.253),
]
SHARES = (10.5, 11.5, 8.5)


@functools.cache
def play(policy, exchange=None, vms=66, burst=1.7):
    """Return the mean of the share that is on time over two seeds."""
    shape = load.WorldShape(
        vms,
        23,
        exchange=exchange,
        burst=(2.0, 8.0, burst),
        seconds=9.0,
        shares=SHARES,
    )
    make = scheduling.placement_by_name[policy]
    reports = [
        load.LoadWorld(shape, KINDS, make, seed).play() for seed in (1, 2)
    ]
    return sum(report.on_time for report in reports) / len(reports)


class SharedLoadTest(unittest.TestCase):
    """In virtual time, from fixed seeds."""

    def test_a_burst_is_ridden_out(self):
        self.assertGreater(play("shared_affinity", 0.2), 0.95)

    def test_without_the_others_loads_it_is_not(self):
        known = play("shared_affinity", 0.2)
        for policy in ("paced_affinity", "near_affinity", "least_load"):
            self.assertLess(play(policy), known - 0.05, policy)

    def test_memory_counts_for_more_than_evenness(self):
        self.assertLess(play("random"), 0.5)

    def test_a_heavier_burst(self):
        known = play("shared_affinity", 0.2, burst=2.3)
        self.assertGreater(known, play("paced_affinity", burst=2.3))

    def test_few_vms_are_no_worse(self):
        known = play("shared_affinity", 0.2, vms=11)
        self.assertGreater(known, play("paced_affinity", vms=11) - 0.03)

    def test_the_size_does_not_matter(self):
        self.assertGreater(play("shared_affinity", 0.2, vms=300), 0.9)
