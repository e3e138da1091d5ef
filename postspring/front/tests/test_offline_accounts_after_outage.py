"""Budgets of programs with a home when the store is available again.

After an outage a VM retries its waiting appends at its share of the store's
rate.  A partition counted as failing until its turn in that queue, although
the store already answered this VM for other partitions.  So the home went on
to spend the program's budget by itself while other VMs spent it through the
log: with two VMs and a slow store, 192 tokens of a budget of 100 were
delivered, 12 before the store was available, 96 through the log and 84 at
the home.
"""

import dataclasses

from postspring.front.tests import test_missing_turns

BUDGET = 100
# A turn has three events of four tokens each; its ceiling is 16.
TURN_TOKENS = 12
CEILING = 16
# Appends a second, low enough for two VMs to use up the rate as many VMs do
# with a faster store.
STORE_WRITES = 4


class ReturningStoreTest(test_missing_turns.AbsenceCase):
    """Two VMs after an outage of the log for both."""

    vms = 2

    def take(self, name, vm, program="p1"):
        """Take a turn; return its status."""
        return self.fleet.take_turn(
            name, vm=vm, program_id=program, token_budget=str(BUDGET)
        ).status

    def spend(self, vm, name):
        """Take turns at a VM until one is refused; return the tokens."""
        number = 0
        while self.take(f"{name}{number}", vm) == 200:
            number += 1
        return TURN_TOKENS * number

    def test_budget_is_not_spent_twice(self):
        nodes = self.fleet.nodes
        for node in nodes:
            node.vm = dataclasses.replace(node.vm, store_writes=STORE_WRITES)
            self.fleet.run_loop_until(
                lambda node=node: len(test_missing_turns.others(node)) == 1
            )
        self.fleet.store.refuse = 503
        for node in nodes:
            self.fleet.run_loop_until(
                lambda node=node: node.log.is_breaker_open
            )
        for number in range(12):
            self.take(f"x{number}", 0, program=f"q{number}")
        self.assertEqual(200, self.take("first", 0))
        self.fleet.store.refuse = 0
        for node in nodes:
            self.fleet.run_loop_until(
                lambda node=node: not node.log.is_breaker_open
            )
        self.fleet.turn_for(2.0)
        through_log = self.spend(1, "a")
        at_home = self.spend(0, "b")
        tokens = (TURN_TOKENS, through_log, at_home)
        self.assertLessEqual(sum(tokens), BUDGET + CEILING, tokens)
