"""Some VMs reach the log while others don't.

These tests guard against the loss of turns whose complete answers callers had
received. A third of the VMs did not reach the log until all VMs lost power.
VMs with the log held replicas and looked for them in the log only after 2 to 3
s, as in an outage for all VMs, where there is no hurry; power was lost 0.1 to
0.2 s after the turns had ended as ``held``.
"""

from unittest import mock

from postspring import histories
from postspring.histories.tests import test_journal


class PartialOutageTest(test_journal.JournalCase):
    """When a VM records the replicas that it holds."""

    def setUp(self):
        super().setUp()
        self.log = self.two.log

    def hold_replica(self, turn, is_log_unavailable=True):
        """Give the VM a replica."""
        claim = histories.Claim("gone", 10, 25)
        record = histories.CompletedTurn("p", turn, claim, None, 4, b"<", b">")
        data = histories.encode_record(record)
        self.two.journal.store_replica(data, is_log_unavailable)

    def test_a_vm_with_the_log_records_a_replica_at_once(self):
        self.hold_replica("a")
        self.clock.run_for(0.5)
        self.assertEqual(0, self.two.journal.held)
        self.assertEqual(b"<>", self.one.chain("a"))

    def test_a_vm_without_the_log_waits(self):
        self.log.faults.down = True
        self.two.complete("z")
        with mock.patch.object(
            self.two.journal, "refresh_program", autospec=True
        ) as refresh:
            self.hold_replica("a")
            self.clock.run_for(1.5)
            refresh.assert_not_called()
            self.clock.run_for(2.0)
            refresh.assert_called_once()

    def test_a_slow_log_is_not_read_at_once(self):
        self.log.faults.latency = 0.25
        self.two.complete("z")
        self.clock.run_for(1.0)
        before = len(self.log.calls)
        self.hold_replica("a")
        self.clock.run_for(1.5)
        self.assertEqual(before, len(self.log.calls))
        self.clock.run_for(4.0)
        self.assertEqual(0, self.two.journal.held)

    def test_a_log_that_the_author_reaches_is_not_read_at_once(self):
        """The log is slow for the author, as this VM may not know yet."""
        before = len(self.log.calls)
        self.hold_replica("a", is_log_unavailable=False)
        self.clock.run_for(1.5)
        self.assertEqual(before, len(self.log.calls))
