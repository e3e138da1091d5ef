"""A turn that is reported as logged can be continued by the log alone.

These tests guard against turns that are refused as incomplete for good after
all VMs lost power, although the turn that they continue had ended as
``logged``: its parent had ended as ``held`` at another VM and was never
recorded, since a record counted whatever preceded it.
"""

from postspring import histories
from postspring.histories.tests import test_journal


class Holders(histories.ReplicaHolders):
    """Other VMs: one holds every replica, one can record turns."""

    def __init__(self, journal):
        self.journal = journal
        self.can_record = True
        self.batch_sizes = []

    def replicate(self, record, on_done, is_log_unavailable=False):
        """Report two replicas."""
        on_done(2)

    def record(self, turns, timeout, on_done):
        """Have the journal record the turns, if it can."""
        self.batch_sizes.append(len(turns))
        if self.can_record:
            self.journal.record_for_peer(turns, lambda: on_done(True))
        else:
            on_done(False)


def replica_of(turn, parent=None):
    """Return the record of a turn that ended at another VM."""
    claim = histories.Claim("other", 10, 1000)
    ref = parent and histories.TurnRef("p", parent)
    data = b"<" + turn.encode()
    return histories.CompletedTurn("p", turn, claim, ref, 4, data, b">")


class UnrecordedAncestorsTest(test_journal.JournalCase):
    """A turn continues one that VMs hold and the log lacks."""

    def setUp(self):
        super().setUp()
        self.hold_replica("a")
        self.hold_replica("b", "a")

    def hold_replica(self, turn, parent=None):
        """Have the first VM hold a replica."""
        data = histories.encode_record(replica_of(turn, parent))
        self.one.journal.store_replica(data)

    def test_the_chain_is_recorded_when_the_turn_ends(self):
        self.assertEqual("logged", self.one.complete("c", parent=("p", "b")))
        self.assertEqual(b"<a><b><c>", self.two.chain("c"))

    def test_a_recorded_chain_is_not_appended_again(self):
        self.one.complete("c", parent=("p", "b"))
        before = len(self.one.log.calls)
        self.one.complete("d", parent=("p", "c"))
        self.assertEqual(["append"] * 2, self.one.log.calls[before:])

    def test_appended_replicas_are_not_appended_again(self):
        self.one.complete("c", parent=("p", "b"))
        before = len(self.one.log.calls)
        self.clock.run_for(5.0)
        self.assertNotIn("append", self.one.log.calls[before:])
        self.assertEqual(0, self.one.journal.held)

    def test_a_turn_without_its_chain_is_not_logged(self):
        """The chain's partition fails, the others take appends."""
        place = histories.partitions.place_of_location("a")
        self.one.log.faults.down_places.add(place)
        self.one.journal.replica_holders = Holders(self.two.journal)
        self.one.journal.replica_holders.can_record = False
        self.assertEqual("held", self.one.complete("c", parent=("p", "b")))


class RecordedElsewhereTest(test_journal.JournalCase):
    """The author can't reach the log; another VM can."""

    def setUp(self):
        super().setUp()
        self.holders = Holders(self.two.journal)
        self.one.journal.replica_holders = self.holders
        self.one.log.faults.down = True

    def test_the_turn_is_recorded_when_it_ends(self):
        self.assertEqual("logged", self.one.complete("a"))
        self.assertEqual(b"<a>", self.vm("three").chain("a"))

    def test_held_ancestors_are_recorded_with_it(self):
        self.holders.can_record = False
        self.assertEqual("held", self.one.complete("a"))
        self.holders.can_record = True
        self.assertEqual("logged", self.one.complete("b", parent=("p", "a")))
        self.assertEqual(2, self.holders.batch_sizes[-1])
        self.assertEqual(b"<a><b>", self.vm("three").chain("b"))

    def test_its_author_can_continue_it(self):
        self.one.complete("a")
        self.assertEqual(b"<a>", self.one.chain("a"))

    def test_a_turn_recorded_elsewhere_is_not_unrecorded(self):
        self.one.complete("a")
        self.assertEqual(0, self.one.journal.unrecorded)
        self.assertEqual(1, self.one.journal.held)

    def test_it_is_not_logged_as_lost_when_its_author_gives_up(self):
        self.one.complete("a")
        with self.assertNoLogs("postspring.histories.journal", "ERROR"):
            self.clock.run_for(150.0)
        self.assertEqual(0, self.one.journal.held)

    def test_it_is_held_if_no_vm_reaches_the_log(self):
        self.holders.can_record = False
        started_at = self.clock.now
        self.assertEqual("held", self.one.complete("a"))
        self.assertLess(self.clock.now - started_at, 0.2)

    def test_no_other_vm_is_asked_while_the_log_answers(self):
        self.one.log.faults.down = False
        self.one.complete("a")
        self.assertEqual([], self.holders.batch_sizes)

    def test_a_record_of_another_kind_is_rejected(self):
        location = histories.TurnLocation("t", "p")
        with self.assertRaises(histories.MalformedRecord):
            self.two.journal.record_for_peer(
                [histories.encode_record(location)], lambda: None
            )
