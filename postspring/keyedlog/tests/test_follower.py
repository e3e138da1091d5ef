"""Tests of the follower of a partition, in virtual time."""

import unittest

from postspring import keyedlog
from postspring.testing.fleet import memory_log
from postspring.testing.virtual import clock as clock_module

PLACE = keyedlog.LogPlace(keyedlog.Subject.UPSTREAMS, 0)


class FollowerTest(unittest.TestCase):
    """The state of the partition, then records added, through outages."""

    def setUp(self):
        self.clock = clock_module.VirtualClock()
        process = clock_module.VirtualProcess("vm")
        timers = clock_module.VirtualTimers(self.clock, process)
        self.data = memory_log.LogData()
        self.log = memory_log.MemoryLog(self.data, timers)
        self.resets = []
        self.added = []
        self.outages = []
        self.follower = keyedlog.Follower(
            self.log,
            timers,
            PLACE,
            self.resets.append,
            self.added.extend,
            read_interval=lambda: 0.5,
            on_recovered=self.outages.append,
        )
        self.put("a", b"1")

    def put(self, key, value):
        """Append a record to the log."""
        self.data.append(PLACE, [keyedlog.LogEntry(key, value)])

    def test_existing_records_and_added_records(self):
        self.follower.start()
        self.clock.run_for(1)
        self.put("b", b"2")
        self.clock.run_for(1)
        self.assertEqual([[("a", b"1")]], self.resets)
        self.assertEqual([("b", b"2")], self.added)

    def test_records_added_in_an_outage_are_read_afterwards(self):
        self.follower.start()
        self.clock.run_for(1)
        self.log.faults.down = True
        self.clock.run_for(2)
        self.assertIsNotNone(self.follower.failing_since)
        self.assertGreater(self.follower.age, 1.5)
        self.put("b", b"2")
        self.log.faults.down = False
        self.clock.run_for(1)
        self.assertEqual([("b", b"2")], self.added)
        self.assertEqual(1, len(self.outages))

    def test_expired_records_cause_a_reset(self):
        self.follower.start()
        self.clock.run_for(1)
        self.log.faults.down = True
        self.clock.run_for(1)
        self.put("b", b"2")
        self.data.expire(PLACE)
        self.log.faults.down = False
        self.clock.run_for(2)
        self.assertEqual([("a", b"1"), ("b", b"2")], self.resets[-1])

    def test_the_view_has_the_newest_record_of_each_key(self):
        self.follower.start()
        self.put("a", b"2")
        self.put("b", b"3")
        self.put("b", b"")
        self.clock.run_for(2)
        self.assertEqual([("a", b"2")], self.follower.view.entries)

    def test_another_vms_view_serves_until_the_log_responds(self):
        entry = keyedlog.LogEntry("z", b"9")
        self.follower._request_view = lambda place, on_page: on_page(
            keyedlog.LogPage([entry], 0, 0)
        )
        self.log.faults.down = True
        self.follower.start()
        self.clock.run_for(1)
        self.assertEqual([[entry]], self.resets)
        self.log.faults.down = False
        self.clock.run_for(1)
        self.assertEqual([("a", b"1")], self.added)


class RaisingCallbackTest(unittest.TestCase):
    """A callback or a read raises an exception.

    Guards against a follower that is never called again after that, and
    against an odd record that hides those beside it.
    """

    def setUp(self):
        self.enterContext(self.assertLogs("postspring.keyedlog", "ERROR"))
        self.clock = clock_module.VirtualClock()
        process = clock_module.VirtualProcess("vm")
        timers = clock_module.VirtualTimers(self.clock, process)
        self.data = memory_log.LogData()
        self.log = memory_log.MemoryLog(self.data, timers)
        self.state = {}
        self.follower = keyedlog.Follower(
            self.log,
            timers,
            PLACE,
            self.reset,
            self.apply,
            read_interval=lambda: 0.5,
        )

    def reset(self, entries):
        """Replace the state."""
        applied = dict(self.state)
        self.state.clear()
        try:
            self.apply(entries)
        except ZeroDivisionError:
            self.state = applied
            raise

    def apply(self, entries):
        """Add to the state; an odd record raises an exception."""
        for key, value in entries:
            if value == b"odd":
                raise ZeroDivisionError(key)
            self.state[key] = value
            if not value:
                del self.state[key]

    def put(self, *pairs):
        """Append records to the log."""
        entries = [keyedlog.LogEntry(*pair) for pair in pairs]
        self.data.append(PLACE, entries)

    def test_odd_record_among_those_that_were_added(self):
        self.put(("a", b"1"), ("b", b"1"))
        self.follower.start()
        self.clock.run_for(1)
        self.put(("a", b"odd"), ("b", b"2"), ("c", b"3"), ("d", b"odd"))
        self.clock.run_for(1)
        self.assertEqual({"a": b"1", "b": b"2", "c": b"3"}, self.state)
        self.put(("a", b"4"), ("d", b"5"))
        self.clock.run_for(1)
        self.assertEqual((b"4", b"5"), (self.state["a"], self.state["d"]))

    def test_odd_record_in_the_first_read(self):
        self.put(("a", b"odd"), ("b", b"2"))
        self.follower.start()
        self.clock.run_for(1)
        self.assertEqual({"b": b"2"}, self.state)
        self.put(("c", b"3"))
        self.clock.run_for(1)
        self.assertEqual({"b": b"2", "c": b"3"}, self.state)

    def test_odd_record_after_others_have_expired(self):
        self.put(("a", b"1"), ("b", b"1"))
        self.follower.start()
        self.clock.run_for(1)
        self.log.faults.down = True
        self.clock.run_for(1)
        self.put(("a", b""), ("b", b"2"), ("c", b"odd"))
        self.data.expire(PLACE)
        self.log.faults.down = False
        self.clock.run_for(2)
        self.assertEqual({"b": b"2"}, self.state)

    def test_odd_record_is_passed_on_once(self):
        self.put(("a", b"1"))
        self.follower.start()
        self.clock.run_for(1)
        self.put(("b", b"odd"))
        self.clock.run_for(1)
        failures = self.follower.failures
        self.assertGreater(failures, 0)
        self.clock.run_for(20)
        self.assertEqual(failures, self.follower.failures)

    def test_read_that_can_not_be_sent(self):
        self.put(("a", b"1"))
        self.follower.start()
        self.clock.run_for(1)
        read = self.log.read
        self.log.read = None
        self.clock.run_for(5)
        self.assertIsNotNone(self.follower.failing_since)
        self.log.read = read
        self.put(("b", b"2"))
        self.clock.run_for(1)
        self.assertEqual({"a": b"1", "b": b"2"}, self.state)

    def test_recovery_and_request_for_a_view(self):
        def fail(*arguments):
            raise ZeroDivisionError

        self.follower._on_recovered = self.follower._request_view = fail
        self.put(("a", b"1"))
        self.log.faults.down = True
        self.follower.start()
        self.clock.run_for(1)
        self.log.faults.down = False
        self.clock.run_for(1)
        self.assertEqual({"a": b"1"}, self.state)


