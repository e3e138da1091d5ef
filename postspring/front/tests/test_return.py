"""Homes of programs when the store is back after an outage.

Found by reading; two VMs and a slow store showed it: of a budget of 100
tokens, 192 were handed out, 12 of them before the store was back, 96 by the
log and 84 at a home.  What waited for the store is tried again at the VM's
share of its rate.  Until its turn in that queue a partition counted as
failing, and its program's home as the only way, though the store had
answered this VM for other partitions, and other VMs spent by the log.
"""

import dataclasses

from postspring.front.tests import test_absence

BUDGET = 100
# Three events of four tokens each; a turn may have 16.
TOKENS_OF_TURN = 12
MOST_OF_TURN = 16
# Appends a second; two VMs: what many VMs do to a fast store.
STORE_WRITES = 4


class ReturnTest(test_absence.AbsenceCase):
    """Two VMs; the log was away for both."""

    vms = 2

    def take(self, name, vm, program="p1"):
        """Take a turn; return its status."""
        return self.fleet.take_turn(
            name, vm=vm, program_id=program, token_budget=str(BUDGET)
        ).status

    def spend(self, vm, name):
        """Let turns run at a VM until it gives no more; return tokens."""
        number = 0
        while self.take(f"{name}{number}", vm) == 200:
            number += 1
        return TOKENS_OF_TURN * number

    def test_the_budget_is_not_given_twice(self):
        nodes = self.fleet.nodes
        for node in nodes:
            node.vm = dataclasses.replace(node.vm, store_writes=STORE_WRITES)
            self.fleet.turn_until(
                lambda node=node: len(test_absence.others(node)) == 1
            )
        self.fleet.store.refuse = 503
        for node in nodes:
            self.fleet.turn_until(lambda node=node: node.log.is_broken)
        for number in range(12):
            self.take(f"x{number}", 0, program=f"q{number}")
        self.assertEqual(200, self.take("first", 0))
        self.fleet.store.refuse = 0
        for node in nodes:
            self.fleet.turn_until(lambda node=node: not node.log.is_broken)
        self.fleet.turn_for(2.0)
        by_log = self.spend(1, "a")
        at_home = self.spend(0, "b")
        tokens = (TOKENS_OF_TURN, by_log, at_home)
        self.assertLessEqual(sum(tokens), BUDGET + MOST_OF_TURN, tokens)
