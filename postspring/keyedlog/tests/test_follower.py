"""Following a partition, in virtual time."""

import unittest

from postspring import keyedlog
from postspring.testing.fleet import memory_log
from postspring.testing.virtual import clock as clock_module

PLACE = keyedlog.LogPlace(keyedlog.Subject.UPSTREAMS, 0)


class FollowerTest(unittest.TestCase):
    """All there is, then what is added, through outages."""

    def setUp(self):
        self.clock = clock_module.VirtualClock()
        process = clock_module.VirtualProcess("vm")
        timers = clock_module.VirtualTimers(self.clock, process)
        self.data = memory_log.LogData()
        self.log = memory_log.MemoryLog(self.data, timers)
        self.resets = []
        self.added = []
        self.regained = []
        self.follower = keyedlog.Follower(
            self.log,
            timers,
            PLACE,
            self.resets.append,
            self.added.extend,
            pace=0.5,
            on_regained=self.regained.append,
        )
        self.put("a", b"1")

    def put(self, key, value):
        """Add a record."""
        self.data.append(PLACE, [keyedlog.LogEntry(key, value)])

    def test_what_is_there_and_what_is_added(self):
        self.follower.start()
        self.clock.run_for(1)
        self.put("b", b"2")
        self.clock.run_for(1)
        self.assertEqual([[("a", b"1")]], self.resets)
        self.assertEqual([("b", b"2")], self.added)

    def test_an_outage_is_noticed_and_made_up_for(self):
        self.follower.start()
        self.clock.run_for(1)
        self.log.faults.down = True
        self.clock.run_for(2)
        self.assertIsNotNone(self.follower.lost_since)
        self.assertGreater(self.follower.age, 1.5)
        self.put("b", b"2")
        self.log.faults.down = False
        self.clock.run_for(1)
        self.assertEqual([("b", b"2")], self.added)
        self.assertEqual(1, len(self.regained))

    def test_expired_history(self):
        self.follower.start()
        self.clock.run_for(1)
        self.log.faults.down = True
        self.clock.run_for(1)
        self.put("b", b"2")
        self.data.expire(PLACE)
        self.log.faults.down = False
        self.clock.run_for(2)
        self.assertEqual([("a", b"1"), ("b", b"2")], self.resets[-1])

    def test_the_view_is_the_newest_of_each_key(self):
        self.follower.start()
        self.put("a", b"2")
        self.put("b", b"3")
        self.put("b", b"")
        self.clock.run_for(2)
        self.assertEqual([("a", b"2")], self.follower.view.entries)

    def test_a_view_of_another_vm_until_the_log_answers(self):
        entry = keyedlog.LogEntry("z", b"9")
        self.follower._ask_others = lambda place, on_page: on_page(
            keyedlog.LogPage([entry], 0, 0)
        )
        self.log.faults.down = True
        self.follower.start()
        self.clock.run_for(1)
        self.assertEqual([[entry]], self.resets)
        self.log.faults.down = False
        self.clock.run_for(1)
        self.assertEqual([("a", b"1")], self.added)
