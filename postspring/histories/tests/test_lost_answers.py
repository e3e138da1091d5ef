"""Some answers of the log are lost while it answers other calls.

These tests guard against turns that are recorded only after up to 1.2 s by a
log that leaves four in ten appends without an answer. A partition whose last
call had failed sent the next one only once, although the log answered other
calls; and the time of calls without an answer counted as the usual time of
appends, so that one was resent later and later.
"""

from postspring import histories
from postspring.histories.tests import test_journal

# Callers accept a pause of this many seconds.
PAUSE_SECONDS = 0.4


class LostAnswersTest(test_journal.JournalCase):
    """Some answers are lost while the log answers other calls."""

    def test_a_failed_partition_is_retried_as_often_as_others(self):
        """One lost answer after a failure used to cost 1.2 s."""
        faults = self.one.log.faults
        faults.gives_up_after = 1.2
        place = histories.partitions.place_of_program("p")
        faults.down_places.add(place)
        self.one.open("a", timeout=0.3)
        faults.down_places.clear()
        self.one.open("z", program="q")
        faults.lose_answers = 1
        started_at = self.clock.now
        self.assertIs(test_journal.OPEN, self.one.open("b"))
        self.assertLess(self.clock.now - started_at, 0.7)

    def test_the_usual_time_is_that_of_the_answered_call(self):
        faults = self.one.log.faults
        for number in range(6):
            faults.lose_answers = 2
            self.one.complete(f"a{number}")
            self.clock.run_for(0.1)
        faults.lose_answers = 1
        started_at = self.clock.now
        self.one.complete("b")
        self.assertLess(self.clock.now - started_at, PAUSE_SECONDS)
