"""The newest record of each key tells what all records tell.

Seen: two VMs disagreed on a program for good; one answered 404 for a turn
that the other continued, and they refused turns for different budgets.
How: an opening that was sent again while the log was slow took effect
behind its whole turn, and one of the VMs read the partition only after its
history had expired.
Cause: the records of a turn shared one key, so the late opening displaced
the whole turn; and what VMs reserved was computed from the records before,
which a compacted partition no longer has.
Proof: the same records, folded whole and folded after a compaction.
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

# One turn: who runs it, what it spends, whether it is whole, what goes wrong
# with its opening and at its end, and how many others start before it ends.
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
# Records that take effect once more: which one, and how many places later.
COPIES = strategies.lists(
    strategies.tuples(strategies.integers(0, 40), strategies.integers(1, 8)),
    max_size=4,
)


class Site:
    """Three VMs that run turns of one program on one log."""

    def __init__(self):
        self.clock = clock_module.VirtualClock()
        self.data = memory_log.LogData()
        self.vm_by_name = {
            name: test_journal.Vm(self.clock, self.data, name)
            for name in AUTHORS
        }
        for vm in self.vm_by_name.values():
            vm.log.faults.gives_up_after = 1.0
        self._under_way = []

    def run(self, turns):
        """Run turns, some of them at the same time."""
        for number, turn in enumerate(turns):
            name, tokens, is_whole, at_start, at_end, overlap = turn
            vm = self.vm_by_name[name]
            self._fail(vm, at_start)
            if vm.open(f"t{number}", "p", CEILING, BUDGET) is OPEN:
                ending = (vm, f"t{number}", tokens, is_whole, at_end)
                self._under_way.append(ending)
            while len(self._under_way) > overlap:
                self._finish(*self._under_way.pop(0))
        while self._under_way:
            self._finish(*self._under_way.pop(0))
        self.clock.run_for(10.0)

    def records(self):
        """Return what stands in the program's partition."""
        return list(self.data.records_by_place.get(PLACE, ()))

    def _finish(self, vm, turn, tokens, is_whole, fault):
        self._fail(vm, fault)
        if is_whole:
            vm.complete(turn, tokens=tokens)
        else:
            vm.end(turn, tokens)

    def _fail(self, vm, fault):
        vm.log.faults.lose_answers = int(fault == "lost answer")
        vm.log.faults.late_appends = int(fault == "late append")


def with_copies(entries, copies):
    """Return the records of a log where some took effect once more."""
    placed = [(index, 0, entry) for index, entry in enumerate(entries)]
    for index, later in copies:
        if index < len(entries):
            placed.append((index + later, 1, entries[index]))
    placed.sort(key=lambda item: item[:2])
    return [entry for place, order, entry in placed]


def program_read(entries, expired=0):
    """Return the program as a VM reads it, its first records compacted."""
    clock = clock_module.VirtualClock()
    data = memory_log.LogData()
    vm = test_journal.Vm(clock, data, "reader")
    if expired:
        data.append(PLACE, entries[:expired])
        data.expire(PLACE)
        refresh(vm)
    data.append(PLACE, entries[expired:])
    refresh(vm)
    return vm.journal._partitions.program("p")


def refresh(vm):
    """Let a VM read the program's partition to its end."""
    vm.wait_for(
        lambda timeout, done, failed: vm.journal.refresh_program(
            "p", timeout, lambda: done("read"), failed
        )
    )


class CompactionTest(unittest.TestCase):
    """Any order that the log can have, and any point of compaction."""

    @hypothesis.settings(max_examples=100, deadline=None, derandomize=True)
    @hypothesis.given(TURNS, COPIES, strategies.data())
    def test_it_changes_nothing(self, turns, copies, data):
        site = Site()
        site.run(turns)
        entries = with_copies(site.records(), copies)
        point = data.draw(strategies.integers(0, len(entries)))
        for end in range(point, len(entries) + 1):
            full = program_read(entries[:end])
            newest = program_read(entries[:end], point)
            self.assert_agree(full, newest)

    def assert_agree(self, full, newest):
        """Check turns, charge and reserves."""
        for turn in full.turn_by_id:
            self.assertEqual(full.whole_turn(turn), newest.whole_turn(turn))
        self.assertEqual(full.charged, newest.charged)
        self.assertEqual(full.reserve_by_author, newest.reserve_by_author)


class LateOpeningTest(test_journal.JournalCase):
    """An opening takes effect once more, behind its whole turn."""

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


class JudgedAfterCompactionTest(test_journal.JournalCase):
    """A VM finds its own opening only in a compacted partition."""

    def test_the_order_of_what_is_left_lets_nothing_run(self):
        # The first opening stands before the second one, and once more
        # behind it; what is left has the second one first.
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
