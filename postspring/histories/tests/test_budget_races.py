"""Concurrent turns of one program at many VMs, on a log with faults.

Whatever fails, restarts or is compacted, callers get no more tokens than the
budget, and in the end all VMs that have read the log charge the same.
"""

import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from postspring import histories
from postspring.histories.tests import test_journal
from postspring.testing.fleet import memory_log
from postspring.testing.virtual import clock as clock_module

CEILING = 10
PLACE = histories.partitions.place_of_program("p")
NAMES = ("one", "two", "three")

STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(NAMES),
        strategies.sampled_from((0.0, 0.002, 0.006, 0.3, 2.0)),  # pause
        strategies.sampled_from((0, 3, CEILING, CEILING)),  # tokens
        strategies.sampled_from((0.0, 0.01, 1.0, 4.0)),  # how long it runs
        strategies.booleans(),  # whether it completes
        strategies.sampled_from(
            ("", "", "", "lose", "late", "busy", "restart", "expire")
        ),
    ),
    min_size=1,
    max_size=20,
)


class Races:
    """VMs that run turns of one program, and the tokens delivered."""

    def __init__(self, budget):
        self.budget = budget
        self.clock = clock_module.VirtualClock()
        self.data = memory_log.LogData()
        self.delivered = 0
        self.vm_by_name = {name: self.start(name) for name in NAMES}

    def start(self, name):
        """Start a VM without any state."""
        vm = test_journal.JournalVm(self.clock, self.data, name)
        vm.log.faults.gives_up_after = 1.0
        return vm

    def step(self, number, name, pause, tokens, seconds, is_completed, event):
        """Apply an event, and have a VM run a turn."""
        self.clock.run_for(pause)
        self._apply_event(number, name, event)
        vm = self.vm_by_name[name]

        def opened(state, ticket):
            if state is histories.TurnState.OPEN:
                self.delivered += tokens
                self.clock.call_later(seconds, ended, ticket)

        def ended(ticket):
            if self.vm_by_name[name] is not vm:
                return
            if is_completed:
                vm.journal.complete_turn(
                    ticket, None, tokens, b"i", b"o", "e", lambda storage: None
                )
            else:
                vm.journal.end_turn(ticket, tokens)

        vm.journal.open_turn(
            "p",
            f"t{number}",
            CEILING,
            self.budget,
            1.0,
            opened,
            lambda error: None,
        )

    def _apply_event(self, number, name, event):
        faults = self.vm_by_name[name].log.faults
        faults.lose_answers = int(event == "lose")
        faults.late_appends = int(event == "late")
        faults.busy = int(event == "busy")
        if event == "restart":
            faults.silent = True
            self.vm_by_name[name] = self.start(f"{name}-{number}")
        elif event == "expire":
            self.data.expire(PLACE)

    def settle(self):
        """Let all turns end, and have all VMs read the log."""
        self.clock.run_for(20.0)
        for vm in self.vm_by_name.values():
            vm.log.faults.lose_answers = vm.log.faults.late_appends = 0
            vm.wait_for(
                lambda timeout, done, failed, vm=vm: (
                    vm.journal.refresh_program(
                        "p", timeout, lambda: done("read"), failed
                    )
                )
            )


class BudgetRaceTest(unittest.TestCase):
    """Any steps of three VMs, which reserve more than by default.

    With an eighth of the remaining budget, two reserves hardly ever conflict.
    """

    def setUp(self):
        for name, value in (("RESERVE_DIVISOR", 1), ("KEPT_FREE_TURNS", 0)):
            patch = mock.patch.object(histories.program, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    @hypothesis.settings(max_examples=300, deadline=None, derandomize=True)
    @hypothesis.given(strategies.sampled_from((25, 45, 80, 400)), STEPS)
    def test_callers_never_get_more_than_the_budget(self, budget, steps):
        races = Races(budget)
        for number, step in enumerate(steps):
            races.step(number, *step)
        races.settle()
        self.assertLessEqual(races.delivered, budget)
        charged = {vm.journal.charged("p") for vm in races.vm_by_name.values()}
        self.assertEqual(1, len(charged), charged)
        self.assertGreaterEqual(min(charged), races.delivered)


class IdUsedTwiceTest(test_journal.JournalCase):
    """A turn runs once, however often callers use its id."""

    def states_of(self, *vms):
        """Open one turn at some VMs concurrently; return the states."""
        states = []
        for vm in vms:
            vm.journal.open_turn(
                "p",
                "a",
                10,
                100,
                1.0,
                lambda state, ticket: states.append(state),
                states.append,
            )
        self.clock.run_for(1.0)
        return states

    def test_at_one_vm_concurrently(self):
        # Both openings are the same record; both used to be decided as open.
        states = self.states_of(self.one, self.one)
        self.assertEqual(1, states.count(histories.TurnState.OPEN))

    def test_at_two_vms_concurrently(self):
        states = self.states_of(self.one, self.two)
        self.assertEqual(1, states.count(histories.TurnState.OPEN))

    def test_after_it_has_ended(self):
        self.one.open("a", budget=1000)
        self.one.complete("a")
        self.assertIs(
            histories.TurnState.COMPLETED, self.one.open("a", budget=1000)
        )


class SpentBudgetTest(test_journal.JournalCase):
    """Settled turns leave no room, which takes no record to decide."""

    def test_a_turn_is_refused_without_a_record(self):
        self.one.open("a", ceiling=20)
        self.one.complete("a", tokens=20)
        before = len(self.one.log.calls)
        self.assertIs(histories.TurnState.REFUSED, self.one.open("b"))
        self.assertEqual(before, len(self.one.log.calls))
