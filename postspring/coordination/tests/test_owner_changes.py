"""Owners that change, lose the log, or end programs; without I/O."""

from postspring import coordination
from postspring.coordination.tests import harness
from postspring.coordination.tests import owner_case
from postspring import ownership
from postspring import programs

Reason = coordination.RefusalReason
Ran = coordination.Ran


class TakeoverTest(owner_case.OwnerCase):
    """What a new owner finds."""

    def take_over(self, incarnation):
        """Have the slot claimed under the next epoch."""
        epoch = self.bench.fold.slot_by_number[0].epoch + 1
        self.bench.put(
            ownership.Claim(
                slot=0, epoch=epoch, owner="vm-1", incarnation=incarnation
            )
        )

    def test_waiting_callers_are_sent_to_the_new_owner(self):
        number = self.bench.ask(self.bench.tool_call(self.program))
        self.take_over("vm-9.1")
        reply = self.bench.reply(number)
        self.assertIsInstance(reply, coordination.NotOwner)
        self.bench.log()
        self.assertEqual([], self.bench.runs)

    def test_an_open_intent_is_answered_as_unknown_not_run_again(self):
        self.bench.ask(self.bench.tool_call(self.program))
        self.bench.log()
        self.bench.restart("vm-1.2")
        number = self.bench.ask(self.bench.tool_call(self.program))
        self.bench.pass_time(2)
        self.bench.log()
        turn = self.bench.reply(number).turn
        self.assertEqual(programs.TurnStatus.UNKNOWN, turn.status)
        self.assertEqual(1, len(self.bench.runs))

    def test_a_former_owner_s_outcome_in_time_is_the_answer(self):
        self.bench.ask(self.bench.tool_call(self.program))
        self.bench.log()
        grant = self.bench.runs[0]
        self.bench.restart("vm-1.2")
        number = self.bench.ask(self.bench.tool_call(self.program))
        outcome = coordination.answered_turn(grant, b'{"order":7}', 200)
        self.bench.put(outcome)
        self.assertEqual(b'{"order":7}', self.bench.reply(number).turn.answer)

    def test_a_turn_of_the_former_owner_is_adopted(self):
        number = self.bench.ask(self.bench.model_call(self.program))
        self.bench.log()
        grant = self.granted(number)
        self.bench.restart("vm-1.2")
        done = self.bench.finish(grant)
        self.bench.log()
        self.assertEqual(1, self.bench.reply(done).turn.step)

    def test_another_owner_s_slot_is_refused_with_its_name(self):
        self.take_over("vm-9.1")
        number = self.bench.ask(self.bench.model_call(self.program))
        self.assertIsInstance(self.bench.reply(number), coordination.NotOwner)


class HeldTurnTest(owner_case.OwnerCase):
    """Answers before the log has them."""

    def hold_one(self):
        """Answer a model call while the log is out; return the turn."""
        self.answer_model_call()
        self.bench.owner.log_up = False
        number = self.bench.ask(self.bench.model_call(self.program, 2))
        done = self.bench.finish(self.granted(number))
        answered = self.bench.reply(done)
        self.assertTrue(answered.held)
        return answered.turn

    def test_model_calls_go_on_from_what_is_reserved(self):
        turn = self.hold_one()
        call = self.bench.model_call(self.program, 3, parent=turn.digest)
        number = self.bench.ask(call)
        self.assertIn(
            type(self.bench.reply(number)),
            (coordination.Grant, coordination.Refused),
        )

    def test_spending_stops_at_what_is_reserved(self):
        self.hold_one()
        step = 3
        while True:
            number = self.bench.ask(self.bench.model_call(self.program, step))
            reply = self.bench.reply(number)
            if isinstance(reply, coordination.Refused):
                break
            self.bench.finish(reply)
            step += 1
        self.assertEqual(Reason.LOG_UNAVAILABLE, reply.reason)
        self.bench.owner.log_up = True
        self.bench.log()
        program = self.bench.fold.program(self.program, 0)
        self.assertEqual(step - 1, program.head.step)
        self.assertGreaterEqual(program.allowance, 0)

    def test_held_turns_are_logged_when_the_log_is_back(self):
        turn = self.hold_one()
        self.bench.owner.log_up = True
        self.bench.log()
        program = self.bench.fold.program(self.program, 0)
        self.assertEqual(turn.digest, program.head.digest)
        self.assertEqual(0, self.bench.owner.held_bytes)

    def test_a_receipt_brings_a_held_turn_to_a_new_owner(self):
        turn = self.hold_one()
        self.bench.unlogged.clear()
        self.bench.owner.log_up = True
        other = harness.OwnerHarness()
        for record in self.records():
            other.put(record)
        other.restart("vm-1.2")
        call = other.model_call(
            self.program, 3, parent=turn.digest, receipts=(turn,)
        )
        number = other.ask(call)
        other.log()
        self.assertEqual(3, other.reply(number).step)
        self.assertIn("hello", other.reply(number).prompt.decode())

    def records(self):
        """Return the records that rebuild the program with one turn."""
        program = self.bench.fold.program(self.program, 0)
        yield ownership.Create(
            slot=0,
            epoch=1,
            sequence=1,
            program=self.program,
            service="agentes",
            priority=5,
            budget=10_000,
        )
        yield program.turns[0]

    def test_too_many_held_bytes_refuse_further_calls(self):
        limits = coordination.OwnerLimits(held_bytes=10)
        self.bench = harness.OwnerHarness(limits)
        self.program = self.bench.create()
        self.hold_one()
        number = self.bench.ask(self.bench.model_call(self.program, 3))
        self.assert_refused(number, Reason.HELD_TURNS_FULL)

    def test_an_unknown_outcome_is_never_held(self):
        number = self.bench.ask(self.bench.tool_call(self.program))
        self.bench.log()
        self.bench.owner.log_up = False
        self.bench.lose(self.bench.runs[0], sent=True)
        self.bench.pass_time(2)
        self.assert_refused(number, Reason.LOG_UNAVAILABLE, Ran.UNKNOWN)
        again = self.bench.ask(self.bench.tool_call(self.program))
        self.bench.owner.log_up = True
        self.bench.log()
        turn = self.bench.reply(again).turn
        self.assertEqual(programs.TurnStatus.UNKNOWN, turn.status)

    def test_a_slow_log_makes_an_answer_held(self):
        number = self.bench.ask(self.bench.model_call(self.program))
        self.bench.log()
        done = self.bench.finish(self.granted(number))
        self.bench.pass_time(0.5)
        self.assertIsNone(self.bench.reply(done))
        self.bench.pass_time(1)
        self.assertTrue(self.bench.reply(done).held)


