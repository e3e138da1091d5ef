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
            pace=lambda: 0.5,
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


class AgeTest(unittest.TestCase):
    """As of when all that the log acknowledged is known.

    Seen: callers of VMs with a configuration over 3 s old were told that
    their host does not exist.  A follower took the time at which it was
    made, and the arrival of an answer however late, for the time as of
    which it knew the log; the tests below failed on that.
    """

    wait = 1.4

    def setUp(self):
        self.clock = clock_module.VirtualClock()
        process = clock_module.VirtualProcess("vm")
        timers = clock_module.VirtualTimers(self.clock, process)
        self.data = memory_log.LogData()
        self.log = memory_log.MemoryLog(self.data, timers)
        self.added = []
        self.follower = keyedlog.Follower(
            self.log,
            timers,
            PLACE,
            self.added.extend,
            self.added.extend,
            wait=lambda: self.wait,
        )

    def put(self, value):
        """Add a record."""
        self.data.append(PLACE, [keyedlog.LogEntry("a", value)])

    def test_a_log_that_never_answered_is_not_known(self):
        entry = keyedlog.LogEntry("z", b"9")
        self.follower._ask_others = lambda place, on_page: on_page(
            keyedlog.LogPage([entry], 0, 0)
        )
        self.log.faults.down = True
        self.follower.start()
        self.clock.run_for(0.1)
        self.assertEqual([entry], self.added)
        self.assertGreater(self.follower.age, 1000)

    def test_an_answer_that_comes_late_is_old(self):
        self.follower.start()
        self.clock.run_for(0.1)
        self.log.faults.latency = 1.0
        for _ in range(50):
            self.clock.run_for(0.1)
            self.put(b"x")
            known = len(self.added)
            self.clock.run_until(lambda: len(self.added) > known, 5)
            self.assertGreaterEqual(self.follower.age, 1.0)

    def test_while_the_log_is_calm_it_is_known_by_the_wait(self):
        self.follower.start()
        self.clock.run_for(1)
        for step in range(100):
            self.clock.run_for(0.1)
            self.assertLess(self.follower.age, self.wait + 0.05)

    def test_a_record_makes_the_view_no_older(self):
        self.follower.start()
        self.clock.run_for(3.0)
        for _ in range(20):
            self.clock.run_for(1.3)
            self.put(b"x")
            for _ in range(10):
                self.clock.run_for(0.13)
                self.assertLess(self.follower.age, self.wait + 0.05)


class ConfirmedTest(FollowerTest):
    """As of when the log is certain to hold no more than what is known.

    What may run by that may never have been taken away long ago, so only
    the start of a call counts, whatever it waited for.
    """

    def test_a_read_counts_from_its_start(self):
        self.follower._wait = lambda: 1.5
        self.follower.start()
        for _ in range(60):
            self.clock.run_for(0.1)
            least = self.clock.now - self.follower._sent_at
            self.assertGreaterEqual(
                self.follower.confirmed_age + 1e-9, min(least, 1.4)
            )

    def test_an_answer_that_comes_late_is_as_old_as_its_question(self):
        self.follower.start()
        self.clock.run_for(0.3)
        self.log.faults.latency = 1.0
        self.clock.run_for(0.6)
        self.assertGreater(self.follower.confirmed_age, 0.5)

    def test_another_vms_view_confirms_nothing(self):
        self.follower._ask_others = lambda place, on_page: on_page(
            keyedlog.LogPage([keyedlog.LogEntry("z", b"9")], 1, 1)
        )
        self.log.faults.down = True
        self.follower.start()
        self.clock.run_for(0.5)
        self.assertGreater(self.follower.confirmed_age, 1000)

    def test_what_the_log_confirmed_to_another_vm(self):
        self.follower.start()
        self.clock.run_for(0.1)
        self.log.faults.down = True
        self.clock.run_for(3.0)
        at = self.clock.now - 0.5
        self.follower.note_confirmed(1, at)
        self.assertAlmostEqual(0.5, self.follower.confirmed_age)

    def test_not_if_that_one_knows_of_more(self):
        self.follower.start()
        self.clock.run_for(0.1)
        self.log.faults.down = True
        self.clock.run_for(3.0)
        self.follower.note_confirmed(2, self.clock.now)
        self.assertGreater(self.follower.confirmed_age, 2.5)

    def test_nor_if_nothing_was_confirmed_to_it(self):
        self.follower.start()
        self.clock.run_for(0.1)
        self.log.faults.down = True
        self.clock.run_for(3.0)
        self.follower.note_confirmed(-1, self.clock.now)
        self.assertGreater(self.follower.confirmed_age, 2.5)
