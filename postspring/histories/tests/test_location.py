"""A whole turn of another program whose place is not in the log yet.

Found by reading.  A VM stopped holding a turn when its record stood among its
program's, though where it stands was not recorded yet; a VM that had read the
record kept no copy, and answered all the same that it did.  Whoever continued
the turn under another program then found it nowhere: 404 after a whole answer
(front/tests/test_places.py shows it).
"""

from postspring import histories
from postspring.histories import partitions
from postspring.histories.tests import test_journal

TURN = histories.TurnRef("q", "a")


def whole():
    """Return a whole turn as it is kept and recorded."""
    claim = histories.Claim("one", 10, 25)
    return histories.WholeTurn("q", "a", claim, None, 4, b"<a>", b">")


class UnrecordedPlaceTest(test_journal.JournalCase):
    """The program's partition takes appends, that of the place does not."""

    def setUp(self):
        super().setUp()
        place = partitions.place_of_location("a")
        self.refused = self.one.log.faults.busy_places
        self.refused.add(place)
        ticket = histories.Ticket("q", "a", 10, 25, histories.Origin.LOG)
        self.one.journal.complete_turn(
            ticket, None, 4, b"<a>", b">", "", lambda how: None
        )
        self.clock.run_for(1.0)

    def test_its_author_holds_it_until_its_place_is_recorded(self):
        self.assertTrue(self.one.journal.is_logged(TURN))
        self.assertIsNone(self.two.chain("a", program="p"))
        self.assertEqual(TURN, self.one.journal.ref_of("p", "a"))
        self.assertEqual(1, self.one.journal.held)
        self.refused.clear()
        self.clock.run_for(2.0)
        self.assertEqual(0, self.one.journal.held)
        self.assertEqual(b"<a>>", self.two.chain("a", program="p"))

    def test_a_vm_that_has_read_the_record_keeps_a_copy_all_the_same(self):
        """The author is killed before it has recorded the place."""
        self.two.chain("a", program="q")
        self.two.journal.keep_copy(histories.encode_record(whole()))
        self.assertEqual(TURN, self.two.journal.ref_of("p", "a"))
        self.clock.run_for(10.0)
        three = self.vm("three")
        self.assertEqual(b"<a>>", three.chain("a", program="p"))

    def test_such_a_copy_costs_one_append(self):
        """Its record stands in the log: only the place is missing."""
        self.two.chain("a", program="q")
        self.two.journal.keep_copy(histories.encode_record(whole()))
        self.clock.run_for(10.0)
        self.assertEqual(1, self.two.log.calls.count("append"))
        self.assertEqual(0, self.two.journal.held)

    def test_a_copy_that_is_recorded_is_not_kept(self):
        self.refused.clear()
        self.clock.run_for(2.0)
        self.two.chain("a", program="p")
        self.two.journal.keep_copy(histories.encode_record(whole()))
        self.assertEqual(0, self.two.journal.held)
