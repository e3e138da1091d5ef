"""Turns of programs whose partition waits in the queue for its next try.

Found by reading.  When the log is back, a VM tries again what waits for it,
one partition after the other at its share of the log's rate.  A turn that
came meanwhile for a program in one of the last of them timed out, though the
log had answered for two seconds: new work waited for the turn of its
partition in the queue like what nobody waits for.
"""

import unittest

from postspring import histories
from postspring.histories.tests import test_journal
from postspring.testing.fleet import memory_log
from postspring.testing.virtual import clock as clock_module

# Of 64 VMs before a store that takes 1,500 appends a second; half of it.
SHARE = 0.5 * 1500 / 64
PROGRAMS = 60
# As a turn waits (forwarding/turn_call.py), in seconds.
PATIENCE = 0.6


class QueueTest(unittest.TestCase):
    """The log was away for 12 s, and is back for 2 s."""

    def test_a_turn_that_somebody_waits_for_goes_first(self):
        clock = clock_module.VirtualClock()
        vm = test_journal.Vm(clock, memory_log.LogData(), "one")
        timers = clock_module.VirtualTimers(
            clock, clock_module.VirtualProcess("j")
        )
        vm.journal = histories.Journal(
            vm.log, timers, "one", catch_up_rate=lambda: SHARE
        )
        vm.log.faults.down = True
        for number in range(PROGRAMS):
            ticket = histories.Ticket(
                f"p{number}", f"t{number}", 10, 25, histories.Origin.HOME
            )
            vm.journal.end_turn(ticket, 4)
        clock.run_for(12.0)
        vm.log.faults.down = False
        clock.run_for(2.0)
        heard = vm.open("u", program=f"p{PROGRAMS - 1}", patience=PATIENCE)
        self.assertIs(histories.TurnState.OPEN, heard)
