"""Tests of plans."""

import unittest

from postspring.testing.soak import plan


class PlanTest(unittest.TestCase):
    """What a seed draws."""

    def draw(self, seed: int, profile: str) -> list[plan.Step]:
        """Return a plan for eleven VMs."""
        return plan.draw_plan(seed, plan.PROFILES[profile], 60.0, 11)

    def test_a_seed_draws_the_same_plan_again(self):
        self.assertEqual(self.draw(3, "mixed"), self.draw(3, "mixed"))
        self.assertNotEqual(self.draw(3, "mixed"), self.draw(4, "mixed"))

    def test_the_end_is_calm(self):
        for seed in range(50):
            for step in self.draw(seed, "mixed"):
                self.assertLess(step.at, 60.0 - plan.LAST_SECONDS)
                self.assertGreater(step.at, plan.CALM_SECONDS)

    def test_stops_are_all_planned_work(self):
        planned = {
            plan.Action.STOP,
            plan.Action.RELOAD,
            plan.Action.CONFIGURE,
        }
        for seed in range(50):
            actions = {step.action for step in self.draw(seed, "stops")}
            self.assertLessEqual(actions, planned)

    def test_the_final_fault_is_the_last_step(self):
        steps = self.draw(5, "final")
        final = steps[-11:]
        self.assertEqual({step.vm for step in final}, set(range(11)))
        self.assertEqual({step.at for step in final}, {35.0})

    def test_steps_are_in_their_order(self):
        times = [step.at for step in self.draw(7, "mixed")]
        self.assertEqual(times, sorted(times))

    def test_never_all_vms_at_once(self):
        for seed in range(200):
            steps = self.draw(seed, "stops")
            stops = [s for s in steps if s.action is plan.Action.STOP]
            for first in stops:
                together = {
                    stop.vm for stop in stops if abs(stop.at - first.at) < 0.1
                }
                self.assertLess(len(together), 11)
