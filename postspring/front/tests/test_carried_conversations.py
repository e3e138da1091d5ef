"""Programs whose callers carry the conversation: budgets and placement."""

import dataclasses

from postspring import histories
from postspring.platform import names
from postspring.testing.fleet import case

# Nothing listens here.
NOWHERE = ("127.0.0.1", 1)


class CarriedCase(case.FleetCase):
    """Turns on a route that keeps no history."""

    vms = 2
    route = "carried-stream"

    def take_turn(self, request, vm=0, **headers):
        """Take a turn, and wait until all is settled."""
        answer = self.fleet.take_turn(request, vm, route=self.route, **headers)
        self.settle()
        return answer

    def settle(self):
        """Turn the loops until the log has all tokens that turns used."""
        self.fleet.run_loop_until(
            lambda: (
                not any(node.journal.unrecorded for node in self.fleet.nodes)
            )
        )

    def append_count(self, topic):
        """Return the number of appends to topics with a name prefix."""
        prefix = f"{names.LOG_APPEND_PATH} {topic}"
        return sum(call.startswith(prefix) for call in self.fleet.store.calls)


class CarriedBudgetTest(CarriedCase):
    """Budgets hold although the caller keeps the history."""

    def test_budget_holds_across_vms(self):
        # On such a route a looping program got 4,984 tokens of a budget of
        # 864.
        statuses = [
            self.take_turn(f"t{n}", vm=n % 2, token_budget="40").status
            for n in range(8)
        ]
        # A turn uses 12 tokens; 16 have to be free before it starts.
        self.assertEqual([200] * 3 + [402] * 5, statuses)

    def test_budget_holds_after_all_vms_are_replaced(self):
        for number in range(3):
            self.take_turn(f"t{number}", token_budget="40")
        for node in list(self.fleet.nodes):
            self.fleet.stop_vm(node)
        self.fleet.start_vm("new")
        answer = self.take_turn("again", token_budget="40")
        self.assertEqual(402, answer.status)

    def test_sub_agents_share_the_budget(self):
        statuses = [
            self.take_turn(
                f"t{n}", session_id=f"line{n}", token_budget="40"
            ).status
            for n in range(5)
        ]
        self.assertEqual([200] * 3 + [402] * 2, statuses)

    def test_tokens_of_a_broken_turn_are_charged(self):
        self.fleet.engines[0].faults.cut = 1
        answer = self.take_turn("a", token_budget="19")
        self.assertFalse(answer.complete)
        answer = self.take_turn("b", token_budget="19")
        self.assertEqual(402, answer.status)

    def test_shed_turn_is_not_charged(self):
        self.fleet.engines[0].faults.shed = 99
        answer = self.take_turn("a", token_budget="16")
        self.assertEqual(503, answer.status)
        self.fleet.engines[0].faults.shed = 0
        answer = self.take_turn("b", token_budget="16")
        self.assertEqual(200, answer.status)

    def test_budget_holds_while_the_log_is_unavailable(self):
        self.take_turn("a", token_budget="40")
        self.fleet.store.refuse = 503
        answers = [
            self.fleet.take_turn(
                f"t{n}", vm=n % 2, route=self.route, token_budget="40"
            )
            for n in range(6)
        ]
        served = sum(answer.status == 200 for answer in answers)
        # A budget may be exceeded by one turn's ceiling, 16 tokens.
        self.assertLessEqual(12 * (1 + served), 40 + 16)
        self.fleet.store.refuse = 0
        self.settle()
        answer = self.take_turn("end", token_budget="40")
        served += answer.status == 200
        self.assertLessEqual(12 * (1 + served), 40 + 16)


