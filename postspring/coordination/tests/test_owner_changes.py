"""Tests of takeover, log outages, ends and releases, without I/O."""

from postspring import coordination
from postspring.coordination.tests import harness
from postspring.coordination.tests import owner_case
from postspring import ownership
from postspring import programs

Reason = coordination.RefusalReason
Ran = coordination.Ran


class TakeoverTest(owner_case.OwnerCase):
    """Calls and intents when a slot changes its owner."""

    def take_over(self, incarnation):
        """Claim the slot for an incarnation under the next epoch."""
        epoch = self.harness.fold.slot_by_number[0].epoch + 1
        self.harness.append(
            ownership.Claim(
                slot=0, epoch=epoch, owner="vm-1", incarnation=incarnation
            )
        )

    def test_waiting_callers_are_redirected_to_the_new_owner(self):
        number = self.harness.send(self.harness.tool_call(self.program))
        self.take_over("vm-9.1")
        reply = self.harness.reply_to(number)
        self.assertIsInstance(reply, coordination.NotOwner)
        self.harness.flush_log()
        self.assertEqual([], self.harness.local_grants)

    def test_an_open_intent_is_answered_as_unknown_not_run_again(self):
        self.harness.send(self.harness.tool_call(self.program))
        self.harness.flush_log()
        self.harness.restart("vm-1.2")
        number = self.harness.send(self.harness.tool_call(self.program))
        self.harness.advance_time(2)
        self.harness.flush_log()
        turn = self.harness.reply_to(number).turn
        self.assertEqual(programs.TurnStatus.UNKNOWN, turn.status)
        self.assertEqual(1, len(self.harness.local_grants))

    def test_a_timely_outcome_of_the_former_owner_is_the_answer(self):
        self.harness.send(self.harness.tool_call(self.program))
        self.harness.flush_log()
        grant = self.harness.local_grants[0]
        self.harness.restart("vm-1.2")
        number = self.harness.send(self.harness.tool_call(self.program))
        outcome = coordination.answered_turn(grant, b'{"order":7}', 200)
        self.harness.append(outcome)
        self.assertEqual(
            b'{"order":7}', self.harness.reply_to(number).turn.answer
        )

    def test_a_turn_of_the_former_owner_is_adopted(self):
        number = self.harness.send(self.harness.model_call(self.program))
        self.harness.flush_log()
        grant = self.assert_granted(number)
        self.harness.restart("vm-1.2")
        finished = self.harness.finish(grant)
        self.harness.flush_log()
        self.assertEqual(1, self.harness.reply_to(finished).turn.step)

    def test_a_call_in_another_owner_s_slot_is_redirected(self):
        self.take_over("vm-9.1")
        number = self.harness.send(self.harness.model_call(self.program))
        self.assertIsInstance(
            self.harness.reply_to(number), coordination.NotOwner
        )


class HeldTurnTest(owner_case.OwnerCase):
    """Turns that are answered before the log has them."""

    def create_held_turn(self):
        """Answer a model call during a log outage; return the turn."""
        self.answer_model_call()
        self.harness.owner.log_up = False
        number = self.harness.send(self.harness.model_call(self.program, 2))
        finished = self.harness.finish(self.assert_granted(number))
        answered = self.harness.reply_to(finished)
        self.assertTrue(answered.held)
        return answered.turn

    def test_model_calls_continue_on_the_allowance(self):
        turn = self.create_held_turn()
        call = self.harness.model_call(self.program, 3, parent=turn.digest)
        number = self.harness.send(call)
        self.assertIn(
            type(self.harness.reply_to(number)),
            (coordination.Grant, coordination.Refused),
        )

    def test_spending_stops_at_the_allowance(self):
        self.create_held_turn()
        step = 3
        while True:
            number = self.harness.send(
                self.harness.model_call(self.program, step)
            )
            reply = self.harness.reply_to(number)
            if isinstance(reply, coordination.Refused):
                break
            self.harness.finish(reply)
            step += 1
        self.assertEqual(Reason.LOG_UNAVAILABLE, reply.reason)
        self.harness.owner.log_up = True
        self.harness.flush_log()
        program = self.harness.fold.program(self.program, 0)
        self.assertEqual(step - 1, program.head.step)
        self.assertGreaterEqual(program.allowance, 0)

    def test_held_turns_are_logged_after_the_outage(self):
        turn = self.create_held_turn()
        self.harness.owner.log_up = True
        self.harness.flush_log()
        program = self.harness.fold.program(self.program, 0)
        self.assertEqual(turn.digest, program.head.digest)
        self.assertEqual(0, self.harness.owner.held_bytes)

    def test_a_receipt_restores_a_held_turn_at_a_new_owner(self):
        turn = self.create_held_turn()
        self.harness.unlogged_records.clear()
        self.harness.owner.log_up = True
        other = harness.OwnerHarness()
        for record in self.program_records():
            other.append(record)
        other.restart("vm-1.2")
        call = other.model_call(
            self.program, 3, parent=turn.digest, receipts=(turn,)
        )
        number = other.send(call)
        other.flush_log()
        self.assertEqual(3, other.reply_to(number).step)
        self.assertIn("hello", other.reply_to(number).prompt.decode())

    def program_records(self):
        """Return the records that rebuild the program with one turn."""
        program = self.harness.fold.program(self.program, 0)
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

    def test_calls_are_refused_above_the_held_bytes_limit(self):
        limits = coordination.OwnerLimits(max_held_bytes=10)
        self.harness = harness.OwnerHarness(limits)
        self.program = self.harness.create()
        self.create_held_turn()
        number = self.harness.send(self.harness.model_call(self.program, 3))
        self.assert_refused(number, Reason.HELD_TURNS_FULL)

    def test_an_unknown_outcome_is_never_held(self):
        number = self.harness.send(self.harness.tool_call(self.program))
        self.harness.flush_log()
        self.harness.owner.log_up = False
        self.harness.lose(self.harness.local_grants[0], sent=True)
        self.harness.advance_time(2)
        self.assert_refused(number, Reason.LOG_UNAVAILABLE, Ran.UNKNOWN)
        again = self.harness.send(self.harness.tool_call(self.program))
        self.harness.owner.log_up = True
        self.harness.flush_log()
        turn = self.harness.reply_to(again).turn
        self.assertEqual(programs.TurnStatus.UNKNOWN, turn.status)

    def test_a_slow_log_makes_an_answer_held(self):
        number = self.harness.send(self.harness.model_call(self.program))
        self.harness.flush_log()
        finished = self.harness.finish(self.assert_granted(number))
        self.harness.advance_time(0.5)
        self.assertIsNone(self.harness.reply_to(finished))
        self.harness.advance_time(1)
        self.assertTrue(self.harness.reply_to(finished).held)


