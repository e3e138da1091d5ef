"""Turns of programs whose partition waits in the queue for its next try.

Found by reading.  When the log is back, a VM tries again what waits for it,
one partition after the other at its share of the log's rate.  A turn that
came meanwhile for a program in one of the last of them timed out, though the
log had answered for two seconds: new work waited for the turn of its
partition in the queue like what nobody waits for.
"""

import math
import unittest

from postspring import histories
from postspring.histories.tests import test_journal
from postspring.testing.fleet import memory_log
from postspring.testing.virtual import clock as clock_module

# Of 64 VMs before a store that takes 1,500 appends a second; half of it.
SHARE = 0.5 * 1500 / 64
PROGRAMS = 60
# Its partition is the last one in the queue.
LAST = f"p{PROGRAMS - 1}"
# As a turn waits (forwarding/turn_call.py), in seconds.
TIMEOUT = 0.6


class QueueCase(unittest.TestCase):
    """Many partitions of a VM failed while the log was away."""

    def setUp(self):
        self.clock = clock_module.VirtualClock()
        self.vm = test_journal.Vm(self.clock, memory_log.LogData(), "one")
        timers = clock_module.VirtualTimers(
            self.clock, clock_module.VirtualProcess("j")
        )
        self.vm.journal = histories.Journal(
            self.vm.log, timers, "one", catch_up_rate=lambda: SHARE
        )
        self.faults = self.vm.log.faults
        self.faults.down = True
        for number in range(PROGRAMS):
            ticket = histories.Ticket(
                f"p{number}", f"t{number}", 10, 25, histories.Origin.HOME
            )
            self.vm.journal.end_turn(ticket, 4)
        self.clock.run_for(12.0)

    def bring_back(self):
        """Let the log answer for 2 s: some partitions had their turn."""
        self.faults.down = False
        self.clock.run_for(2.0)

    def open(self, turn, program=LAST):
        """Open a turn with the timeout of a caller."""
        return self.vm.open(turn, program=program, timeout=TIMEOUT)

    def is_unresponsive(self, program=LAST):
        """Return whether the VM takes a program's partition to be away."""
        return self.vm.journal._partitions.is_unresponsive(
            histories.partitions.place_of_program(program)
        )


