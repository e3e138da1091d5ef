"""The newest record of each key folds to the same state as all records.

These tests guard against two VMs that disagree on a program for good: one
answered 404 for a turn that the other continued, and they refused turns for
different budgets. While a turn's records shared one key, an opening that was
sent again to a slow log took effect behind the record of the completed turn,
which was lost in the compaction; and reserves were computed from the preceding
records, which a compacted partition no longer has. The tests fold the same
records with and without a compaction.
"""

import unittest

import hypothesis
from hypothesis import strategies

from postspring import histories
from postspring.histories.tests import test_journal
from postspring.testing.fleet import memory_log
from postspring.testing.virtual import clock as clock_module

OPEN = histories.TurnState.OPEN
BUDGET = 400
CEILING = 40
AUTHORS = ("one", "two", "three")
PLACE = histories.partitions.place_of_program("p")

FAULTS = ("none", "none", "lost answer", "late append")

# One turn: its VM, its tokens, whether it completes, the faults of its opening
# and of its end, and how many other turns start before it ends.
TURNS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(AUTHORS),
        strategies.integers(0, CEILING),
        strategies.booleans(),
        strategies.sampled_from(FAULTS),
        strategies.sampled_from(FAULTS),
        strategies.integers(0, 2),
    ),
    min_size=1,
    max_size=8,
)
# Records that take effect twice: which one, and how many places later.
DUPLICATES = strategies.lists(
    strategies.tuples(strategies.integers(0, 40), strategies.integers(1, 8)),
    max_size=4,
)


class VmGroup:
    """Three VMs that run turns of one program on one log."""

    def __init__(self):
        self.clock = clock_module.VirtualClock()
        self.data = memory_log.LogData()
        self.vm_by_name = {
            name: test_journal.JournalVm(self.clock, self.data, name)
            for name in AUTHORS
        }
        for vm in self.vm_by_name.values():
            vm.log.faults.gives_up_after = 1.0
        self._open_turns = []

    def run(self, turns):
        """Run turns, some of them concurrently."""
        for number, turn in enumerate(turns):
            name, tokens, is_completed, at_start, at_end, overlap = turn
            vm = self.vm_by_name[name]
            self._set_fault(vm, at_start)
            if vm.open(f"t{number}", "p", CEILING, BUDGET) is OPEN:
                ending = (vm, f"t{number}", tokens, is_completed, at_end)
                self._open_turns.append(ending)
            while len(self._open_turns) > overlap:
                self._finish(*self._open_turns.pop(0))
        while self._open_turns:
            self._finish(*self._open_turns.pop(0))
        self.clock.run_for(10.0)

    def records(self):
        """Return the records in the program's partition."""
        return list(self.data.records_by_place.get(PLACE, ()))

    def _finish(self, vm, turn, tokens, is_completed, fault):
        self._set_fault(vm, fault)
        if is_completed:
            vm.complete(turn, tokens=tokens)
        else:
            vm.end(turn, tokens)

    def _set_fault(self, vm, fault):
        vm.log.faults.lose_answers = int(fault == "lost answer")
        vm.log.faults.late_appends = int(fault == "late append")


def with_duplicates(entries, duplicates):
    """Return a log's records with some of them repeated later."""
    placed = [(index, 0, entry) for index, entry in enumerate(entries)]
    for index, distance in duplicates:
        if index < len(entries):
            placed.append((index + distance, 1, entries[index]))
    placed.sort(key=lambda item: item[:2])
    return [entry for place, order, entry in placed]


def read_program(entries, expired=0):
    """Return the program as a VM reads it with its first records compacted."""
    clock = clock_module.VirtualClock()
    data = memory_log.LogData()
    vm = test_journal.JournalVm(clock, data, "reader")
    if expired:
        data.append(PLACE, entries[:expired])
        data.expire(PLACE)
        refresh(vm)
    data.append(PLACE, entries[expired:])
    refresh(vm)
    return vm.journal._partitions.program("p")


def refresh(vm):
    """Have a VM read the program's partition to its end."""
    vm.wait_for(
        lambda timeout, done, failed: vm.journal.refresh_program(
            "p", timeout, lambda: done("read"), failed
        )
    )


class CompactionTest(unittest.TestCase):
    """Any order of records that is possible, and any point of compaction."""

    @hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
    @hypothesis.given(TURNS, DUPLICATES, strategies.data())
    def test_a_compaction_changes_nothing(self, turns, duplicates, data):
        group = VmGroup()
        group.run(turns)
        entries = with_duplicates(group.records(), duplicates)
        point = data.draw(strategies.integers(0, len(entries)))
        for end in range(point, len(entries) + 1):
            full = read_program(entries[:end])
            newest = read_program(entries[:end], point)
            self.assert_agree(full, newest)

    def assert_agree(self, full, newest):
        """Check that turns, charge and reserves are the same."""
        for turn in full.turn_by_id:
            self.assertEqual(
                full.completed_turn(turn), newest.completed_turn(turn)
            )
        self.assertEqual(full.charged, newest.charged)
        self.assertEqual(full.reserve_by_author, newest.reserve_by_author)


class DuplicateOpeningTest(test_journal.JournalCase):
    """An opening takes effect once more behind its completed turn."""

    def setUp(self):
        super().setUp()
        self.one.open("a")
        self.one.complete("a")
        self.data.append(PLACE, self.data.records_by_place[PLACE][:1])

    def expire(self):
        """Compact all partitions."""
        for place in list(self.data.records_by_place):
            self.data.expire(place)

    def test_another_vm_finds_the_turn_after_a_compaction(self):
        self.expire()
        self.assertEqual(b"<a>", self.two.chain("a"))

    def test_both_charge_the_same(self):
        self.expire()
        refresh(self.one)
        refresh(self.two)
        charged = [vm.journal.charged("p") for vm in (self.one, self.two)]
        self.assertEqual([4, 4], charged)


class DecisionAfterCompactionTest(test_journal.JournalCase):
    """A VM finds its own opening only in a compacted partition."""

    def test_the_order_of_the_remaining_records_lets_nothing_run(self):
        # The first opening precedes the second one and is repeated behind it;
        # of the records that remain, the second opening is the first.
        self.assertIs(OPEN, self.one.open("a", ceiling=20))
        first = self.data.records_by_place[PLACE][:1]

        def compact():
            self.data.append(PLACE, first)
            self.data.expire(PLACE)

        self.clock.call_later(0.002, compact)
        state = self.two.open("b", ceiling=20)
        newest = [entry for offset, entry in self.data.newest(PLACE)]
        self.assertEqual(first, newest[1:2])
        self.assertIs(histories.TurnState.DEFERRED, state)
