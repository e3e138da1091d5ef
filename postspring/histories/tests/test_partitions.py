"""Load of the log by many VMs that catch up after an outage."""

import logging
import unittest

from postspring.histories import partitions as partitions_module
from postspring import keyedlog
from postspring.testing.fleet import memory_log
from postspring.testing.virtual import clock as clock_module

VMS = 64
WAITING = 40
# Appends a second that the log takes, and the share of it for catching up.
APPEND_RATE = 1500.0
CATCH_UP_SHARE = 0.5
TIMEOUT_SECONDS = 120.0


class CatchUpTest(unittest.TestCase):
    """All VMs together catch up with half of the log's rate.

    These tests guard against 64 VMs that exceed even the full rate: pending
    retries were spread by each VM's share when the log recovered, but each
    partition also retried by itself after a second at most, whatever the
    share.
    """

    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.clock = clock_module.VirtualClock()
        self.data = memory_log.LogData()
        self.logs = []
        self.called_at = []
        self.done = 0

    def start(self, waiting=WAITING):
        """Have each VM append to many partitions of an unavailable log."""
        for vm in range(VMS):
            process = clock_module.VirtualProcess(str(vm))
            timers = clock_module.VirtualTimers(self.clock, process)
            log = _CountedLog(self.data, timers, self.called_at)
            log.faults.down = True
            self.logs.append(log)
            partitions = partitions_module.Partitions(
                log, timers, lambda: CATCH_UP_SHARE * APPEND_RATE / VMS
            )
            for number in range(waiting):
                place = keyedlog.LogPlace(
                    keyedlog.Subject.LOCATIONS, vm * waiting + number
                )
                partitions.get(place).commit(
                    keyedlog.LogEntry("k", b"v"),
                    TIMEOUT_SECONDS,
                    self._count,
                    lambda error: None,
                )

    def _count(self, fold):
        self.done += 1

    def max_calls_in_a_second(self, since):
        """Return the most calls in any second since a time."""
        times = [when for when in self.called_at if when >= since]
        return max(
            sum(1 for other in times[index:] if other < when + 1.0)
            for index, when in enumerate(times)
        )

    def restore_log(self):
        """Let the log answer again."""
        for log in self.logs:
            log.faults.down = False

    def test_after_the_outage(self):
        self.start()
        self.clock.run_for(6.0)
        self.restore_log()
        restored_at = self.clock.now
        self.clock.run_for(15.0)
        self.assertEqual(VMS * WAITING, self.done)
        self.assertLessEqual(
            self.max_calls_in_a_second(restored_at),
            CATCH_UP_SHARE * APPEND_RATE,
        )

    def test_during_the_outage(self):
        self.start()
        self.clock.run_for(3.0)
        began = self.clock.now
        self.clock.run_for(3.0)
        self.assertLessEqual(
            self.max_calls_in_a_second(began), CATCH_UP_SHARE * APPEND_RATE
        )

    def test_a_vm_with_few_retries_is_done_soon(self):
        self.start(waiting=2)
        self.clock.run_for(6.0)
        self.restore_log()
        self.clock.run_for(1.1)
        self.assertEqual(VMS * 2, self.done)


class _CountedLog(memory_log.MemoryLog):
    """Records the times of its appends."""

    def __init__(self, data, timers, called_at):
        super().__init__(data, timers)
        self._called_at = called_at

    def append(self, place, entries, on_done, on_error) -> None:
        """Record the time, and append."""
        self._called_at.append(self._timers.now())
        super().append(place, entries, on_done, on_error)
