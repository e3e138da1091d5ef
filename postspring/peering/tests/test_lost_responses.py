"""Responses of the log get lost, or the direct path to it is lost.

Guards against two faults of a fleet whose log did not respond to four in ten
appends.  VMs took their direct path for lost and found it restored up to ten
times a second, some ms apart in their log lines; they refused the VMs that
they should have helped, and appended nothing for two seconds.  And a VM whose
path was lost waited 0.3 s for it with each partition anew.  The reasons: three
calls in a row without a response counted as a loss although others had been
answered since, and each partition probed the lost path.
"""

from postspring import keyedlog
from postspring.peering.tests import test_failover

PARTITIONS = 12


def place(number):
    """Return a partition of programs."""
    return keyedlog.LogPlace(keyedlog.Subject.PROGRAMS, number)


class LostAnswersTest(test_failover.FailoverCase):
    """Only some calls are answered."""

    def test_path_that_answers_other_calls_is_not_lost(self):
        # Reads that are answered show that the path works.
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

    def test_lost_path_is_probed_once_for_all_partitions(self):
        self.direct.faults.silent = True
        for number in range(3):
            self.append(place(number))
        self.clock.run_for(1.0)
        self.assertFalse(self.log.has_direct_path)
        before = len(self.direct.calls)
        waits = []
        for number in range(PARTITIONS):
            began = self.clock.now
            self.append(place(number + 3))
            waits.append(self.clock.now - began)
        self.assertLessEqual(len(self.direct.calls) - before, 1)
        self.assertLess(sorted(waits)[PARTITIONS // 2], 0.1)

    def test_bounded_reads_probe_the_path_themselves(self):
        self.direct.faults.silent = True
        for number in range(3):
            self.append(place(number))
        self.append(place(4))
        bounded = keyedlog.LogPlace(keyedlog.Subject.CONFIGURATION, 0)
        before = len(self.direct.calls)
        self.log.read(bounded, 0, lambda page: None, lambda error: None)
        self.assertEqual(before + 1, len(self.direct.calls))
