"""Tests of the balancer's choice."""

import unittest

from postspring.testing.soak import balancer
from postspring.testing.soak import world


class ChoiceTest(unittest.TestCase):
    """Who gets a new connection."""

    def setUp(self):
        self.vms = tuple(
            world.Vm(f"{place}{number}", place, "127.0.0.1")
            for place in ("a", "b")
            for number in range(4)
        )
        self.balancer = balancer.Balancer(self.vms)

    def chosen(self, *, out: int) -> set[str]:
        """Return who is chosen in ``a`` while some there are out."""
        for number, vm in enumerate(self.vms):
            missed = balancer.MISSES if number < out else 0
            self.balancer._missed_by_vm[vm.name] = missed
        return {
            self.balancer.choose("a", f"u{number}").name
            for number in range(200)
        }

    def test_those_in_rotation(self):
        self.assertEqual(self.chosen(out=2), {"a2", "a3"})

    def test_all_when_fewer_than_half_are_in(self):
        self.assertEqual(self.chosen(out=3), {"a0", "a1", "a2", "a3"})

    def test_another_place_when_none_is_in(self):
        self.assertEqual(self.chosen(out=4), {"b0", "b1", "b2", "b3"})

    def test_a_retry_goes_elsewhere(self):
        self.chosen(out=2)
        self.assertEqual(self.balancer.choose("a", "u", "a2").name, "a3")
