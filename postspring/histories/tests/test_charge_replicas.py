"""The tokens of offline turns are charged even if their VM dies.

These tests guard against a turn without a history whose charge exists only in
the memory of the VM that ran it while the log was unavailable.
"""

from postspring import histories
from postspring.histories import records
from postspring.histories.tests import test_journal


class Holder(histories.ReplicaHolders):
    """Gives replicas to another VM's journal."""

    def __init__(self, journal):
        self.journal = journal

    def replicate(self, record, on_done, is_log_unavailable=False):
        """Have the other VM hold the replica."""
        self.journal.store_replica(record)
        on_done(1)


class ChargeReplicasTest(test_journal.JournalCase):
    """The VM with a program's offline account dies; another has replicas."""

    def setUp(self):
        super().setUp()
        self.one.journal.replica_holders = Holder(self.two.journal)
        for vm in (self.one, self.two):
            vm.log.faults.down = True
        self.one.open("x")
        self.one.journal.accounts.start_offline_account(
            "p", 10, 25, 0, 0, True
        )

    def spend_and_die(self):
        """Let two turns use 20 of 25 tokens before the VM dies."""
        for turn in ("a", "b"):
            state = self.one.open(turn)
            self.assertIs(test_journal.OPEN, state)
            self.one.journal.end_turn(self.one.tickets[turn], 10)
        self.clock.run_for(1.0)

    def test_the_charge_is_recorded(self):
        self.spend_and_die()
        self.two.log.faults.down = False
        self.clock.run_for(8.0)
        state = self.vm("three").open("c")
        self.assertIs(test_journal.REFUSED, state)

    def test_it_is_charged_once_if_both_append_it(self):
        self.spend_and_die()
        self.one.log.faults.down = False
        self.two.log.faults.down = False
        self.clock.run_for(8.0)
        three = self.vm("three")
        three.open("c", ceiling=1)
        self.assertEqual(20, three.journal._partitions.program("p").settled)

    def test_a_vm_with_replicas_has_unrecorded_charges(self):
        self.spend_and_die()
        self.assertEqual(2, self.two.journal.unrecorded)
        self.two.log.faults.down = False
        self.clock.run_for(8.0)
        self.assertEqual(0, self.two.journal.unrecorded)

    def test_the_program_is_known_to_the_holder(self):
        self.spend_and_die()
        self.assertTrue(self.two.journal.knows("p"))

    def charged(self):
        """Return what a VM that has read the log charges the program with."""
        three = self.vm("three")
        three.open("c", ceiling=1)
        program = three.journal._partitions.program("p")
        return program.charged - program.charge_of("c")

    def test_a_turn_under_way_is_charged_if_its_vm_dies(self):
        self.assertIs(test_journal.OPEN, self.one.open("a"))
        ceiling = self.one.tickets["a"].limit
        self.assertEqual({"a": ceiling}, self.two.journal.unsettled("p"))
        self.clock.run_for(1.0)
        self.two.log.faults.down = False
        self.clock.run_for(8.0)
        self.assertEqual(ceiling, self.charged())
        self.assertEqual(0, self.two.journal.unrecorded)

    def test_the_end_of_a_turn_replaces_its_opening(self):
        self.spend_and_die()
        self.assertEqual({"a": 10, "b": 10}, self.two.journal.unsettled("p"))
        self.two.log.faults.down = False
        self.clock.run_for(8.0)
        self.assertEqual(20, self.charged())

    def test_an_opening_that_is_recorded_first_is_settled_by_the_end(self):
        self.assertIs(test_journal.OPEN, self.one.open("a"))
        self.two.log.faults.down = False
        self.clock.run_for(8.0)
        self.one.journal.end_turn(self.one.tickets["a"], 4)
        self.one.log.faults.down = False
        self.clock.run_for(8.0)
        self.assertEqual(4, self.charged())

    def test_a_turn_that_handed_out_nothing_is_not_charged(self):
        self.assertIs(test_journal.OPEN, self.one.open("a"))
        self.one.journal.end_turn(self.one.tickets["a"], 0)
        self.assertEqual({"a": 0}, self.two.journal.unsettled("p"))
        for vm in (self.one, self.two):
            vm.log.faults.down = False
        self.clock.run_for(8.0)
        self.assertEqual(0, self.charged())

    def test_a_record_of_a_location_is_rejected(self):
        record = records.encode_record(records.TurnLocation("t", "p"))
        with self.assertRaises(histories.MalformedRecord):
            self.two.journal.store_replica(record)


class HeldReplicasTest(test_journal.JournalCase):
    """Only turns of other VMs that a VM holds may not be charged."""

    def hold_own_turn(self):
        """Complete a turn that the log charges and whose record it lacks."""
        self.assertIs(test_journal.OPEN, self.one.open("a"))
        self.one.log.faults.down = True
        self.one.journal.complete_turn(
            self.one.tickets["a"], None, 4, b"<a", b">", "e", lambda kept: None
        )
        self.assertEqual(1, self.one.journal.held)

    # Guards against restarted VMs that ask a busy one for each program.
    def test_own_turn_that_the_log_charges_is_not_told(self):
        self.hold_own_turn()
        self.assertFalse(self.one.journal.may_have_offline_charges)
        self.assertEqual({}, self.one.journal.unsettled("p"))

    # Guards against a budget that is spent again before replicas are recorded.
    def test_replica_of_a_turn_is_told(self):
        claim = histories.Claim("one", 10, 25)
        turn = histories.CompletedTurn("p", "a", claim, None, 4, b"<a", b">")
        self.two.log.faults.down = True
        self.two.journal.store_replica(records.encode_record(turn))
        self.assertTrue(self.two.journal.may_have_offline_charges)
        self.assertEqual({"a": 4}, self.two.journal.unsettled("p"))
