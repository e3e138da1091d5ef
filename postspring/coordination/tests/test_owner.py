"""The owner's decisions, without I/O and clocks."""

import unittest

from postspring import coordination
from postspring.coordination.tests import harness
from postspring import ownership
from postspring import programs

Reason = coordination.RefusalReason
Ran = coordination.Ran


class OwnerCase(unittest.TestCase):
    """An owner with one program."""

    def setUp(self):
        self.bench = harness.OwnerHarness()
        self.program = self.bench.create()

    def assert_refused(self, number, reason, ran=Ran.NOT_RUN):
        """Check that a request was refused so."""
        reply = self.bench.reply(number)
        self.assertIsInstance(reply, coordination.Refused)
        self.assertEqual((reason, ran), (reply.reason, reply.ran))
        return reply

    def granted(self, number):
        """Return the grant that a request was answered with."""
        reply = self.bench.reply(number)
        self.assertIsInstance(reply, coordination.Grant)
        return reply

    def answer_model_call(self, step=1, **options):
        """Run a model call to its end; return the answered turn."""
        call = self.bench.model_call(self.program, step, **options)
        number = self.bench.ask(call)
        self.bench.log()
        done = self.bench.finish(self.granted(number))
        self.bench.log()
        return self.bench.reply(done).turn


class ModelCallTest(OwnerCase):
    """Calls that may be repeated."""

    def test_nothing_is_dispatched_before_money_is_reserved(self):
        number = self.bench.ask(self.bench.model_call(self.program))
        self.assertIsNone(self.bench.reply(number))
        self.bench.log()
        grant = self.granted(number)
        self.assertLessEqual(
            grant.cost_bound, self.bench.account(self.program).reserved
        )

    def test_the_answer_waits_for_the_log(self):
        number = self.bench.ask(self.bench.model_call(self.program))
        self.bench.log()
        done = self.bench.finish(self.granted(number))
        self.assertIsNone(self.bench.reply(done))
        self.bench.log()
        answered = self.bench.reply(done)
        self.assertFalse(answered.held)
        self.assertEqual(15, answered.turn.cost)

    def test_the_second_call_needs_no_reservation_in_the_log(self):
        self.answer_model_call()
        number = self.bench.ask(self.bench.model_call(self.program, 2))
        self.granted(number)

    def test_the_prompt_is_the_whole_history(self):
        self.answer_model_call(text="one")
        number = self.bench.ask(
            self.bench.model_call(self.program, 2, text="two")
        )
        prompt = self.granted(number).prompt.decode()
        self.assertLess(prompt.index("one"), prompt.index("two"))
        self.assertIn("assistant", prompt)

    def test_a_repeated_step_gets_the_first_answer(self):
        turn = self.answer_model_call()
        number = self.bench.ask(self.bench.model_call(self.program))
        self.assertEqual(turn, self.bench.reply(number).turn)

    def test_another_request_in_the_same_step_is_refused(self):
        self.answer_model_call()
        call = self.bench.model_call(self.program, text="other")
        self.assert_refused(self.bench.ask(call), Reason.STEP_CONFLICT)

    def test_a_step_too_far_ahead_is_refused(self):
        call = self.bench.model_call(self.program, 40)
        self.assert_refused(self.bench.ask(call), Reason.STEP_GAP)

    def test_steps_ahead_wait_and_run_in_order(self):
        second = self.bench.ask(self.bench.model_call(self.program, 2))
        self.bench.log()
        self.assertIsNone(self.bench.reply(second))
        self.answer_model_call()
        self.bench.log()
        self.assertEqual(2, self.granted(second).step)

    def test_a_wrong_parent_is_refused(self):
        self.answer_model_call()
        call = self.bench.model_call(self.program, 2, parent=b"stale")
        self.assert_refused(self.bench.ask(call), Reason.PARENT_MISMATCH)

    def test_two_callers_of_one_step_get_the_same_answer(self):
        first = self.bench.ask(self.bench.model_call(self.program))
        second = self.bench.ask(self.bench.model_call(self.program), "vm-3")
        self.bench.log()
        grant = self.granted(first)
        self.assertIsNone(self.bench.reply(second))
        done = self.bench.finish(grant)
        self.bench.log()
        turn = self.bench.reply(done).turn
        self.assertEqual(turn, self.bench.reply(second).turn)

    def test_a_broken_attempt_is_tried_on_another_engine(self):
        number = self.bench.ask(self.bench.model_call(self.program))
        self.bench.log()
        first = self.granted(number)
        again = self.bench.lose(first, sent=True)
        self.bench.log()
        second = self.granted(again)
        self.assertNotEqual(first.upstream, second.upstream)
        self.assertEqual(1, self.bench.owner.retries_by_reason.total())

    def test_when_attempts_run_out_it_may_have_run(self):
        number = self.bench.ask(self.bench.model_call(self.program))
        self.bench.log()
        for _ in range(3):
            number = self.bench.lose(self.granted(number), sent=True)
            self.bench.log()
        self.assert_refused(number, Reason.UPSTREAM_FAILED, Ran.UNKNOWN)

    def test_attempts_that_never_left_did_not_run(self):
        number = self.bench.ask(self.bench.model_call(self.program))
        self.bench.log()
        for _ in range(3):
            number = self.bench.lose(self.granted(number), sent=False)
            self.bench.log()
        self.assert_refused(number, Reason.UPSTREAM_FAILED, Ran.NOT_RUN)

    def test_a_lost_vm_s_attempt_goes_to_the_next_who_asked(self):
        self.bench.ask(self.bench.model_call(self.program), "vm-2")
        second = self.bench.ask(self.bench.model_call(self.program), "vm-3")
        self.bench.log()
        self.bench.owner.on_peer_lost("vm-2", self.bench.now)
        self.bench.collect()
        self.bench.log()
        self.granted(second)

    def test_a_late_answer_of_a_lost_attempt_still_counts(self):
        number = self.bench.ask(self.bench.model_call(self.program), "vm-2")
        self.bench.log()
        grant = self.granted(number)
        self.bench.owner.on_peer_lost("vm-2", self.bench.now)
        done = self.bench.finish(grant)
        self.bench.log()
        self.assertEqual(1, self.bench.reply(done).turn.step)


