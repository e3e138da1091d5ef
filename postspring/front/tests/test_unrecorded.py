"""Turns that ran whole and can be neither recorded nor kept by others.

By reading, and of the shape of what was seen with VMs as real processes (a
request that was read ended without an answer): 15 s of trying to have a turn
kept ended without a word, and its caller's answer never ended at all.
"""

from postspring.testing.fleet import case


class AloneTest(case.FleetCase):
    """The only VM; the store goes away while a turn runs."""

    def setUp(self):
        super().setUp()
        self.node = self.fleet.nodes[0]
        self.engine = self.fleet.engines[0]
        self.engine.event_seconds = 0.05

    def start_turn(self, **headers):
        """Let a turn begin; the store is away before it ends."""
        caller = self.fleet.caller()
        fields = {
            "program_id": "p1",
            "token_usage": "100,16",
            "token_budget": "1000",
        } | headers
        fields = self.fleet.headers("a", fields)
        caller.send("POST", "/stream/x", fields, b"<a>")
        self.fleet.turn_until(lambda: caller.answer.body)
        self.fleet.store.refuse = 503
        self.fleet.turn_until(lambda: case.EVENTS == caller.answer.body)
        return caller

    def test_its_answer_ends_at_the_deadline_and_not_as_whole(self):
        caller = self.start_turn(deadline_ms="700")
        self.fleet.turn_until(lambda: caller.answer.settled)
        self.assertFalse(caller.answer.whole)
        self.assertTrue(caller.answer.closed)

    def test_it_is_whole_if_the_store_is_back_in_time(self):
        caller = self.start_turn(deadline_ms="3000")
        self.fleet.turn_for(0.3)
        self.assertFalse(caller.answer.settled)
        self.fleet.store.refuse = 0
        self.fleet.turn_until(lambda: caller.answer.settled)
        self.assertTrue(caller.answer.whole)

    def test_it_is_recorded_all_the_same(self):
        caller = self.start_turn(deadline_ms="700")
        self.fleet.turn_until(lambda: caller.answer.settled)
        self.fleet.store.refuse = 0
        self.fleet.turn_until(lambda: not self.node.journal.unrecorded)
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertTrue(answer.whole)

    def test_it_is_charged_once(self):
        caller = self.start_turn(deadline_ms="700")
        self.fleet.turn_until(lambda: caller.answer.settled)
        self.fleet.store.refuse = 0
        self.fleet.turn_until(lambda: not self.node.journal.unrecorded)
        program = self.node.journal._partitions.program("p1")
        self.assertEqual(12, program.settled)

    def test_a_caller_that_leaves_meanwhile(self):
        caller = self.start_turn(deadline_ms="700")
        caller.close()
        self.fleet._callers.remove(caller)
        self.fleet.turn_for(1.0)
        self.fleet.store.refuse = 0
        self.fleet.turn_until(lambda: not self.node.journal.unrecorded)
