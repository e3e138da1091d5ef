"""A log that syncs to a disk: every answer is slow, none is lost.

These tests guard against turns that only VMs hold although the log works: with
appends of 0.15 to 0.3 s, all of 120 turns (on loopback) ended by replicas at
other VMs, and each append was made twice. When all VMs lose power, turns that
no log has are lost, and with such a store those were all turns of the last
moments.
"""

from postspring import histories
from postspring.histories.tests import test_journal

SLOW_SECONDS = 0.25
# Callers accept a pause of this many seconds between events.
PAUSE_SECONDS = 0.4
# Callers leave a stream that is silent for this many seconds.
MAX_SILENCE_SECONDS = 2.0


class Holders(histories.ReplicaHolders):
    """Other VMs, which hold every replica at once."""

    def __init__(self):
        self.replica_count = 0

    def replicate(self, record, on_done, is_log_unavailable=False):
        """Count the replica."""
        self.replica_count += 1
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
        """Let calls fail without delay."""
        self.faults.down = True
        self.faults.latency = 0.004

    def complete(self, turn="a"):
        """Complete a turn; return where it is stored, and after how long."""
        started_at = self.clock.now
        storage = self.one.complete(turn)
        return storage, self.clock.now - started_at


class SlowLogTest(SlowLogCase):
    """Where a turn is stored when its caller has the complete answer."""

    def test_a_turn_waits_for_a_slow_log(self):
        storage, seconds = self.complete()
        self.assertEqual("logged", storage)
        self.assertLess(seconds, PAUSE_SECONDS)
        self.assertEqual(0, self.holders.replica_count)

    def test_a_turn_waits_for_a_log_slower_than_a_pause(self):
        self.faults.latency = 0.8
        storage, seconds = self.complete()
        self.assertEqual("logged", storage)
        self.assertLess(seconds, MAX_SILENCE_SECONDS)

    def test_a_turn_does_not_wait_for_a_failing_log(self):
        self.take_down()
        storage, seconds = self.complete()
        self.assertEqual("held", storage)
        self.assertLess(seconds, 0.15)

    def test_a_turn_does_not_wait_for_an_unavailable_log(self):
        self.take_down()
        self.complete("a")
        self.clock.run_for(1.0)
        storage, seconds = self.complete("b")
        self.assertEqual("held", storage)
        self.assertLess(seconds, 0.02)

    def test_a_turn_waits_for_a_silent_log_while_the_caller_stays(self):
        """The end of an answer is no event: the pause limit doesn't apply."""
        self.faults.silent = True
        storage, seconds = self.complete()
        self.assertEqual("held", storage)
        self.assertLess(seconds, MAX_SILENCE_SECONDS)


class CallerDeadlineTest(SlowLogCase):
    """The caller's deadline comes while a turn waits for the log.

    These tests guard against a turn that other VMs have held for long, but
    that is reported as stored nowhere, so that its complete answer is cut off.
    """

    def complete_by(self, seconds):
        """Complete a turn with a deadline; return where it is stored."""
        ticket = histories.Ticket("p", "a", 10, 25, histories.Origin.LOG)
        results = []
        self.journal.complete_turn(
            ticket, None, 4, b"<a", b">", "e", results.append, seconds
        )
        self.clock.run_for(seconds + 0.1)
        return results

    def test_a_replicated_turn_is_held(self):
        self.faults.latency = 1.0
        self.assertEqual(["held"], self.complete_by(0.6))

    def test_a_turn_without_replicas_is_not_held(self):
        self.faults.latency = 1.0
        self.journal.replica_holders = histories.NoReplicaHolders()
        self.assertEqual(["nowhere"], self.complete_by(0.6))


class LoadTest(SlowLogCase):
    """The number of calls to a slow log."""

    def appends(self, turns):
        """Return the number of calls that some turns make."""
        before = len(self.one.log.calls)
        for number in range(turns):
            self.complete(f"t{before}-{number}")
            self.clock.run_for(1.0)
        return len(self.one.log.calls) - before

    def test_an_append_in_flight_is_not_sent_again(self):
        # The first turns measure how slow the log is, and the VM reads their
        # duplicates.
        self.appends(2)
        # Each turn has a record and a location.
        self.assertEqual(20, self.appends(10))

    def test_it_is_responsive_while_appends_take_their_usual_time(self):
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

    def test_a_lost_answer_is_soon_resent_when_the_log_is_fast_again(self):
        self.appends(2)
        self.faults.latency = 0.004
        self.appends(10)
        self.faults.lose_answers = 1
        storage, seconds = self.complete("z")
        self.assertEqual("logged", storage)
        self.assertLess(seconds, 0.2)
