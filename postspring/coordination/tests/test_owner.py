"""Tests of how the owner handles calls, without I/O or clocks."""

from postspring import coordination
from postspring.coordination.tests import owner_case
from postspring import programs

Reason = coordination.RefusalReason
Ran = coordination.Ran


class ModelCallTest(owner_case.OwnerCase):
    """Model calls, which may be repeated."""

    def test_no_dispatch_before_the_cost_is_reserved(self):
        number = self.harness.send(self.harness.model_call(self.program))
        self.assertIsNone(self.harness.reply_to(number))
        self.harness.flush_log()
        grant = self.assert_granted(number)
        self.assertLessEqual(
            grant.cost_bound, self.harness.account(self.program).reserved
        )

    def test_the_answer_waits_for_the_log(self):
        number = self.harness.send(self.harness.model_call(self.program))
        self.harness.flush_log()
        finished = self.harness.finish(self.assert_granted(number))
        self.assertIsNone(self.harness.reply_to(finished))
        self.harness.flush_log()
        answered = self.harness.reply_to(finished)
        self.assertFalse(answered.held)
        self.assertEqual(15, answered.turn.cost)

    def test_the_second_call_needs_no_reservation_in_the_log(self):
        self.answer_model_call()
        number = self.harness.send(self.harness.model_call(self.program, 2))
        self.assert_granted(number)

    def test_the_prompt_is_the_whole_history(self):
        self.answer_model_call(text="one")
        number = self.harness.send(
            self.harness.model_call(self.program, 2, text="two")
        )
        prompt = self.assert_granted(number).prompt.decode()
        self.assertLess(prompt.index("one"), prompt.index("two"))
        self.assertIn("assistant", prompt)

    def test_a_repeated_step_gets_the_first_answer(self):
        turn = self.answer_model_call()
        number = self.harness.send(self.harness.model_call(self.program))
        self.assertEqual(turn, self.harness.reply_to(number).turn)

    def test_another_request_in_the_same_step_is_refused(self):
        self.answer_model_call()
        call = self.harness.model_call(self.program, text="other")
        self.assert_refused(self.harness.send(call), Reason.STEP_CONFLICT)

    def test_a_step_too_far_ahead_is_refused(self):
        call = self.harness.model_call(self.program, 40)
        self.assert_refused(self.harness.send(call), Reason.STEP_GAP)

    def test_steps_ahead_wait_and_run_in_order(self):
        second = self.harness.send(self.harness.model_call(self.program, 2))
        self.harness.flush_log()
        self.assertIsNone(self.harness.reply_to(second))
        self.answer_model_call()
        self.harness.flush_log()
        self.assertEqual(2, self.assert_granted(second).step)

    def test_a_wrong_parent_is_refused(self):
        self.answer_model_call()
        call = self.harness.model_call(self.program, 2, parent=b"stale")
        self.assert_refused(self.harness.send(call), Reason.PARENT_MISMATCH)

    def test_two_callers_of_one_step_get_the_same_answer(self):
        first = self.harness.send(self.harness.model_call(self.program))
        second = self.harness.send(
            self.harness.model_call(self.program), "vm-3"
        )
        self.harness.flush_log()
        grant = self.assert_granted(first)
        self.assertIsNone(self.harness.reply_to(second))
        finished = self.harness.finish(grant)
        self.harness.flush_log()
        turn = self.harness.reply_to(finished).turn
        self.assertEqual(turn, self.harness.reply_to(second).turn)

    def test_a_failed_attempt_is_retried_on_another_engine(self):
        number = self.harness.send(self.harness.model_call(self.program))
        self.harness.flush_log()
        first = self.assert_granted(number)
        again = self.harness.lose(first, sent=True)
        self.harness.flush_log()
        second = self.assert_granted(again)
        self.assertNotEqual(first.upstream, second.upstream)
        self.assertEqual(1, self.harness.owner.retries_by_reason.total())

    def test_a_call_may_have_run_if_all_its_attempts_were_sent(self):
        number = self.harness.send(self.harness.model_call(self.program))
        self.harness.flush_log()
        for _ in range(3):
            number = self.harness.lose(self.assert_granted(number), sent=True)
            self.harness.flush_log()
        self.assert_refused(number, Reason.UPSTREAM_FAILED, Ran.UNKNOWN)

    def test_attempts_that_were_never_sent_did_not_run(self):
        number = self.harness.send(self.harness.model_call(self.program))
        self.harness.flush_log()
        for _ in range(3):
            number = self.harness.lose(self.assert_granted(number), sent=False)
            self.harness.flush_log()
        self.assert_refused(number, Reason.UPSTREAM_FAILED, Ran.NOT_RUN)

    def test_an_attempt_of_a_lost_vm_is_granted_to_the_next_waiter(self):
        self.harness.send(self.harness.model_call(self.program), "vm-2")
        second = self.harness.send(
            self.harness.model_call(self.program), "vm-3"
        )
        self.harness.flush_log()
        self.harness.owner.on_peer_lost("vm-2", self.harness.now)
        self.harness.collect_effects()
        self.harness.flush_log()
        self.assert_granted(second)

    def test_a_late_answer_of_a_lost_attempt_still_counts(self):
        number = self.harness.send(
            self.harness.model_call(self.program), "vm-2"
        )
        self.harness.flush_log()
        grant = self.assert_granted(number)
        self.harness.owner.on_peer_lost("vm-2", self.harness.now)
        finished = self.harness.finish(grant)
        self.harness.flush_log()
        self.assertEqual(1, self.harness.reply_to(finished).turn.step)


