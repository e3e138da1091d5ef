"""What many VMs that wait for the log send it together."""

import logging
import unittest

from postspring.histories import partitions as partitions_module
from postspring import keyedlog
from postspring.testing.fleet import memory_log
from postspring.testing.virtual import clock as clock_module

VMS = 64
WAITING = 40
# Appends a second that the log takes, and the share for catching up.
WRITES = 1500.0
SHARE = 0.5
TIMEOUT_SECONDS = 120.0


class CatchUpTest(unittest.TestCase):
    """After an outage VMs catch up with half of the log's rate together.

    Found by reading: what waits was spread by the VM's share when the log
    was back, but each partition came again by itself after a second at the
    most, whatever the share says, and 64 VMs with many partitions went
    beyond the whole rate.
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
        """Let each VM append to many partitions of a log that is away."""
        for vm in range(VMS):
            process = clock_module.VirtualProcess(str(vm))
            timers = clock_module.VirtualTimers(self.clock, process)
            log = _CountedLog(self.data, timers, self.called_at)
            log.faults.down = True
            self.logs.append(log)
            partitions = partitions_module.Partitions(
                log, timers, lambda: SHARE * WRITES / VMS
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

    def most_in_a_second(self, since):
        """Return the most calls in any second since a time."""
        times = [when for when in self.called_at if when >= since]
        return max(
            sum(1 for other in times[index:] if other < when + 1.0)
            for index, when in enumerate(times)
        )

    def bring_back(self):
        """Let the log answer again."""
        for log in self.logs:
            log.faults.down = False

    def test_when_the_log_is_back(self):
        self.start()
        self.clock.run_for(6.0)
        self.bring_back()
        back = self.clock.now
        self.clock.run_for(15.0)
        self.assertEqual(VMS * WAITING, self.done)
        self.assertLessEqual(self.most_in_a_second(back), SHARE * WRITES)

    def test_while_it_is_away(self):
        self.start()
        self.clock.run_for(3.0)
        began = self.clock.now
        self.clock.run_for(3.0)
        self.assertLessEqual(self.most_in_a_second(began), SHARE * WRITES)

    def test_a_vm_with_little_to_do_is_soon_done(self):
        self.start(waiting=2)
        self.clock.run_for(6.0)
        self.bring_back()
        self.clock.run_for(1.1)
        self.assertEqual(VMS * 2, self.done)


class _CountedLog(memory_log.MemoryLog):
    """Notes when it was called."""

    def __init__(self, data, timers, called_at):
        super().__init__(data, timers)
        self._called_at = called_at

    def append(self, place, entries, on_done, on_error) -> None:
        """Note the time, and append."""
        self._called_at.append(self._timers.now())
        super().append(place, entries, on_done, on_error)
