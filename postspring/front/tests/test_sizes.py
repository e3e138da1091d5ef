"""Turns that are large, before a store that bounds its records and calls.

By reading, and of the shape of what was seen with VMs as real processes (a
turn that was answered whole reaches no upstream): after an outage a VM sent
all that waited for a partition in one call.  The store refuses a call that
is too large, each time; so nothing got into that partition any more, and
after 120 s the records were given up.  One turn that is larger than a record
may be did the same to all turns beside it.
"""

from unittest import mock

from postspring.histories import sizes
from postspring.testing.fleet import case

BODY_BYTES = 200_000
# More than two calls take.
TURNS = 12


class OutageTest(case.FleetCase):
    """Large turns end while the store is away; two VMs."""

    vms = 2

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.turn_until(lambda node=node: node.members.others)

    def test_all_are_recorded_afterwards(self):
        self.fleet.store.refuse = 503
        for number in range(TURNS):
            body = b"%d" % number * BODY_BYTES
            answer = self.fleet.take_turn(f"a{number}", body=body[:BODY_BYTES])
            self.assertTrue(answer.whole)
        self.fleet.store.refuse = 0
        journals = [node.journal for node in self.fleet.nodes]
        self.fleet.turn_until(lambda: not any(j.unrecorded for j in journals))
        self.assertEqual(0, self.fleet.store.too_large)


class LargeTurnTest(case.FleetCase):
    """A turn that is larger than a record may be."""

    def test_it_is_refused_before_it_runs(self):
        answer = self.fleet.take_turn("a", body=b"x" * 300_000)
        self.assertEqual(503, answer.status)
        self.assertEqual([], self.fleet.engines[0].runs)

    def test_it_does_not_hold_up_others(self):
        self.fleet.take_turn("a", body=b"x" * 300_000)
        self.assertTrue(self.fleet.take_turn("b").whole)

    def test_one_that_keeps_no_history_runs(self):
        body = b"x" * 300_000
        answer = self.fleet.take_turn("a", body=body, route="carried-stream")
        self.assertTrue(answer.whole)


class LargeAnswerTest(case.FleetCase):
    """What comes out of a turn does not fit into its record any more."""

    def test_it_is_broken_off_and_holds_up_nobody(self):
        with mock.patch.object(sizes, "OUTPUT_BYTES", 4):
            largest = self.fleet.nodes[0].journal.sizes.input
            answer = self.fleet.take_turn("a", body=b"x" * largest)
        self.assertFalse(answer.whole)
        self.assertTrue(self.fleet.take_turn("b").whole)
        self.assertEqual(0, self.fleet.store.too_large)
