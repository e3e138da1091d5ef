"""Large turns and a store that limits the sizes of records and calls.

After an outage a VM appended all records that waited for a partition in one
call.  The store refused that call as too large at each retry, so the
partition got no records any more, and the VM dropped them after 120 s.  One
turn above the limit of a record did the same to all turns in its call.  Turns
that were answered completely then reached no upstream.
"""

from unittest import mock

from postspring.histories import size_limits
from postspring.testing.fleet import case

BODY_BYTES = 200_000
# More than fit into two calls.
TURNS = 12


class OutageTest(case.FleetCase):
    """Large turns end while the store is unavailable to two VMs."""

    vms = 2

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.run_loop_until(lambda node=node: node.members.others)

    def test_all_turns_are_recorded_afterwards(self):
        self.fleet.store.refuse = 503
        for number in range(TURNS):
            body = b"%d" % number * BODY_BYTES
            answer = self.fleet.take_turn(f"a{number}", body=body[:BODY_BYTES])
            self.assertTrue(answer.complete)
        self.fleet.store.refuse = 0
        journals = [node.journal for node in self.fleet.nodes]
        self.fleet.run_loop_until(
            lambda: not any(j.unrecorded for j in journals)
        )
        self.assertEqual(0, self.fleet.store.too_large)


class LargeTurnTest(case.FleetCase):
    """A turn that exceeds the limit of a record."""

    def test_oversized_turn_is_refused_before_it_runs(self):
        answer = self.fleet.take_turn("a", body=b"x" * 300_000)
        self.assertEqual(503, answer.status)
        self.assertEqual([], self.fleet.engines[0].runs)

    def test_oversized_turn_does_not_block_others(self):
        self.fleet.take_turn("a", body=b"x" * 300_000)
        self.assertTrue(self.fleet.take_turn("b").complete)

    def test_oversized_turn_without_history_runs(self):
        body = b"x" * 300_000
        answer = self.fleet.take_turn("a", body=body, route="carried-stream")
        self.assertTrue(answer.complete)


class LargeAnswerTest(case.FleetCase):
    """A turn's output makes its record exceed the limit."""

    def test_turn_is_broken_off_and_blocks_no_other(self):
        with mock.patch.object(size_limits, "OUTPUT_BYTES", 4):
            largest = self.fleet.nodes[0].journal.sizes.input
            answer = self.fleet.take_turn("a", body=b"x" * largest)
        self.assertFalse(answer.complete)
        self.assertTrue(self.fleet.take_turn("b").complete)
        self.assertEqual(0, self.fleet.store.too_large)