class QueueTest(QueueCase):
    """The log was away for 12 s, and is back for 2 s."""

    def test_a_turn_that_somebody_waits_for_goes_first(self):
        self.bring_back()
        heard = self.open("u")
        self.assertIs(histories.TurnState.OPEN, heard)

    def test_a_chain_that_somebody_waits_for_goes_first(self):
        self.bring_back()
        self.assertIsNone(self.vm.chain("u", LAST, timeout=TIMEOUT))

    def test_a_home_does_not_go_on(self):
        self.vm.journal.accounts.open_offline_account(
            LAST, 100, is_certain=True
        )
        self.assertIs(histories.TurnState.OPEN, self.open("u"))
        self.assertIs(histories.Origin.HOME, self.vm.tickets["u"].origin)
        self.vm.end("u", 0)
        self.bring_back()
        self.assertIs(histories.TurnState.OPEN, self.open("v"))
        self.assertIs(histories.Origin.LOG, self.vm.tickets["v"].origin)

    def test_a_whole_turn_whose_caller_waits_goes_first(self):
        # Seen on a played day: it waited in the queue, its caller had the end
        # of the answer by other VMs' copies, and then all VMs were killed.
        self.bring_back()
        ticket = histories.Ticket(LAST, "u", 10, 25, histories.Origin.RESERVE)
        heard = []
        self.vm.journal.complete_turn(
            ticket, None, 4, b"<u>", b">", "engine", heard.append
        )
        self.clock.run_for(0.1)
        self.assertEqual(["logged"], heard)

    def test_who_waited_when_it_came_back_goes_first(self):
        heard = []
        place = histories.partitions.place_of_program(LAST)
        partition = self.vm.journal._partitions.get(place)
        partition.refresh(2.0, heard.append, self.fail)
        self.faults.down = False
        self.clock.run_for(1.0)
        self.assertFalse(self.is_unresponsive())
        self.assertTrue(heard)

    def test_what_nobody_waits_for_keeps_its_turn(self):
        self.bring_back()
        before = len(self.vm.log.calls)
        for number in range(PROGRAMS):
            ticket = histories.Ticket(
                f"p{number}", f"v{number}", 10, 25, histories.Origin.HOME
            )
            self.vm.journal.end_turn(ticket, 4)
        queued = [f"p{number}" for number in range(PROGRAMS)]
        queued = [name for name in queued if self.is_queued(name)]
        self.assertGreater(len(queued), PROGRAMS // 4)
        self.clock.run_for(0.1)
        most = PROGRAMS - len(queued) + math.ceil(0.1 * SHARE)
        self.assertLessEqual(len(self.vm.log.calls) - before, most)

    def is_queued(self, program):
        """Return whether a program's partition waits for its turn."""
        place = histories.partitions.place_of_program(program)
        return self.vm.journal._partitions.get(place).is_waiting


class HeldTurnTest(QueueCase):
    """A turn that ended while the log was away is kept by VMs only.

    Seen on a played day: a cut healed, and 1.9 s later all VMs were killed.
    Turns that callers had whole were still in the queue, behind what callers
    did not know of, and at the rate of an outage for all VMs.
    """

    def test_it_is_recorded_first(self):
        ticket = histories.Ticket(
            "w", "whole", 10, 25, histories.Origin.RESERVE
        )
        self.vm.journal.complete_turn(
            ticket, None, 4, b"<w>", b">", "engine", lambda how: None
        )
        self.clock.run_for(5.0)
        self.assertEqual(1, self.vm.journal.held)
        self.faults.down = False
        self.clock.run_for(1.5)
        self.assertEqual(0, self.vm.journal.held)


class AwayTest(QueueCase):
    """The log is really away, or a part of it."""

    def test_callers_who_wait_add_no_calls(self):
        before = len(self.vm.log.calls)
        for number in range(200):
            self.vm.journal.open_turn(
                LAST, f"u{number}", 10, 25, TIMEOUT, print, lambda error: None
            )
            self.clock.run_for(0.01)
        most = math.ceil(SHARE * 2.0) + 1
        self.assertLessEqual(len(self.vm.log.calls) - before, most)

    def test_all_partitions_are_failing(self):
        for number in range(PROGRAMS):
            self.assertTrue(self.is_unresponsive(f"p{number}"))

    def test_a_partition_that_fails_by_itself_is_failing(self):
        """Others answer; its homes are the only way."""
        place = histories.partitions.place_of_program(LAST)
        self.faults.down_places.add(place)
        self.bring_back()
        self.clock.run_for(10.0)
        self.vm.open("x", program="other")
        error = self.open("u")
        self.assertIsInstance(error, histories.JournalUnavailable)
        self.vm.open("y", program="another")
        self.assertTrue(self.is_unresponsive())
        self.vm.journal.accounts.open_offline_account(
            LAST, 100, is_certain=True
        )
        self.assertIs(histories.TurnState.OPEN, self.open("v"))
        self.assertIs(histories.Origin.HOME, self.vm.tickets["v"].origin)

    def test_callers_do_not_hurry_a_partition_that_fails_by_itself(self):
        place = histories.partitions.place_of_program(LAST)
        self.faults.down_places.add(place)
        self.bring_back()
        self.clock.run_for(10.0)
        before = self.vm.log.calls.count("append")
        for number in range(200):
            self.vm.journal.open_turn(
                LAST, f"u{number}", 10, 25, TIMEOUT, print, lambda error: None
            )
            self.clock.run_for(0.01)
        self.assertLessEqual(self.vm.log.calls.count("append") - before, 4)

    def test_a_busy_log_is_left_its_pause(self):
        """What comes again at once would keep it busy."""
        place = histories.partitions.place_of_program(LAST)
        self.bring_back()
        self.faults.busy_places.add(place)
        self.clock.run_for(10.0)
        before = self.vm.log.calls.count("append")
        for number in range(200):
            self.vm.journal.open_turn(
                LAST, f"u{number}", 10, 25, TIMEOUT, print, lambda error: None
            )
            self.clock.run_for(0.01)
        self.assertLessEqual(self.vm.log.calls.count("append") - before, 3)
        self.assertFalse(self.is_unresponsive())
