"""Dead upstreams, by what all VMs together saw of them."""

import random
import unittest

from postspring import upstreams


class SuspicionBoardTest(unittest.TestCase):
    """Sightings are added up."""

    def setUp(self):
        self.board = upstreams.SuspicionBoard()

    def take(self, at, breaks=1, age=0.0):
        """Take a sighting at a moment."""
        self.board.take(upstreams.Sighting("u", age, breaks), at)

    def test_one_broken_call_is_no_crash(self):
        self.take(1.0)
        self.assertEqual({}, self.board.suspects(1.0))

    def test_two_are(self):
        self.take(1.0)
        self.take(1.2)
        self.assertEqual({"u": 1.2}, self.board.suspects(1.2))

    def test_two_far_apart_are_not(self):
        self.take(1.0)
        self.take(1.8)
        self.assertEqual({}, self.board.suspects(1.8))

    def test_whoever_heard_from_it_later_clears_it(self):
        self.take(1.0, breaks=3)
        self.take(1.3, breaks=0, age=0.1)
        self.assertEqual({}, self.board.suspects(1.3))

    def test_an_older_answer_does_not(self):
        self.take(1.0, breaks=3)
        self.take(1.3, breaks=0, age=0.5)
        self.assertEqual({"u": 1.0}, self.board.suspects(1.3))

    def test_breaks_before_an_answer_say_nothing(self):
        self.take(1.0, breaks=0)
        self.take(1.1, breaks=3, age=0.2)
        self.assertEqual({}, self.board.suspects(1.1))

    def test_it_is_forgotten(self):
        self.take(1.0, breaks=3)
        self.assertEqual({}, self.board.suspects(3.1))
        self.assertEqual({}, self.board._record_by_upstream)


class HeedTest(unittest.TestCase):
    """What a VM makes of it."""

    def setUp(self):
        self.upstream = upstreams.UpstreamLoad(concurrency=6)

    def test_a_break_leaves_a_silent_upstream_alone(self):
        self.upstream.note_break(sent_at=1.0, now=1.01)
        self.assertFalse(self.upstream.accepts(1.9))
        self.assertTrue(self.upstream.accepts(3.1))

    def test_not_one_that_answers_others(self):
        self.upstream.note_answer(1.005)
        self.upstream.note_break(sent_at=1.0, now=1.01)
        self.assertTrue(self.upstream.accepts(1.02))

    def test_a_suspected_one_is_left_alone_and_tried_again(self):
        self.upstream.suspect(broken_at=1.0)
        self.assertFalse(self.upstream.accepts(1.9))
        self.assertTrue(self.upstream.accepts(3.0))

    def test_what_this_vm_heard_later_counts_more(self):
        self.upstream.note_answer(1.2)
        self.upstream.suspect(broken_at=1.0)
        self.assertTrue(self.upstream.accepts(1.2))

    def test_told_again_it_is_not_left_alone_for_longer(self):
        self.upstream.suspect(broken_at=1.0)
        until = self.upstream.suspected_until
        self.upstream.suspect(broken_at=1.0)
        self.assertEqual(until, self.upstream.suspected_until)


class CrashModelTest(unittest.TestCase):
    """The load that it answers: 195 VMs, and four of 31 engines crash.

    Each VM sends 1.3 turns a second, and prefers engines with few calls in
    flight: a dead one has none.  Reports come five times a second, each VM
    at another moment; what is suspected is told with the next answer.
    """

    VMS, ENGINES, DEAD = 195, 31, 4
    TURNS_PER_SECOND = 250
    REPORT_SECONDS = 0.2
    SECONDS = 4.0

    def lost_turns(self, seed, is_told):
        """Return how many turns are lost at dead engines."""
        draw = random.Random(seed)
        board = upstreams.SuspicionBoard()
        loads = [
            [
                upstreams.UpstreamLoad(concurrency=6)
                for _ in range(self.ENGINES)
            ]
            for _ in range(self.VMS)
        ]
        phase = [draw.random() * self.REPORT_SECONDS for _ in loads]
        lost = 0
        for step in range(int(self.SECONDS * self.TURNS_PER_SECOND)):
            now = 100.0 + step / self.TURNS_PER_SECOND
            vm = draw.randrange(self.VMS)
            engines = [
                engine
                for engine in range(self.ENGINES)
                if loads[vm][engine].accepts(now)
            ]
            engine = min(draw.sample(engines, 3))
            if engine < self.DEAD:
                lost += 1
                loads[vm][engine].note_break(now, now)
            else:
                loads[vm][engine].note_answer(now)
            if is_told:
                self._report(board, loads, phase, now)
        return lost

    def _report(self, board, loads, phase, now):
        for vm, upstream_loads in enumerate(loads):
            if now < phase[vm]:
                continue
            phase[vm] = now + self.REPORT_SECONDS
            for engine, load in enumerate(upstream_loads):
                if load.untold_breaks:
                    age = now - load.broken_at
                    sighting = (str(engine), age, load.untold_breaks)
                    board.take(upstreams.Sighting(*sighting), now)
                    load.untold_breaks = 0
            suspects = board.suspects(now)
            for engine, load in enumerate(upstream_loads):
                if str(engine) in suspects:
                    load.suspect(suspects[str(engine)])

    def test_few_turns_are_lost_where_each_vm_lost_its_own(self):
        alone = [self.lost_turns(seed, False) for seed in range(3)]
        told = [self.lost_turns(seed, True) for seed in range(3)]
        self.assertGreater(min(alone), 3 * max(told), (alone, told))
