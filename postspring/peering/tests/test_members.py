"""The list of the entry VMs, in virtual time."""

import itertools
import unittest

from postspring import peering
from postspring.peering import members as members_module
from postspring.testing.fleet import memory_log
from postspring.testing.virtual import clock as clock_module


class MembersCase(unittest.TestCase):
    """VMs that share one log."""

    def setUp(self):
        self.clock = clock_module.VirtualClock()
        self.data = memory_log.LogData()

    def start_members(self, name, down=False):
        """Start and return a VM's list."""
        process = clock_module.VirtualProcess(name)
        timers = clock_module.VirtualTimers(self.clock, process)
        log = memory_log.MemoryLog(self.data, timers)
        log.faults.down = down
        own = peering.Member(
            name, f"{name}/1", "z", ("10.0.0.1", 1), ("10.0.0.1", 2)
        )
        members = peering.Members(log, timers, own)
        members.start()
        return members


class SharedRateTest(MembersCase):
    """Number of VMs among which the log's rate is shared.

    Guards against a VM that starts while the log refuses every call, and takes
    itself for one of few VMs: it would use half of the log's rate, and 64 such
    VMs 32 times the whole rate.
    """

    def test_listed_vms_are_counted(self):
        lists = [self.start_members(f"vm{number}") for number in range(5)]
        self.clock.run_for(6.0)
        self.assertEqual([5] * 5, [members.vm_count for members in lists])

    def test_many_vms_are_assumed_before_the_first_read(self):
        members = self.start_members("vm", down=True)
        self.clock.run_for(6.0)
        self.assertGreaterEqual(members.vm_count, 64)

    def test_count_is_kept_during_an_outage(self):
        lists = [self.start_members(f"vm{number}") for number in range(5)]
        self.clock.run_for(6.0)
        lists[0]._log.faults.down = True
        self.clock.run_for(6.0)
        self.assertEqual(5, lists[0].vm_count)


class AbsentTest(MembersCase):
    """A VM stops renewing its entry."""

    def setUp(self):
        super().setUp()
        self.one = self.start_members("one")
        self.two = self.start_members("two")
        self.clock.run_for(6.0)
        self.two._log.faults.silent = True

    def names(self, members):
        """Return the names of some VMs."""
        return [member.name for member in members]

    def test_absent_after_expiry(self):
        self.assertEqual([], self.one.absent)
        self.clock.run_for(20.0)
        self.assertEqual([], self.names(self.one.others))
        self.assertEqual(["two"], self.names(self.one.absent))

    def test_expires_despite_occasional_failures(self):
        # A single failed call is no outage, during which no VM could renew its
        # entry.
        log = self.one._log
        read = log.read
        refused = itertools.cycle((True, False))

        def read_or_refuse(*arguments, **options):
            log.faults.busy = int(next(refused))
            read(*arguments, **options)

        log.read = read_or_refuse
        self.clock.run_for(40.0)
        self.assertEqual([], self.names(self.one.listed))

    def test_listed_during_an_outage(self):
        self.two._log.faults.silent = False
        for members in (self.one, self.two):
            members._log.faults.down = True
        self.clock.run_for(40.0)
        for members in (self.one, self.two):
            members._log.faults.down = False
        for _ in range(40):
            self.clock.run_for(0.5)
            self.assertEqual(["two"], self.names(self.one.listed))

    def test_listed_again_after_its_return(self):
        self.clock.run_for(20.0)
        self.two._log.faults.silent = False
        self.clock.run_for(12.0)
        self.assertEqual(["two"], self.names(self.one.others))
        self.assertEqual([], self.one.absent)

    def test_dropped_after_a_long_absence(self):
        self.clock.run_for(members_module.ABSENCE_SECONDS + 30.0)
        self.assertEqual([], self.one.absent)
        late = self.start_members("late")
        self.clock.run_for(6.0)
        self.assertEqual(["one"], self.names(late.others))

    def test_new_vm_counts_the_absence_from_its_start(self):
        self.clock.run_for(20.0)
        late = self.start_members("late")
        self.clock.run_for(20.0)
        self.assertEqual(["two"], self.names(late.absent))
