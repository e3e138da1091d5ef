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


class EndedTurnReplicasTest(test_journal.JournalCase):
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

    def test_a_record_of_an_opening_is_rejected(self):
        claim = histories.Claim("one", 8, 25)
        record = histories.OpenedTurn("p", "t", claim)
        with self.assertRaises(histories.MalformedRecord):
            self.two.journal.store_replica(records.encode_record(record))