class BudgetTest(OwnerCase):
    """Never past the budget."""

    def test_a_call_that_might_pass_the_budget_is_refused(self):
        program = self.bench.create(budget=30)
        number = self.bench.ask(self.bench.model_call(program))
        self.assert_refused(number, Reason.OVER_BUDGET)

    def test_sub_agents_share_the_budget(self):
        root = self.bench.create(budget=150)
        agents = [
            self.bench.create(parent=root, service="agentes") for _ in range(5)
        ]
        numbers = [
            self.bench.ask(self.bench.model_call(agent)) for agent in agents
        ]
        self.bench.log()
        replies = [self.bench.reply(number) for number in numbers]
        grants = [
            reply for reply in replies if isinstance(reply, coordination.Grant)
        ]
        self.assertLessEqual(sum(g.cost_bound for g in grants), 150)
        account = self.bench.account(root)
        self.assertLessEqual(account.spent + account.reserved, 150)
        refused = [
            reply.reason
            for reply in replies
            if isinstance(reply, coordination.Refused)
        ]
        self.assertEqual({Reason.OVER_BUDGET}, set(refused))

    def test_a_budget_over_the_service_s_bound_is_refused(self):
        number = self.bench.ask(
            coordination.CreateProgram(
                slot=0, service="agentes", budget=60_000
            )
        )
        self.assert_refused(number, Reason.BUDGET_TOO_LARGE)

    def test_the_cost_of_lost_attempts_stays_charged_at_the_end(self):
        number = self.bench.ask(self.bench.model_call(self.program))
        self.bench.log()
        lost = self.granted(number)
        self.bench.lose(lost, sent=True)
        self.bench.log()
        self.bench.ask(coordination.EndProgram(program=self.program))
        self.bench.log()
        account = self.bench.account(self.program)
        self.assertGreaterEqual(account.spent, lost.cost_bound)
        self.assertEqual(0, account.reserved)


