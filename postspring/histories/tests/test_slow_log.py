"""A log that syncs to a disk: each answer takes its time, none is lost.

By reading and measured on loopback: with appends of 0.15 to 0.3 s all of 120
turns ended by copies of other VMs, and each append was made twice.  A turn
that stands nowhere but in VMs' memories is lost if all lose power; with such
a store that was every turn of the last moments, and afterwards it reaches no
upstream.
"""

from postspring import histories
from postspring.histories.tests import test_journal

SLOW_SECONDS = 0.25
# Callers accept a pause of this many seconds between events.
PAUSE_SECONDS = 0.4
# Callers leave a stream from which nothing has come for this many seconds.
SILENCE_SECONDS = 2.0


class Holders(histories.ReplicaHolders):
    """Other VMs, which keep what they are given at once."""

    def __init__(self):
        self.kept = 0

    def keep(self, record, on_done, is_log_away=False):
        """Count it."""
        self.kept += 1
        on_done(2)


class SlowLogCase(test_journal.JournalCase):
    """One VM whose log takes a quarter of a second for an answer."""

    def setUp(self):
        super().setUp()
        self.holders = Holders()
        self.journal = self.one.journal
        self.journal.replica_holders = self.holders
        self.faults = self.one.log.faults
        self.faults.latency = SLOW_SECONDS

    def take_down(self):
        """Let calls fail, without delay."""
        self.faults.down = True
        self.faults.latency = 0.004

    def complete(self, turn="a"):
        """Complete a turn; return how it is kept, and after how long."""
        began = self.clock.now
        how = self.one.complete(turn)
        return how, self.clock.now - began


class SlowLogTest(SlowLogCase):
    """Where a turn stands when its caller has it whole."""

    def test_a_turn_waits_for_a_slow_log(self):
        how, seconds = self.complete()
        self.assertEqual("logged", how)
        self.assertLess(seconds, PAUSE_SECONDS)
        self.assertEqual(0, self.holders.kept)

    def test_a_turn_waits_for_one_that_is_slower_than_a_pause(self):
        self.faults.latency = 0.8
        how, seconds = self.complete()
        self.assertEqual("logged", how)
        self.assertLess(seconds, SILENCE_SECONDS)

    def test_not_for_one_that_fails(self):
        self.take_down()
        how, seconds = self.complete()
        self.assertEqual("held", how)
        self.assertLess(seconds, 0.15)

    def test_not_for_one_that_is_known_to_fail(self):
        self.take_down()
        self.complete("a")
        self.clock.run_for(1.0)
        how, seconds = self.complete("b")
        self.assertEqual("held", how)
        self.assertLess(seconds, 0.02)

    def test_a_silent_one_is_waited_for_while_the_caller_stays(self):
        """The end is no event: an accepted pause is not its bound."""
        self.faults.silent = True
        how, seconds = self.complete()
        self.assertEqual("held", how)
        self.assertLess(seconds, SILENCE_SECONDS)


class DeadlineTest(SlowLogCase):
    """The caller's deadline comes while the log is waited for.

    By reading: since a slow log is waited for, a turn that others had kept
    for long was told as kept nowhere, and its whole answer was broken off.
    """

    def complete_by(self, seconds):
        """Complete a turn in so many seconds; return how it is kept."""
        ticket = histories.Ticket("p", "a", 10, 25, histories.Origin.LOG)
        heard = []
        self.journal.complete_turn(
            ticket, None, 4, b"<a", b">", "e", heard.append, seconds
        )
        self.clock.run_for(seconds + 0.1)
        return heard

    def test_what_others_keep_is_held(self):
        self.faults.latency = 1.0
        self.assertEqual(["held"], self.complete_by(0.6))

    def test_what_nobody_keeps_is_not(self):
        self.faults.latency = 1.0
        self.journal.replica_holders = histories.NoReplicaHolders()
        self.assertEqual(["nowhere"], self.complete_by(0.6))


class LoadTest(SlowLogCase):
    """What a slow log is asked to do."""

    def appends(self, turns):
        """Return the calls that some turns make."""
        before = len(self.one.log.calls)
        for number in range(turns):
            self.complete(f"t{before}-{number}")
            self.clock.run_for(1.0)
        return len(self.one.log.calls) - before

    def test_what_is_on_its_way_is_not_sent_again(self):
        # How slow it is has to be seen, and what was sent twice to be read.
        self.appends(2)
        # A turn has a record and a place.
        self.assertEqual(20, self.appends(10))

    def test_it_is_not_away_while_it_takes_what_it_always_takes(self):
        self.faults.latency = 0.5
        self.appends(5)
        state = self.one.open("u", program="p", ceiling=900, budget=1000)
        self.assertIs(test_journal.OPEN, state)
        self.one.journal.end_turn(self.one.tickets["u"], 10)
        self.clock.run_for(0.45)
        place = histories.partitions.place_of_program("p")
        self.assertFalse(self.one.journal._partitions.is_unresponsive(place))
        self.faults.silent = True
        self.one.journal.end_turn(self.one.tickets["u"], 20)
        self.clock.run_for(2.0)
        self.assertTrue(self.one.journal._partitions.is_unresponsive(place))

    def test_a_lost_answer_is_made_up_for_soon_when_it_is_fast_again(self):
        self.appends(2)
        self.faults.latency = 0.004
        self.appends(10)
        self.faults.lose_answers = 1
        how, seconds = self.complete("z")
        self.assertEqual("logged", how)
        self.assertLess(seconds, 0.2)
