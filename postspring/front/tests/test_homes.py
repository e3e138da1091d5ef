"""A program's homes while the store is away.

Seen: on a day on which the store was away while the VMs were restarted in
turn, a looping program got 588 tokens of 408, with 136 for one turn more; once
in five plays of the day, as once before.  While the store is away a program
goes on at a VM that has asked the others what it may spend.  If some did not
answer, it gets the ceiling of one turn, by which a budget may be passed.  The
next VM that does so, when the first one is gone, got it again: nobody had kept
in mind who had had it.
"""

from postspring.testing.fleet import case

# The stand-in's turns: three events of four tokens.
TURN_TOKENS = 12
CEILING = 16
BUDGET = 40
# Longer than a VM stays back for another one.
LATER_SECONDS = 0.6


class HomesCase(case.FleetCase):
    """VMs that know each other; the store goes away."""

    vms = 5

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.turn_until(
                lambda node=node: len(node.members.others) == self.vms - 1
            )
        self.fleet.store.refuse = 503
        self.handed = 0

    def spend(self, name, turns=6):
        """Begin turns at the first VM; count what callers get."""
        for number in range(turns):
            answer = self.fleet.take_turn(
                f"{name}{number}", token_budget=str(BUDGET)
            )
            self.handed += TURN_TOKENS * (answer.status == 200)


class SuccessiveHomesTest(HomesCase):
    """One VM after the other lets the program go on, and is killed."""

    def test_the_budget_is_passed_by_one_turn_at_most(self):
        for number in range(self.vms - 1):
            self.spend(f"vm{number}-")
            self.fleet.stop_vm(self.fleet.nodes[0])
            self.fleet.turn_for(LATER_SECONDS)
        self.assertGreater(self.handed, 0)
        self.assertLessEqual(self.handed, BUDGET + CEILING)