class BudgetTest(owner_case.OwnerCase):
    """Spending stays within the budget."""

    def test_a_call_that_might_exceed_the_budget_is_refused(self):
        program = self.harness.create(budget=30)
        number = self.harness.send(self.harness.model_call(program))
        self.assert_refused(number, Reason.OVER_BUDGET)

    def test_sub_agents_share_the_budget(self):
        root = self.harness.create(budget=150)
        agents = [
            self.harness.create(parent=root, service="agentes")
            for _ in range(5)
        ]
        numbers = [
            self.harness.send(self.harness.model_call(agent))
            for agent in agents
        ]
        self.harness.flush_log()
        replies = [self.harness.reply_to(number) for number in numbers]
        grants = [
            reply for reply in replies if isinstance(reply, coordination.Grant)
        ]
        self.assertLessEqual(sum(g.cost_bound for g in grants), 150)
        account = self.harness.account(root)
        self.assertLessEqual(account.spent + account.reserved, 150)
        refused = [
            reply.reason
            for reply in replies
            if isinstance(reply, coordination.Refused)
        ]
        self.assertEqual({Reason.OVER_BUDGET}, set(refused))

    def test_a_budget_above_the_service_s_limit_is_refused(self):
        number = self.harness.send(
            coordination.CreateProgram(
                slot=0, service="agentes", budget=60_000
            )
        )
        self.assert_refused(number, Reason.BUDGET_TOO_LARGE)

    def test_the_cost_of_lost_attempts_stays_charged_at_the_end(self):
        number = self.harness.send(self.harness.model_call(self.program))
        self.harness.flush_log()
        lost = self.assert_granted(number)
        self.harness.lose(lost, sent=True)
        self.harness.flush_log()
        self.harness.send(coordination.EndProgram(program=self.program))
        self.harness.flush_log()
        account = self.harness.account(self.program)
        self.assertGreaterEqual(account.spent, lost.cost_bound)
        self.assertEqual(0, account.reserved)


