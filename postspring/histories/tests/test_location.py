"""A completed turn of another program whose location is not recorded.

These tests guard against 404 after a complete answer (shown by
front/tests/test_unrecorded_locations.py). A VM stopped holding a turn when its
record was in its program's partition, though its location was not recorded
yet; and a VM that had read the record held no replica, but answered that it
did. A caller that continued the turn under another program then found it
nowhere.
"""

from postspring import histories
from postspring.histories import partitions
from postspring.histories.tests import test_journal

TURN = histories.TurnRef("q", "a")


def completed():
    """Return the record of the completed turn."""
    claim = histories.Claim("one", 10, 25)
    return histories.CompletedTurn("q", "a", claim, None, 4, b"<a>", b">")


class UnrecordedLocationTest(test_journal.JournalCase):
    """The program's partition takes appends, the location's does not."""

    def setUp(self):
        super().setUp()
        place = partitions.place_of_location("a")
        self.throttled = self.one.log.faults.busy_places
        self.throttled.add(place)
        ticket = histories.Ticket("q", "a", 10, 25, histories.Origin.LOG)
        self.one.journal.complete_turn(
            ticket, None, 4, b"<a>", b">", "", lambda storage: None
        )
        self.clock.run_for(1.0)

    def test_its_author_holds_it_until_its_location_is_recorded(self):
        self.assertTrue(self.one.journal.is_logged(TURN))
        self.assertIsNone(self.two.chain("a", program="p"))
        self.assertEqual(TURN, self.one.journal.resolve_ref("p", "a"))
        self.assertEqual(1, self.one.journal.held)
        self.throttled.clear()
        self.clock.run_for(2.0)
        self.assertEqual(0, self.one.journal.held)
        self.assertEqual(b"<a>>", self.two.chain("a", program="p"))

    def test_a_vm_that_has_read_the_record_holds_a_replica(self):
        """The author is killed before it has recorded the location."""
        self.two.chain("a", program="q")
        self.two.journal.store_replica(histories.encode_record(completed()))
        self.assertEqual(TURN, self.two.journal.resolve_ref("p", "a"))
        self.clock.run_for(10.0)
        three = self.vm("three")
        self.assertEqual(b"<a>>", three.chain("a", program="p"))

    def test_such_a_replica_costs_one_append(self):
        """Its record is in the log: only the location is missing."""
        self.two.chain("a", program="q")
        self.two.journal.store_replica(histories.encode_record(completed()))
        self.clock.run_for(10.0)
        self.assertEqual(1, self.two.log.calls.count("append"))
        self.assertEqual(0, self.two.journal.held)

    def test_a_replica_that_is_recorded_is_not_held(self):
        self.throttled.clear()
        self.clock.run_for(2.0)
        self.two.chain("a", program="p")
        self.two.journal.store_replica(histories.encode_record(completed()))
        self.assertEqual(0, self.two.journal.held)
