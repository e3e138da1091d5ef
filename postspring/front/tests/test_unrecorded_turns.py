"""Complete turns that can neither be recorded nor copied to other VMs.

After 15 s the attempts to copy such a turn ended without a result, and the
answer to its caller never ended.
"""

from postspring.testing.fleet import case


class SingleVmTest(case.FleetCase):
    """The only VM; the store becomes unavailable while a turn runs."""

    def setUp(self):
        super().setUp()
        self.node = self.fleet.nodes[0]
        self.engine = self.fleet.engines[0]
        self.engine.event_seconds = 0.05

    def start_turn(self, **headers):
        """Start a turn; the store is unavailable before it ends."""
        caller = self.fleet.caller()
        fields = {
            "program_id": "p1",
            "token_usage": "100,16",
            "token_budget": "1000",
        } | headers
        fields = self.fleet.headers("a", fields)
        caller.send("POST", "/stream/x", fields, b"<a>")
        self.fleet.run_loop_until(lambda: caller.answer.body)
        self.fleet.store.refuse = 503
        self.fleet.run_loop_until(lambda: case.EVENTS == caller.answer.body)
        return caller

    def test_answer_ends_incomplete_at_the_deadline(self):
        caller = self.start_turn(deadline_ms="700")
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        self.assertFalse(caller.answer.complete)
        self.assertTrue(caller.answer.closed)

    def test_answer_is_complete_if_the_store_returns_in_time(self):
        caller = self.start_turn(deadline_ms="3000")
        self.fleet.turn_for(0.3)
        self.assertFalse(caller.answer.settled)
        self.fleet.store.refuse = 0
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        self.assertTrue(caller.answer.complete)

    def test_turn_is_recorded_afterwards(self):
        caller = self.start_turn(deadline_ms="700")
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        self.fleet.store.refuse = 0
        self.fleet.run_loop_until(lambda: not self.node.journal.unrecorded)
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertTrue(answer.complete)

    def test_turn_is_charged_once(self):
        caller = self.start_turn(deadline_ms="700")
        self.fleet.run_loop_until(lambda: caller.answer.settled)
        self.fleet.store.refuse = 0
        self.fleet.run_loop_until(lambda: not self.node.journal.unrecorded)
        program = self.node.journal._partitions.program("p1")
        self.assertEqual(12, program.settled)

    def test_turn_is_recorded_although_its_caller_left(self):
        caller = self.start_turn(deadline_ms="700")
        caller.close()
        self.fleet._callers.remove(caller)
        self.fleet.turn_for(1.0)
        self.fleet.store.refuse = 0
        self.fleet.run_loop_until(lambda: not self.node.journal.unrecorded)
