"""Tests of the failure detector that combines all VMs' observations."""

import random
import unittest

from postspring import upstreams


class SuspicionBoardTest(unittest.TestCase):
    """Observations of broken calls and of responses are combined."""

    def setUp(self):
        self.detector = upstreams.FailureDetector()

    def add_gauge(self, now, broken_calls=1, age=0.0):
        """Add an observation that arrives at a given time."""
        self.detector.add(
            upstreams.UpstreamObservation("u", age, broken_calls), now
        )

    def test_one_broken_call_raises_no_suspicion(self):
        self.add_gauge(1.0)
        self.assertEqual({}, self.detector.suspects(1.0))

    def test_two_broken_calls_raise_one(self):
        self.add_gauge(1.0)
        self.add_gauge(1.2)
        self.assertEqual({"u": 1.2}, self.detector.suspects(1.2))

    def test_two_broken_calls_far_apart_do_not(self):
        self.add_gauge(1.0)
        self.add_gauge(1.8)
        self.assertEqual({}, self.detector.suspects(1.8))

    def test_a_later_response_clears_the_suspicion(self):
        self.add_gauge(1.0, broken_calls=3)
        self.add_gauge(1.3, broken_calls=0, age=0.1)
        self.assertEqual({}, self.detector.suspects(1.3))

    def test_an_earlier_response_does_not(self):
        self.add_gauge(1.0, broken_calls=3)
        self.add_gauge(1.3, broken_calls=0, age=0.5)
        self.assertEqual({"u": 1.0}, self.detector.suspects(1.3))

    def test_broken_calls_before_a_response_do_not_count(self):
        self.add_gauge(1.0, broken_calls=0)
        self.add_gauge(1.1, broken_calls=3, age=0.2)
        self.assertEqual({}, self.detector.suspects(1.1))

    def test_old_observations_are_discarded(self):
        self.add_gauge(1.0, broken_calls=3)
        self.assertEqual({}, self.detector.suspects(3.1))
        self.assertEqual({}, self.detector._record_by_upstream)


class SuspensionTest(unittest.TestCase):
    """A VM sends no new work to an upstream that broke calls."""

    def setUp(self):
        self.upstream = upstreams.UpstreamLoad(concurrency=6)

    def test_a_broken_call_suspends_a_silent_upstream(self):
        self.upstream.note_broken_call(sent_at=1.0, now=1.01)
        self.assertFalse(self.upstream.accepts(1.9))
        self.assertTrue(self.upstream.accepts(3.1))

    def test_it_does_not_suspend_one_that_answered_meanwhile(self):
        self.upstream.note_answer(1.005)
        self.upstream.note_broken_call(sent_at=1.0, now=1.01)
        self.assertTrue(self.upstream.accepts(1.02))

    def test_a_suspected_upstream_is_avoided_for_a_while(self):
        self.upstream.suspect(broken_at=1.0)
        self.assertFalse(self.upstream.accepts(1.9))
        self.assertTrue(self.upstream.accepts(3.0))

    def test_a_later_response_to_this_vm_overrides_the_suspicion(self):
        self.upstream.note_answer(1.2)
        self.upstream.suspect(broken_at=1.0)
        self.assertTrue(self.upstream.accepts(1.2))

    def test_a_repeated_report_does_not_extend_the_suspension(self):
        self.upstream.suspect(broken_at=1.0)
        until = self.upstream.suspected_until
        self.upstream.suspect(broken_at=1.0)
        self.assertEqual(until, self.upstream.suspected_until)


class CrashModelTest(unittest.TestCase):
    """Model of 195 VMs and 31 engines, four of which have crashed.

    The VMs together send 250 turns a second, 1.3 each, and prefer engines with
    few calls in flight: a crashed one has none.  Each VM reports five times a
    second, at a phase of its own, and gets the suspected engines in response.
    """

    VMS, ENGINES, CRASHED = 195, 31, 4
    TURNS_PER_SECOND = 250
    REPORT_SECONDS = 0.2
    SECONDS = 4.0

    def lost_turns(self, seed, exchanges_reports):
        """Return how many turns are lost at crashed engines."""
        rng = random.Random(seed)
        detector = upstreams.FailureDetector()
        loads_by_vm = [
            [
                upstreams.UpstreamLoad(concurrency=6)
                for _ in range(self.ENGINES)
            ]
            for _ in range(self.VMS)
        ]
        next_report_at = [
            rng.random() * self.REPORT_SECONDS for _ in loads_by_vm
        ]
        lost = 0
        for step in range(int(self.SECONDS * self.TURNS_PER_SECOND)):
            now = 100.0 + step / self.TURNS_PER_SECOND
            vm = rng.randrange(self.VMS)
            engines = [
                engine
                for engine in range(self.ENGINES)
                if loads_by_vm[vm][engine].accepts(now)
            ]
            engine = min(rng.sample(engines, 3))
            if engine < self.CRASHED:
                lost += 1
                loads_by_vm[vm][engine].note_broken_call(now, now)
            else:
                loads_by_vm[vm][engine].note_answer(now)
            if exchanges_reports:
                self._report(detector, loads_by_vm, next_report_at, now)
        return lost

    def _report(self, detector, loads_by_vm, next_report_at, now):
        for vm, upstream_loads in enumerate(loads_by_vm):
            if now < next_report_at[vm]:
                continue
            next_report_at[vm] = now + self.REPORT_SECONDS
            for engine, load in enumerate(upstream_loads):
                if load.unreported_broken_calls:
                    age = now - load.broken_at
                    observation = (
                        str(engine),
                        age,
                        load.unreported_broken_calls,
                    )
                    detector.add(
                        upstreams.UpstreamObservation(*observation), now
                    )
                    load.unreported_broken_calls = 0
            suspects = detector.suspects(now)
            for engine, load in enumerate(upstream_loads):
                if str(engine) in suspects:
                    load.suspect(suspects[str(engine)])

    def test_reports_cut_the_lost_turns_to_less_than_a_third(self):
        without = [self.lost_turns(seed, False) for seed in range(3)]
        reported = [self.lost_turns(seed, True) for seed in range(3)]
        self.assertGreater(
            min(without), 3 * max(reported), (without, reported)
        )
