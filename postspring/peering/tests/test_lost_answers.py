"""Answers of the log are lost, or the way to it is lost.

Seen: simulated with a log that did not answer four in ten appends, VMs took
their direct way for lost and regained it up to ten times a second, turned
away those that they were to help, and appended nothing for two seconds; a VM
whose way was lost waited 0.3 s for it with each partition anew.  Cause: three
calls without an answer in a row counted, though others had been answered
since; and each partition tried the lost way.  Proof: lines ``direct way
lost`` and ``direct way back`` some ms apart, and the calls traced here.
"""

from postspring import keyedlog
from postspring.peering.tests import test_failover

PARTITIONS = 12


def place(number):
    """Return a partition of programs."""
    return keyedlog.LogPlace(keyedlog.Subject.PROGRAMS, number)


class LostAnswersTest(test_failover.FailoverCase):
    """Calls of which some are answered."""

    def test_a_way_that_takes_other_calls_is_not_lost(self):
        # What others do keeps the way in use: reads are answered.
        for number in range(PARTITIONS):
            self.direct.faults.lose_answers = 1
            done = []
            self.log.append(
                place(number), [test_failover.ENTRY], done.append, done.append
            )
            self.clock.run_for(0.05)
            self.log.read(
                place(number + PARTITIONS), 0, done.append, done.append
            )
            self.clock.run_for(0.1)
        self.clock.run_for(2.0)
        self.assertEqual([], self.changes)

    def test_a_lost_way_is_tried_once_for_all_partitions(self):
        self.direct.faults.silent = True
        for number in range(3):
            self.append(place(number))
        self.clock.run_for(1.0)
        self.assertFalse(self.log.is_direct)
        before = len(self.direct.calls)
        waits = []
        for number in range(PARTITIONS):
            began = self.clock.now
            self.append(place(number + 3))
            waits.append(self.clock.now - began)
        self.assertLessEqual(len(self.direct.calls) - before, 1)
        self.assertLess(sorted(waits)[PARTITIONS // 2], 0.1)

    def test_what_has_a_bound_tries_it_itself(self):
        self.direct.faults.silent = True
        for number in range(3):
            self.append(place(number))
        self.append(place(4))
        bounded = keyedlog.LogPlace(keyedlog.Subject.CONFIGURATION, 0)
        before = len(self.direct.calls)
        self.log.read(bounded, 0, lambda page: None, lambda error: None)
        self.assertEqual(before + 1, len(self.direct.calls))