class ToolCallTest(OwnerCase):
    """Calls that may not be repeated."""

    def test_dispatch_waits_for_the_counted_intent(self):
        self.bench.ask(self.bench.tool_call(self.program))
        self.assertEqual([], self.bench.runs)
        self.bench.log()
        self.assertEqual(1, len(self.bench.runs))

    def test_a_lost_answer_is_unknown_and_never_run_again(self):
        number = self.bench.ask(self.bench.tool_call(self.program))
        self.bench.log()
        self.bench.lose(self.bench.runs[0], sent=True)
        self.bench.log()
        turn = self.bench.reply(number).turn
        self.assertEqual(programs.TurnStatus.UNKNOWN, turn.status)
        again = self.bench.ask(self.bench.tool_call(self.program))
        self.bench.log()
        self.assertEqual(turn, self.bench.reply(again).turn)
        self.assertEqual(1, len(self.bench.runs))

    def test_a_refused_connection_is_tried_again(self):
        number = self.bench.ask(self.bench.tool_call(self.program))
        self.bench.log()
        self.bench.lose(self.bench.runs[0], sent=False)
        self.bench.log()
        self.assertEqual(2, len(self.bench.runs))
        self.bench.finish(self.bench.runs[1], b'{"order":1}')
        self.bench.log()
        self.assertEqual(b'{"order":1}', self.bench.reply(number).turn.answer)

    def test_a_key_with_another_request_is_refused(self):
        self.bench.ask(self.bench.tool_call(self.program))
        self.bench.log()
        self.bench.finish(self.bench.runs[0], b"{}")
        self.bench.log()
        other = self.bench.tool_call(self.program, 2, request=b"{}")
        self.assert_refused(self.bench.ask(other), Reason.KEY_REUSED)

    def test_without_the_log_it_is_refused_as_not_run(self):
        self.bench.owner.log_up = False
        number = self.bench.ask(self.bench.tool_call(self.program))
        reply = self.assert_refused(number, Reason.LOG_UNAVAILABLE)
        self.assertIsNotNone(reply.retry_after_ms)

    def test_a_refused_call_never_runs_when_its_intent_counts_late(self):
        number = self.bench.ask(self.bench.tool_call(self.program))
        self.bench.owner.log_up = False
        self.bench.pass_time(2)
        self.assert_refused(number, Reason.LOG_UNAVAILABLE)
        self.bench.owner.log_up = True
        self.bench.log()
        self.assertEqual([], self.bench.runs)
        program = self.bench.fold.program(self.program, 0)
        self.assertIsNone(program.open_intent)
        again = self.bench.ask(self.bench.tool_call(self.program))
        self.bench.log()
        self.assertEqual(1, len(self.bench.runs))
        self.assertIsNone(self.bench.reply(again))


class TakeoverTest(OwnerCase):
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


class HeldTurnTest(OwnerCase):
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


class EndTest(OwnerCase):
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


class ReleaseTest(OwnerCase):
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


class BadRequestTest(OwnerCase):
    """Requests that can't be taken."""

    def test_unknown_programs_and_services(self):
        ghost = self.program[:-4] + "0000"
        number = self.bench.ask(self.bench.model_call(ghost))
        self.assert_refused(number, Reason.UNKNOWN_PROGRAM)
        number = self.bench.ask(
            coordination.CreateProgram(slot=0, service="none")
        )
        self.assert_refused(number, Reason.UNKNOWN_SERVICE)

    def test_another_service_s_program(self):
        call = self.bench.model_call(self.program, service="other")
        self.assert_refused(self.bench.ask(call), Reason.NOT_PERMITTED)

    def test_a_model_that_the_service_lacks(self):
        call = self.bench.model_call(self.program, target="none")
        self.assert_refused(self.bench.ask(call), Reason.UNKNOWN_TARGET)

    def test_too_many_programs_of_a_service(self):
        made = [self.bench.create() for _ in range(11)]
        number = self.bench.ask(
            coordination.CreateProgram(slot=0, service="agentes")
        )
        reply = self.assert_refused(number, Reason.TOO_MANY_PROGRAMS)
        self.assertIsNotNone(reply.retry_after_ms)
        self.bench.ask(coordination.EndProgram(program=made[0]))
        self.bench.log()
        self.bench.create()

    def test_a_creation_with_a_known_key_finds_the_first(self):
        first = self.bench.create(key="x")
        self.assertEqual(first, self.bench.create(key="x"))

    def test_a_call_that_waits_too_long_is_refused(self):
        for upstream in self.bench.pool.upstream_by_id.values():
            upstream.concurrency = 1
            upstream.in_flight = 1
        call = self.bench.model_call(self.program, timeout_ms=3000)
        number = self.bench.ask(call)
        self.bench.log()
        self.bench.pass_time(4)
        self.assert_refused(number, Reason.DEADLINE_EXCEEDED)
