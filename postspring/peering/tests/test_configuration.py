"""A new configuration is in force in time if any VM reaches the log."""

import logging
import unittest

from postspring.testing.fleet import memory_fleet

# Time within which a new configuration has to be in force.
BOUND_SECONDS = 2.0
VMS = 64
# Offsets of each scenario against the VMs' reads, over one read.
PHASES = [number * 0.2 for number in range(8)]


class QuietCase(unittest.TestCase):
    """Silences the warnings of many VMs about faults that are intended."""

    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)


class RefusedVmsTest(QuietCase):
    """The log refuses some VMs, or ignores them; the others reach it.

    Guards against plain calls handled by a configuration that is over 3 s old,
    as seen while the store left a third of the VMs without responses for nine
    seconds.  A read hung on the lost path, then at another VM that was refused
    as well, and no further VM was asked for two seconds.
    """

    def slowest(self, inject_fault, busy_vms=VMS // 2, phases=PHASES):
        """Return the longest time until a VM had a new configuration.

        The fault begins 0.05 s before one configuration is written; another
        one is written during the fault.
        """
        found = []
        for seed, phase in enumerate(phases):
            fleet = memory_fleet.MemoryFleet(VMS, seed=seed)
            fleet.configure(b"1")
            fleet.start()
            for vm in fleet.vms[:busy_vms]:
                fleet.work(vm, 4.0)
            fleet.clock.run_for(3.0 + phase)
            inject_fault(fleet)
            fleet.clock.run_for(0.05)
            for value in (b"2", b"3"):
                written = fleet.configure(value)
                fleet.clock.run_for(4.0)
                found.append(fleet.slowest(value, written))
        return max(found)

    @staticmethod
    def affected_vms(fleet):
        """Return a third of the VMs, busy and idle ones."""
        return fleet.vms[::3]

    def test_vms_without_responses(self):
        def inject_fault(fleet):
            for vm in self.affected_vms(fleet):
                vm.direct.faults.silent = True

        self.assertLess(self.slowest(inject_fault), BOUND_SECONDS)

    def test_vms_refused_with_429(self):
        def inject_fault(fleet):
            for vm in self.affected_vms(fleet):
                vm.direct.faults.busy = 10**6

        self.assertLess(self.slowest(inject_fault), BOUND_SECONDS)

    def test_only_configuration_reads_refused_with_429(self):
        def inject_fault(fleet):
            for vm in self.affected_vms(fleet):
                place = memory_fleet.CONFIGURATION
                vm.direct.faults.busy_places.add(place)

        self.assertLess(self.slowest(inject_fault), BOUND_SECONDS)

    def test_two_thirds_without_responses(self):
        def inject_fault(fleet):
            for vm in fleet.vms[::3] + fleet.vms[1::3]:
                vm.direct.faults.silent = True

        self.assertLess(
            self.slowest(inject_fault, phases=PHASES[:3]), BOUND_SECONDS
        )

    def test_silent_connections(self):
        def inject_fault(fleet):
            for vm in fleet.vms:
                vm.direct.drop_under_way()

        self.assertLess(self.slowest(inject_fault), BOUND_SECONDS)


class StartTest(QuietCase):
    """All VMs start at once while the log refuses all calls.

    Guards against a failure of 64 VMs that had started within 0.3 s: every
    turn failed from the third second on.
    """

    seconds = 5.0

    def test_all_calls_refused_with_429(self):
        for seed in range(4):
            fleet = memory_fleet.MemoryFleet(VMS, seed=seed)
            fleet.configure(b"1")
            for vm in fleet.vms:
                vm.direct.faults.busy = 10**6
                fleet.work(vm, 10.0)
            fleet.start()
            fleet.clock.run_for(self.seconds)
            for vm in fleet.vms:
                vm.direct.faults.busy = 0
            returned_at = fleet.clock.now
            fleet.clock.run_for(4.0)
            self.assertLess(fleet.slowest(b"1", returned_at), 1.0)


class OverloadTest(QuietCase):
    """All VMs together read more than the log accepts."""

    def test_configuration_arrives_within_the_bound(self):
        fleet = memory_fleet.MemoryFleet(VMS, reads=600.0)
        fleet.configure(b"1")
        fleet.start()
        fleet.clock.run_for(1.0)
        for vm in fleet.vms:
            fleet.look_up(vm, 2 * fleet.data.reads / VMS)
        for value in (b"2", b"3", b"4"):
            fleet.clock.run_for(1.5)
            written = fleet.configure(value)
            fleet.clock.run_for(3.0)
            self.assertLess(fleet.slowest(value, written), BOUND_SECONDS)


class OutageTest(QuietCase):
    """During an outage of the log, VMs send each other few messages.

    An earlier version asked eight VMs in every round: 2,000 messages a second.
    """

    def test_messages_between_vms_are_bounded(self):
        fleet = memory_fleet.MemoryFleet(VMS)
        fleet.configure(b"1")
        fleet.start()
        fleet.clock.run_for(3.0)
        for vm in fleet.vms:
            vm.direct.faults.down = True
        fleet.clock.run_for(3.0)
        passed = fleet.passed
        fleet.clock.run_for(5.0)
        # Each VM asks one other VM in each attempt, 0.3 s after the previous
        # one.
        self.assertLess(fleet.passed - passed, VMS * 5 / 0.3)