class EndTest(owner_case.OwnerCase):
    """The end of programs."""

    def test_the_end_cancels_what_runs(self):
        number = self.bench.ask(self.bench.model_call(self.program))
        self.bench.log()
        grant = self.granted(number)
        ended = self.bench.ask(coordination.EndProgram(program=self.program))
        self.bench.log()
        self.assertIsInstance(
            self.bench.reply(ended), coordination.ProgramEnded
        )
        self.assertEqual(grant.attempt, self.bench.cancelled[0].attempt)

    def test_calls_after_the_end_are_refused(self):
        self.bench.ask(coordination.EndProgram(program=self.program))
        self.bench.log()
        number = self.bench.ask(self.bench.tool_call(self.program))
        self.assert_refused(number, Reason.PROGRAM_ENDED)
        # A call that may be repeated could have been under way at the end.
        number = self.bench.ask(self.bench.model_call(self.program))
        self.assert_refused(number, Reason.PROGRAM_ENDED, Ran.UNKNOWN)

    def test_a_queued_call_that_a_former_owner_began_may_have_run(self):
        self.bench.ask(self.bench.tool_call(self.program))
        self.bench.log()
        self.bench.restart("vm-1.2")
        number = self.bench.ask(self.bench.tool_call(self.program))
        self.bench.ask(coordination.EndProgram(program=self.program))
        self.assert_refused(number, Reason.PROGRAM_ENDED, Ran.UNKNOWN)

    def test_ending_twice_is_the_same(self):
        self.bench.ask(coordination.EndProgram(program=self.program))
        self.bench.log()
        again = self.bench.ask(coordination.EndProgram(program=self.program))
        self.assertIsInstance(
            self.bench.reply(again), coordination.ProgramEnded
        )

    def test_a_program_that_loops_is_ended(self):
        for step in range(1, 21):
            self.answer_model_call(step)
        number = self.bench.ask(self.bench.model_call(self.program, 21))
        self.assert_refused(number, Reason.TOO_MANY_CALLS)
        self.bench.log()
        program = self.bench.fold.program(self.program, 0)
        self.assertEqual(programs.EndReason.TOO_MANY_CALLS, program.end_reason)


class ReleaseTest(owner_case.OwnerCase):
    """Handing a slot over."""

    def test_a_busy_slot_is_kept(self):
        self.bench.ask(self.bench.model_call(self.program))
        self.assertFalse(self.bench.owner.release_slot(0, None))

    def test_an_idle_slot_is_released_without_cost(self):
        self.answer_model_call()
        self.assertTrue(self.bench.owner.release_slot(0, "vm-2"))
        self.bench.collect()
        self.bench.log()
        account = self.bench.account(self.program)
        self.assertEqual((15, 0), (account.spent, account.reserved))
        number = self.bench.ask(self.bench.model_call(self.program, 2))
        self.assertIsInstance(self.bench.reply(number), coordination.NotOwner)
