"""What is logged can be gone on from by the log alone.

Seen: simulated, a turn had ended as ``logged``, all VMs lost power, and the
turns after it were refused as incomplete for good.  How it came about: the
turn that it went on from had ended as ``held``, at another VM, and nobody had
recorded it.  Cause: a record counted whatever stood before it.  Proof: the
lines of the two turns (``kept``), and ``RestsOnCopiesTest``.
"""

from postspring import histories
from postspring.histories.tests import test_journal


class Recorder(histories.ReplicaHolders):
    """Other VMs: one keeps what it is given, one may reach the log."""

    def __init__(self, journal):
        self.journal = journal
        self.reaches_log = True
        self.asked = []

    def keep(self, record, on_done, is_log_away=False):
        """Take it."""
        on_done(2)

    def record(self, turns, timeout, on_done):
        """Have the journal record them, if it is to reach the log."""
        self.asked.append(len(turns))
        if self.reaches_log:
            self.journal.record_for_another(turns, lambda: on_done(True))
        else:
            on_done(False)


def copy_of(turn, parent=None):
    """Return the record of a turn that ended elsewhere."""
    claim = histories.Claim("other", 10, 1000)
    ref = parent and histories.TurnRef("p", parent)
    data = b"<" + turn.encode()
    return histories.WholeTurn("p", turn, claim, ref, 4, data, b">")


class RestsOnCopiesTest(test_journal.JournalCase):
    """A turn goes on from one that is kept by VMs, not by the log."""

    def setUp(self):
        super().setUp()
        self.keep("a")
        self.keep("b", "a")

    def keep(self, turn, parent=None):
        """Have the first VM keep a copy."""
        data = histories.encode_record(copy_of(turn, parent))
        self.one.journal.keep_copy(data)

    def test_the_chain_stands_in_the_log_when_it_ends(self):
        self.assertEqual("logged", self.one.complete("c", parent=("p", "b")))
        self.assertEqual(b"<a><b><c>", self.two.chain("c"))

    def test_a_chain_that_stands_there_is_not_written_again(self):
        self.one.complete("c", parent=("p", "b"))
        before = len(self.one.log.calls)
        self.one.complete("d", parent=("p", "c"))
        self.assertEqual(["append"] * 2, self.one.log.calls[before:])

    def test_copies_that_were_written_are_not_written_again(self):
        self.one.complete("c", parent=("p", "b"))
        before = len(self.one.log.calls)
        self.clock.run_for(5.0)
        self.assertNotIn("append", self.one.log.calls[before:])
        self.assertEqual(0, self.one.journal.held)

    def test_its_record_alone_is_not_enough(self):
        """The chain's partition fails, the others take what they get."""
        place = histories.partitions.place_of_location("a")
        self.one.log.faults.down_places.add(place)
        self.one.journal.replica_holders = Recorder(self.two.journal)
        self.one.journal.replica_holders.reaches_log = False
        self.assertEqual("held", self.one.complete("c", parent=("p", "b")))


class RecordedByOthersTest(test_journal.JournalCase):
    """The author lacks the log; another VM has it."""

    def setUp(self):
        super().setUp()
        self.others = Recorder(self.two.journal)
        self.one.journal.replica_holders = self.others
        self.one.log.faults.down = True

    def test_it_stands_in_the_log_when_it_ends(self):
        self.assertEqual("logged", self.one.complete("a"))
        self.assertEqual(b"<a>", self.vm("three").chain("a"))

    def test_so_does_what_only_vms_kept_before(self):
        self.others.reaches_log = False
        self.assertEqual("held", self.one.complete("a"))
        self.others.reaches_log = True
        self.assertEqual("logged", self.one.complete("b", parent=("p", "a")))
        self.assertEqual(2, self.others.asked[-1])
        self.assertEqual(b"<a><b>", self.vm("three").chain("b"))

    def test_its_author_can_go_on_from_it(self):
        self.one.complete("a")
        self.assertEqual(b"<a>", self.one.chain("a"))

    def test_what_another_vm_recorded_is_not_owed(self):
        self.one.complete("a")
        self.assertEqual(0, self.one.journal.unrecorded)
        self.assertEqual(1, self.one.journal.held)

    def test_it_is_not_told_as_lost_when_its_author_gives_up(self):
        self.one.complete("a")
        with self.assertNoLogs("postspring.histories.journal", "ERROR"):
            self.clock.run_for(150.0)
        self.assertEqual(0, self.one.journal.held)

    def test_it_is_held_if_no_vm_reaches_the_log(self):
        self.others.reaches_log = False
        began = self.clock.now
        self.assertEqual("held", self.one.complete("a"))
        self.assertLess(self.clock.now - began, 0.2)

    def test_nobody_is_asked_while_the_log_answers(self):
        self.one.log.faults.down = False
        self.one.complete("a")
        self.assertEqual([], self.others.asked)

    def test_what_is_no_turn_is_refused(self):
        location = histories.TurnLocation("t", "p")
        with self.assertRaises(histories.MalformedRecord):
            self.two.journal.record_for_another(
                [histories.encode_record(location)], lambda: None
            )
