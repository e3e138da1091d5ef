"""A program's homes while the store is away.

Seen: on a day on which the store was away while the VMs were restarted in
turn, a looping program got 588 tokens of 408, with 136 for one turn more; once
in five plays of the day, as once before.  While the store is away a program
goes on at a VM that has asked the others what it may spend.  If some did not
answer, it gets the ceiling of one turn, by which a budget may be passed.  The
next VM that does so, when the first one is gone, got it again: nobody had kept
in mind who had had it.
"""

import dataclasses
from unittest import mock

from postspring.front.tests import test_absence
from postspring import histories
from postspring.peering import promises
from postspring.testing.fleet import case

# The stand-in's turns: three events of four tokens.
TURN_TOKENS = 12
CEILING = 16
BUDGET = 40
HOME_BUDGET = 100
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


class ForgottenHomeTest(test_absence.AbsenceCase):
    """A home whose VM is not on the list yet, or was restarted.

    Found by reading: the whole budget was given once more.
    """

    heartbeat = 60.0

    def setUp(self):
        super().setUp()
        self.fleet.start_vm("vm1")
        self.newest = self.fleet.start_vm("vm2")
        self.old = self.fleet.nodes[1]
        self.fleet.turn_until(
            lambda: (
                self.newest.members.is_announced
                and len(test_absence.others(self.newest)) == 2
            )
        )

    def lose_log(self):
        """Let the store turn everybody away."""
        self.fleet.store.refuse = 503
        for node in self.fleet.nodes:
            self.fleet.turn_until(lambda node=node: node.log.is_broken)

    def spend(self, vm, name):
        """Let turns run at a VM until it gives no more; return tokens."""
        for number in range(40):
            answer = self.fleet.take_turn(
                f"{name}{number}", vm=vm, token_budget=str(HOME_BUDGET)
            )
            if answer.status != 200:
                # Promises that were given on the way end meanwhile.
                self.fleet.turn_for(1.0)
                return TURN_TOKENS * number
        return TURN_TOKENS * 40

    def check(self, *tokens):
        """The budget may be passed by the most of one turn."""
        self.assertGreater(tokens[0], 0)
        self.assertLessEqual(sum(tokens), HOME_BUDGET + CEILING, tokens)

    def test_at_a_vm_that_is_not_on_the_list_yet(self):
        self.assertEqual(["vm0"], test_absence.others(self.old))
        self.lose_log()
        self.check(self.spend(2, "a"), self.spend(1, "b"))

    def meet_all(self):
        """Let all read the list."""
        for node in self.fleet.nodes:
            node.members._follower.read_now()
        self.fleet.turn_until(
            lambda: all(
                len(test_absence.others(node)) == 2
                for node in self.fleet.nodes
            )
        )

    def test_at_a_vm_that_is_asked(self):
        self.meet_all()
        self.lose_log()
        self.check(self.spend(2, "a"), self.spend(1, "b"))

    def test_at_a_vm_that_was_restarted(self):
        self.meet_all()
        self.lose_log()
        first = self.spend(2, "a")
        self.fleet.stop_vm(self.newest)
        again = self.fleet.start_vm("vm2")
        again.vm = dataclasses.replace(again.vm, first_start=False)
        for node in self.fleet.nodes[:2]:
            node.members.introduce("vm2", again.members.own_entry)
        self.fleet.turn_for(1.5)
        self.check(first, self.spend(1, "b"))


class SlowToRecordTest(HomesCase):
    """The log is back; what a home used does not stand in it yet.

    Seen: after an outage of 4.5 s a looping program whose caller carries the
    conversation got 1,368 tokens of 864, with 288 for one turn more.  592 of
    them were used at a home, whose records came after the turns that other
    VMs opened in the log (once in 16 hunted days, and when it was played
    again).
    """

    vms = 3
    route = "carried-stream"

    def spend(self, name, turns=6, vm=0):
        """Take turns at a VM; count what callers get."""
        for number in range(turns):
            answer = self.fleet.take_turn(
                f"{name}{number}",
                vm,
                route=self.route,
                token_budget=str(BUDGET),
            )
            self.handed += TURN_TOKENS * (answer.status == 200)

    def bring_back(self):
        """Let the log answer; the home is slow to record."""
        home = self.fleet.nodes[0].journal
        place = histories.partitions.place_of_program("p1")
        partition = home._partitions.get(place)
        slow = mock.patch.object(partition, "_retry_now", lambda: None)
        slow.start()
        self.addCleanup(slow.stop)
        self.fleet.store.refuse = 0
        for node in self.fleet.nodes:
            self.fleet.turn_until(lambda node=node: not node.log.is_down)
        return partition, slow

    def test_other_vms_wait_for_it(self):
        self.spend("home")
        spent = self.handed
        self.assertGreater(spent, BUDGET - CEILING - TURN_TOKENS)
        self.bring_back()
        for vm in (1, 2):
            self.spend(f"vm{vm}-", vm=vm)
        self.assertLessEqual(self.handed, BUDGET + CEILING)

    def test_what_is_left_is_spent_once_it_is_recorded(self):
        self.spend("home", turns=1)
        partition, slow = self.bring_back()
        slow.stop()
        partition._retry_now()
        home = self.fleet.nodes[0].journal
        self.fleet.turn_until(lambda: not home.unrecorded)
        # Until then other VMs stay back for the home, recorded or not.
        self.fleet.turn_for(promises.PROMISE_SECONDS)
        self.spend("next", vm=1)
        self.assertEqual(36, self.handed)

    def test_when_all_is_settled_nobody_is_asked_any_more(self):
        self.spend("home", turns=1)
        partition, slow = self.bring_back()
        node = self.fleet.nodes[1]
        self.assertTrue(node.peer_client.may_owe("p1"))
        slow.stop()
        partition._retry_now()
        for other in self.fleet.nodes:
            self.fleet.turn_until(
                lambda other=other: not other.journal.unrecorded
            )
        self.spend("next", turns=1, vm=1)
        self.assertFalse(node.peer_client.may_owe("p1"))
