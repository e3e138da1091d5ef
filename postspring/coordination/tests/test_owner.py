"""The owner's decisions about calls, without I/O and clocks."""

from postspring import coordination
from postspring.coordination.tests import owner_case
from postspring import programs

Reason = coordination.RefusalReason
Ran = coordination.Ran


class ModelCallTest(owner_case.OwnerCase):
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


class BudgetTest(owner_case.OwnerCase):
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


class ToolCallTest(owner_case.OwnerCase):
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


class BadRequestTest(owner_case.OwnerCase):
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