class AgeTest(unittest.TestCase):
    """The age counts from the time at which the view was complete.

    A follower that counted it from its own creation, or from the arrival of
    a late response, reported too low an age.  VMs with a configuration over
    3 s old then told callers that their host does not exist.
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
        """Append a record to the log."""
        self.data.append(PLACE, [keyedlog.LogEntry("a", value)])

    def test_the_age_is_infinite_until_the_log_responds(self):
        entry = keyedlog.LogEntry("z", b"9")
        self.follower._request_view = lambda place, on_page: on_page(
            keyedlog.LogPage([entry], 0, 0)
        )
        self.log.faults.down = True
        self.follower.start()
        self.clock.run_for(0.1)
        self.assertEqual([entry], self.added)
        self.assertGreater(self.follower.age, 1000)

    def test_a_late_response_makes_an_old_view(self):
        self.follower.start()
        self.clock.run_for(0.1)
        self.log.faults.latency = 1.0
        for _ in range(50):
            self.clock.run_for(0.1)
            self.put(b"x")
            before = len(self.added)
            self.clock.run_until(lambda: len(self.added) > before, 5)
            self.assertGreaterEqual(self.follower.age, 1.0)

    def test_reads_that_wait_keep_the_age_low(self):
        self.follower.start()
        self.clock.run_for(1)
        for step in range(100):
            self.clock.run_for(0.1)
            self.assertLess(self.follower.age, self.wait + 0.05)

    def test_a_record_does_not_raise_the_age(self):
        self.follower.start()
        self.clock.run_for(3.0)
        for _ in range(20):
            self.clock.run_for(1.3)
            self.put(b"x")
            for _ in range(10):
                self.clock.run_for(0.13)
                self.assertLess(self.follower.age, self.wait + 0.05)


class ConfirmedTest(FollowerTest):
    """The confirmed age counts from the start of a read, whatever its wait.

    Calls are admitted by it, and what admits them must not have been revoked
    long before.
    """

    def test_the_wait_of_a_read_does_not_count(self):
        self.follower._wait = lambda: 1.5
        self.follower.start()
        for _ in range(60):
            self.clock.run_for(0.1)
            read_age = self.clock.now - self.follower._sent_at
            self.assertGreaterEqual(
                self.follower.confirmed_age + 1e-9, min(read_age, 1.4)
            )

    def test_a_late_response_is_as_old_as_its_request(self):
        self.follower.start()
        self.clock.run_for(0.3)
        self.log.faults.latency = 1.0
        self.clock.run_for(0.6)
        self.assertGreater(self.follower.confirmed_age, 0.5)

    def test_another_vms_view_confirms_nothing(self):
        self.follower._request_view = lambda place, on_page: on_page(
            keyedlog.LogPage([keyedlog.LogEntry("z", b"9")], 1, 1)
        )
        self.log.faults.down = True
        self.follower.start()
        self.clock.run_for(0.5)
        self.assertGreater(self.follower.confirmed_age, 1000)

    def test_a_confirmation_to_another_vm_counts(self):
        self.follower.start()
        self.clock.run_for(0.1)
        self.log.faults.down = True
        self.clock.run_for(3.0)
        at = self.clock.now - 0.5
        self.follower.note_confirmed(1, at)
        self.assertAlmostEqual(0.5, self.follower.confirmed_age)

    def test_it_does_not_count_if_records_are_missing_here(self):
        self.follower.start()
        self.clock.run_for(0.1)
        self.log.faults.down = True
        self.clock.run_for(3.0)
        self.follower.note_confirmed(2, self.clock.now)
        self.assertGreater(self.follower.confirmed_age, 2.5)

    def test_it_does_not_count_without_an_end(self):
        self.follower.start()
        self.clock.run_for(0.1)
        self.log.faults.down = True
        self.clock.run_for(3.0)
        self.follower.note_confirmed(-1, self.clock.now)
        self.assertGreater(self.follower.confirmed_age, 2.5)