class EndTest(owner_case.OwnerCase):
    """Ending programs."""

    def test_the_end_cancels_running_attempts(self):
        number = self.harness.send(self.harness.model_call(self.program))
        self.harness.flush_log()
        grant = self.assert_granted(number)
        ended = self.harness.send(
            coordination.EndProgram(program=self.program)
        )
        self.harness.flush_log()
        self.assertIsInstance(
            self.harness.reply_to(ended), coordination.ProgramEnded
        )
        self.assertEqual(grant.attempt, self.harness.other_effects[0].attempt)

    def test_calls_after_the_end_are_refused(self):
        self.harness.send(coordination.EndProgram(program=self.program))
        self.harness.flush_log()
        number = self.harness.send(self.harness.tool_call(self.program))
        self.assert_refused(number, Reason.PROGRAM_ENDED)
        # A repeatable call may have been running when the program ended.
        number = self.harness.send(self.harness.model_call(self.program))
        self.assert_refused(number, Reason.PROGRAM_ENDED, Ran.UNKNOWN)

    def test_a_queued_call_with_an_earlier_intent_may_have_run(self):
        self.harness.send(self.harness.tool_call(self.program))
        self.harness.flush_log()
        self.harness.restart("vm-1.2")
        number = self.harness.send(self.harness.tool_call(self.program))
        self.harness.send(coordination.EndProgram(program=self.program))
        self.assert_refused(number, Reason.PROGRAM_ENDED, Ran.UNKNOWN)

    def test_the_end_is_idempotent(self):
        self.harness.send(coordination.EndProgram(program=self.program))
        self.harness.flush_log()
        again = self.harness.send(
            coordination.EndProgram(program=self.program)
        )
        self.assertIsInstance(
            self.harness.reply_to(again), coordination.ProgramEnded
        )

    def test_a_program_beyond_its_call_limit_is_ended(self):
        for step in range(1, 21):
            self.answer_model_call(step)
        number = self.harness.send(self.harness.model_call(self.program, 21))
        self.assert_refused(number, Reason.TOO_MANY_CALLS)
        self.harness.flush_log()
        program = self.harness.fold.program(self.program, 0)
        self.assertEqual(programs.EndReason.TOO_MANY_CALLS, program.end_reason)


class ReleaseTest(owner_case.OwnerCase):
    """Releasing a slot."""

    def test_a_busy_slot_is_not_released(self):
        self.harness.send(self.harness.model_call(self.program))
        self.assertFalse(self.harness.owner.release_slot(0, None))

    def test_an_idle_slot_is_released_without_cost(self):
        self.answer_model_call()
        self.assertTrue(self.harness.owner.release_slot(0, "vm-2"))
        self.harness.collect_effects()
        self.harness.flush_log()
        account = self.harness.account(self.program)
        self.assertEqual((15, 0), (account.spent, account.reserved))
        number = self.harness.send(self.harness.model_call(self.program, 2))
        self.assertIsInstance(
            self.harness.reply_to(number), coordination.NotOwner
        )