class CarriedTurnTest(CarriedCase):
    """Records that such a turn needs, and what it does not wait for."""

    def test_body_is_forwarded_unchanged(self):
        self.take_turn("a")
        answer = self.take_turn("b", body=b"all of it")
        self.assertEqual(case.EVENTS, answer.body)
        self.assertEqual(b"all of it", self.fleet.engines[0].runs[1].body)

    def test_no_history_is_kept(self):
        self.take_turn("a", body=b"secret")
        self.assertEqual(0, self.append_count(names.LOCATIONS_TOPIC))
        node = self.fleet.nodes[0]
        self.assertEqual(0, node.journal.held)
        known = node.journal.known_turn(histories.TurnRef("p1", "a"))
        self.assertIsNone(known)

    def test_next_turn_needs_one_record(self):
        self.take_turn("a")
        before = self.append_count(names.PROGRAMS_TOPIC[:14])
        self.take_turn("b")
        after = self.append_count(names.PROGRAMS_TOPIC[:14])
        self.assertEqual(1, after - before)

    def test_end_of_the_answer_waits_for_no_record(self):
        self.take_turn("a")
        # The VM has a reserve; the turn's end is recorded afterwards.
        self.fleet.store.silent = True
        answer = self.fleet.take_turn("b", route=self.route)
        self.assertTrue(answer.complete)
        self.fleet.store.silent = False

    def test_turn_without_a_budget_is_charged(self):
        self.take_turn("a", token_budget="")
        answer = self.take_turn("b", token_budget="19")
        self.assertEqual(402, answer.status)

    def test_stopping_vm_settles_first(self):
        answer = self.fleet.take_turn("a", route=self.route, token_budget="40")
        self.assertTrue(answer.complete)
        node = self.fleet.nodes[0]
        node.shutdown.begin()
        self.fleet.run_loop_until(lambda: self.fleet.stopped)
        self.assertEqual(0, node.journal.unrecorded)


class CarriedPlacementTest(CarriedCase):
    """A session stays on the engine that has its prompt in memory."""

    engines = 4

    def engine_of(self, request):
        """Return the engine that ran a turn."""
        for engine in self.fleet.engines:
            for run in engine.runs:
                if run.header(names.REQUEST_ID) == request:
                    return engine.id
        return None

    def test_session_keeps_its_engine_across_vms(self):
        self.take_turn("t0", session_id="s")
        first = self.engine_of("t0")
        for n in range(1, 8):
            self.take_turn(f"t{n}", vm=n % 2, session_id="s")
            self.assertEqual(first, self.engine_of(f"t{n}"))

    def test_session_keeps_its_engine_after_all_vms_are_replaced(self):
        self.take_turn("t0", session_id="s")
        for node in list(self.fleet.nodes):
            self.fleet.stop_vm(node)
        self.fleet.start_vm("new")
        for n in range(3):
            self.take_turn(f"u{n}", session_id="s")
            self.assertEqual(self.engine_of("t0"), self.engine_of(f"u{n}"))

    def test_sub_agent_starts_at_the_engine_of_its_program(self):
        self.take_turn("t0", session_id="s")
        for n in range(4):
            self.take_turn(f"u{n}", vm=n % 2, session_id=f"sub{n}")
            self.assertEqual(self.engine_of("t0"), self.engine_of(f"u{n}"))


class IsolatedCarriedTest(CarriedCase):
    """A program that has spent tokens comes to an isolated data centre.

    Its turns name no previous turn, so it looked like a new program there and
    got its whole budget once more.
    """

    budget = 100
    ceiling = 16

    def setUp(self):
        super().setUp()
        self.fleet.start_vm("far", data_center="z2")
        for node in self.fleet.nodes:
            self.fleet.run_loop_until(
                lambda node=node: len(node.members.others) == 2
            )

    def isolate_near(self):
        """Isolate the two VMs of a data centre."""
        near = self.fleet.nodes[:2]
        for node in near:
            node.store._address = NOWHERE
            member = node.members.by_name["far"]
            node.members.by_name["far"] = dataclasses.replace(
                member, peers=NOWHERE
            )
        for node in near:
            self.fleet.run_loop_until(
                lambda node=node: (
                    node.isolation.is_isolated
                    and not node.isolation.callers_should_retry
                )
            )

    def spend(self, vm, name):
        """Take turns until one is refused; return the tokens."""
        for number in range(20):
            answer = self.fleet.take_turn(
                f"{name}{number}",
                vm,
                route=self.route,
                token_budget=str(self.budget),
            )
            if answer.status != 200:
                return 12 * number
        return 12 * 20

    def test_program_gets_at_most_one_more_turn(self):
        before = self.spend(2, "far")
        self.assertGreater(before, self.budget - self.ceiling - 12)
        self.isolate_near()
        after = self.spend(0, "near") + self.spend(1, "next")
        self.assertLessEqual(before + after, self.budget + self.ceiling)

    def test_program_that_starts_there_is_served(self):
        self.isolate_near()
        self.assertGreater(self.spend(0, "near"), 0)
