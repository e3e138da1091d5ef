"""Turns: history, budget, streams, and reserves of tokens."""

from postspring.platform import names
from postspring.testing.fleet import case


class TurnTest(case.FleetCase):
    """History, budget and stream of turns on two VMs."""

    vms = 2

    def test_stream_is_forwarded(self):
        answer = self.fleet.take_turn("a")
        self.assertTrue(answer.complete)
        self.assertEqual(case.EVENTS, answer.body)

    def test_history_is_assembled(self):
        self.fleet.take_turn("a")
        self.fleet.take_turn("b", previous_turn="a")
        run = self.fleet.engines[0].runs[1]
        self.assertEqual(b"<a>w1\nw2\nw3\n<b>", run.body)

    def test_another_vm_continues_the_program(self):
        self.fleet.take_turn("a")
        answer = self.fleet.take_turn("b", vm=1, previous_turn="a")
        self.assertTrue(answer.complete)
        run = self.fleet.engines[0].runs[1]
        self.assertEqual(b"<a>w1\nw2\nw3\n<b>", run.body)

    def test_history_survives_replacement_of_all_vms(self):
        self.fleet.take_turn("a")
        for node in list(self.fleet.nodes):
            self.fleet.stop_vm(node)
        self.fleet.start_vm("new")
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertTrue(answer.complete)

    def test_unknown_previous_turn_is_not_found(self):
        answer = self.fleet.take_turn("b", previous_turn="x")
        self.assertEqual(404, answer.status)
        self.assertEqual([], self.fleet.engines[0].runs)

    def test_budget_holds_across_vms(self):
        statuses = [
            self.fleet.take_turn(
                f"t{number}", vm=number % 2, token_budget="40"
            ).status
            for number in range(8)
        ]
        # A turn uses 12 tokens; 16 have to be free before it starts.
        self.assertEqual([200] * 3 + [402] * 5, statuses)

    def test_broken_stream_does_not_look_complete(self):
        self.fleet.engines[0].faults.cut = 1
        answer = self.fleet.take_turn("a")
        self.assertFalse(answer.complete)
        self.assertEqual(b"id: 1\ndata: w1\n\n", answer.body)
        again = self.fleet.take_turn("b", previous_turn="a")
        self.assertEqual(404, again.status)

    def test_tokens_of_a_broken_turn_are_charged(self):
        self.fleet.engines[0].faults.cut = 1
        self.fleet.take_turn("a", token_budget="19")
        answer = self.fleet.take_turn("b", token_budget="19")
        self.assertEqual(402, answer.status)

    def test_shed_turn_is_not_charged(self):
        self.fleet.engines[0].faults.shed = 99
        answer = self.fleet.take_turn("a", token_budget="16")
        self.assertEqual(503, answer.status)
        self.fleet.engines[0].faults.shed = 0
        answer = self.fleet.take_turn("b", token_budget="16")
        self.assertEqual(200, answer.status)


class ReserveTest(case.FleetCase):
    """A VM reserves tokens ahead, which saves most turns a record."""

    vms = 2

    def append_count(self):
        """Return the number of appends to programs' records so far."""
        prefix = f"{names.LOG_APPEND_PATH} {names.PROGRAMS_TOPIC[:14]}"
        return sum(call.startswith(prefix) for call in self.fleet.store.calls)

    def test_next_turn_needs_no_record_before_it_runs(self):
        self.fleet.take_turn("a")
        before = self.append_count()
        self.fleet.take_turn("b", previous_turn="a")
        self.assertEqual(1, self.append_count() - before)

    def test_reserve_does_not_block_other_vms(self):
        budget = "200"
        statuses = [
            self.fleet.take_turn(
                f"t{number}", vm=number % 2, token_budget=budget
            ).status
            for number in range(10)
        ]
        self.assertEqual([200] * 10, statuses)