class ToolCallTest(owner_case.OwnerCase):
    """Tool calls that may not be repeated."""

    def test_dispatch_waits_for_the_counted_intent(self):
        self.harness.send(self.harness.tool_call(self.program))
        self.assertEqual([], self.harness.local_grants)
        self.harness.flush_log()
        self.assertEqual(1, len(self.harness.local_grants))

    def test_a_lost_answer_is_unknown_and_never_run_again(self):
        number = self.harness.send(self.harness.tool_call(self.program))
        self.harness.flush_log()
        self.harness.lose(self.harness.local_grants[0], sent=True)
        self.harness.flush_log()
        turn = self.harness.reply_to(number).turn
        self.assertEqual(programs.TurnStatus.UNKNOWN, turn.status)
        again = self.harness.send(self.harness.tool_call(self.program))
        self.harness.flush_log()
        self.assertEqual(turn, self.harness.reply_to(again).turn)
        self.assertEqual(1, len(self.harness.local_grants))

    def test_an_attempt_that_was_never_sent_is_retried(self):
        number = self.harness.send(self.harness.tool_call(self.program))
        self.harness.flush_log()
        self.harness.lose(self.harness.local_grants[0], sent=False)
        self.harness.flush_log()
        self.assertEqual(2, len(self.harness.local_grants))
        self.harness.finish(self.harness.local_grants[1], b'{"order":1}')
        self.harness.flush_log()
        self.assertEqual(
            b'{"order":1}', self.harness.reply_to(number).turn.answer
        )

    def test_a_key_with_another_request_is_refused(self):
        self.harness.send(self.harness.tool_call(self.program))
        self.harness.flush_log()
        self.harness.finish(self.harness.local_grants[0], b"{}")
        self.harness.flush_log()
        other = self.harness.tool_call(self.program, 2, request=b"{}")
        self.assert_refused(self.harness.send(other), Reason.KEY_REUSED)

    def test_without_the_log_it_is_refused_as_not_run(self):
        self.harness.owner.log_up = False
        number = self.harness.send(self.harness.tool_call(self.program))
        reply = self.assert_refused(number, Reason.LOG_UNAVAILABLE)
        self.assertIsNotNone(reply.retry_after_ms)

    def test_a_refused_call_never_runs_when_its_intent_counts_late(self):
        number = self.harness.send(self.harness.tool_call(self.program))
        self.harness.owner.log_up = False
        self.harness.advance_time(2)
        self.assert_refused(number, Reason.LOG_UNAVAILABLE)
        self.harness.owner.log_up = True
        self.harness.flush_log()
        self.assertEqual([], self.harness.local_grants)
        program = self.harness.fold.program(self.program, 0)
        self.assertIsNone(program.open_intent)
        again = self.harness.send(self.harness.tool_call(self.program))
        self.harness.flush_log()
        self.assertEqual(1, len(self.harness.local_grants))
        self.assertIsNone(self.harness.reply_to(again))


class BadRequestTest(owner_case.OwnerCase):
    """Invalid requests, and requests beyond a limit."""

    def test_unknown_programs_and_services(self):
        unknown_program = self.program[:-4] + "0000"
        number = self.harness.send(self.harness.model_call(unknown_program))
        self.assert_refused(number, Reason.UNKNOWN_PROGRAM)
        number = self.harness.send(
            coordination.CreateProgram(slot=0, service="none")
        )
        self.assert_refused(number, Reason.UNKNOWN_SERVICE)

    def test_a_program_of_another_service(self):
        call = self.harness.model_call(self.program, service="other")
        self.assert_refused(self.harness.send(call), Reason.NOT_PERMITTED)

    def test_a_model_that_the_service_may_not_call(self):
        call = self.harness.model_call(self.program, target="none")
        self.assert_refused(self.harness.send(call), Reason.UNKNOWN_TARGET)

    def test_too_many_programs_of_a_service(self):
        created = [self.harness.create() for _ in range(11)]
        number = self.harness.send(
            coordination.CreateProgram(slot=0, service="agentes")
        )
        reply = self.assert_refused(number, Reason.TOO_MANY_PROGRAMS)
        self.assertIsNotNone(reply.retry_after_ms)
        self.harness.send(coordination.EndProgram(program=created[0]))
        self.harness.flush_log()
        self.harness.create()

    def test_creation_with_a_used_key_returns_the_first_program(self):
        first = self.harness.create(key="x")
        self.assertEqual(first, self.harness.create(key="x"))

    def test_a_call_that_waits_too_long_is_refused(self):
        for upstream in self.harness.pool.upstream_by_id.values():
            upstream.concurrency = 1
            upstream.in_flight = 1
        call = self.harness.model_call(self.program, timeout_ms=3000)
        number = self.harness.send(call)
        self.harness.flush_log()
        self.harness.advance_time(4)
        self.assert_refused(number, Reason.DEADLINE_EXCEEDED)
