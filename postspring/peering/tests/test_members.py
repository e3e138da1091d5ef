"""The list of the entry VMs, in virtual time."""

import itertools
import unittest

from postspring import peering
from postspring.peering import members as members_module
from postspring.testing.fleet import memory_log
from postspring.testing.virtual import clock as clock_module


class MembersCase(unittest.TestCase):
    """VMs on one log."""

    def setUp(self):
        self.clock = clock_module.VirtualClock()
        self.data = memory_log.LogData()

    def members(self, name, down=False):
        """Return a VM's list, started."""
        process = clock_module.VirtualProcess(name)
        timers = clock_module.VirtualTimers(self.clock, process)
        log = memory_log.MemoryLog(self.data, timers)
        log.faults.down = down
        own = peering.Member(name, f"{name}/1", "z", ("h", 1), ("h", 2))
        members = peering.Members(log, timers, own)
        members.start()
        return members


class SharersTest(MembersCase):
    """Among how many VMs the log's rate is shared.

    Found by reading: a VM that started before a log that refused every call
    knew no other VM, and so took half of the log's rate for its own share.
    64 that start at once would catch up with 32 times the whole rate.
    """

    def test_those_of_the_list(self):
        lists = [self.members(f"vm{number}") for number in range(5)]
        self.clock.run_for(6.0)
        self.assertEqual([5] * 5, [members.sharers for members in lists])

    def test_many_while_the_list_was_never_read(self):
        members = self.members("vm", down=True)
        self.clock.run_for(6.0)
        self.assertGreaterEqual(members.sharers, 64)

    def test_the_list_is_known_while_the_log_is_away(self):
        lists = [self.members(f"vm{number}") for number in range(5)]
        self.clock.run_for(6.0)
        lists[0]._log.faults.down = True
        self.clock.run_for(6.0)
        self.assertEqual(5, lists[0].sharers)


class AbsentTest(MembersCase):
    """A VM that falls silent, and is not heard of again."""

    def setUp(self):
        super().setUp()
        self.one = self.members("one")
        self.two = self.members("two")
        self.clock.run_for(6.0)
        self.two._log.faults.silent = True

    def names(self, members):
        """Return the names of some VMs."""
        return [member.name for member in members]

    def test_it_is_absent_when_its_entry_has_expired(self):
        self.assertEqual([], self.one.absent)
        self.clock.run_for(20.0)
        self.assertEqual([], self.names(self.one.others))
        self.assertEqual(["two"], self.names(self.one.absent))

    def test_it_expires_while_calls_fail_now_and_then(self):
        # Each one was taken for an outage, in which nobody renews an entry.
        log = self.one._log
        read = log.read
        refused = itertools.cycle((True, False))

        def read_or_refuse(*arguments, **options):
            log.faults.busy = int(next(refused))
            read(*arguments, **options)

        log.read = read_or_refuse
        self.clock.run_for(40.0)
        self.assertEqual([], self.names(self.one.listed))

    def test_it_is_listed_through_an_outage(self):
        self.two._log.faults.silent = False
        for members in (self.one, self.two):
            members._log.faults.down = True
        self.clock.run_for(40.0)
        for members in (self.one, self.two):
            members._log.faults.down = False
        for _ in range(40):
            self.clock.run_for(0.5)
            self.assertEqual(["two"], self.names(self.one.listed))

    def test_it_is_listed_again_when_it_comes_back(self):
        self.clock.run_for(20.0)
        self.two._log.faults.silent = False
        self.clock.run_for(12.0)
        self.assertEqual(["two"], self.names(self.one.others))
        self.assertEqual([], self.one.absent)

    def test_its_entry_is_dropped_after_very_long(self):
        self.clock.run_for(members_module.ABSENCE_SECONDS + 30.0)
        self.assertEqual([], self.one.absent)
        late = self.members("late")
        self.clock.run_for(6.0)
        self.assertEqual(["one"], self.names(late.others))

    def test_a_vm_that_starts_counts_it_anew(self):
        self.clock.run_for(20.0)
        late = self.members("late")
        self.clock.run_for(20.0)
        self.assertEqual(["two"], self.names(late.absent))
