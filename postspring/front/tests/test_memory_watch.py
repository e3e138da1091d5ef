"""What a VM logs before its memory is exhausted."""

import unittest

from postspring.front import memory_watch
from postspring import transport

LIMIT = 1000


class MemoryWatchTest(unittest.TestCase):
    """A watch whose process grows."""

    def setUp(self):
        self.peak = 0
        self.watch = memory_watch.MemoryWatch(
            transport.Timers(),
            LIMIT,
            {"callers": lambda: 7},
            lambda: self.peak,
        )

    def lines_at(self, peak):
        """Return the log records of a check at this peak."""
        self.peak = peak
        with self.assertLogs("postspring.front", "WARNING") as lines:
            self.watch.check()
        return lines.records

    # Guards against a process that exceeds its memory and is killed without
    # a line that tells what it held.
    def test_what_is_held_is_logged_before_the_limit(self):
        (line,) = self.lines_at(501)
        self.assertEqual((0.5, 7), (line.share, line.callers_bytes))

    # Guards against a line at each check.
    def test_each_share_is_logged_once(self):
        self.lines_at(501)
        with self.assertNoLogs("postspring.front"):
            self.watch.check()
        (line,) = self.lines_at(2000)
        self.assertEqual(0.9, line.share)
        with self.assertNoLogs("postspring.front"):
            self.watch.check()

    # Guards against an alarm where the platform states no limit.
    def test_no_limit(self):
        timers = transport.Timers()
        watch = memory_watch.MemoryWatch(timers, 0, {}, lambda: 1)
        watch.start()
        with self.assertNoLogs("postspring.front"):
            watch.check()

    def test_peak_of_this_process(self):
        self.assertGreater(memory_watch.peak_resident_bytes(), 1024 * 1024)
