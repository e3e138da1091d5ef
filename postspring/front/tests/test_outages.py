"""The store is away, for all VMs or for one."""

from postspring.testing.fleet import case
from postspring.testing.fleet import fleet as fleet_module


class StoreOutageTest(case.FleetCase):
    """The store does not answer."""

    def test_plain_calls_go_on(self):
        self.fleet.store.refuse = 503
        answer = self.fleet.call("GET", "/safe/x", "r1")
        self.assertEqual(200, answer.status)

    def test_a_new_program_is_refused_as_not_run(self):
        self.fleet.store.refuse = 503
        answer = self.fleet.take_turn("a")
        self.assertEqual(503, answer.status)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual([], self.fleet.engines[0].runs)

    def test_it_goes_on_afterwards(self):
        self.fleet.store.refuse = 503
        self.fleet.take_turn("a")
        self.fleet.store.refuse = 0
        answer = self.fleet.take_turn("b")
        self.assertTrue(answer.whole)

    def test_lost_answers_of_appends(self):
        self.fleet.store.lose_answers = 2
        answer = self.fleet.take_turn("a")
        self.assertTrue(answer.whole)

    def test_a_vm_that_knows_nothing_is_not_ready(self):
        self.fleet.store.refuse = 503
        alone = self.fleet.nodes.pop()
        with self.assertRaises(AssertionError):
            self.fleet.start_vm("late")
        self.fleet.nodes.insert(0, alone)
        answer = self.fleet.call("GET", "/safe/x", "r", vm=1)
        self.assertEqual(503, answer.status)


class HeldTurnTest(case.FleetCase):
    """The store is away; two VMs can reach each other."""

    vms = 2

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.turn_until(lambda node=node: node.members.others)

    def test_a_new_program_begins(self):
        self.fleet.store.refuse = 503
        answer = self.fleet.take_turn("a")
        self.assertTrue(answer.whole)
        self.assertEqual(case.EVENTS, answer.body)

    def test_it_goes_on_at_the_same_vm(self):
        self.fleet.store.refuse = 503
        self.fleet.take_turn("a")
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertTrue(answer.whole)
        run = self.fleet.engines[0].runs[-1]
        self.assertEqual(b"<a>w1\nw2\nw3\n<b>", run.body)

    def test_another_vm_passes_it_on(self):
        self.fleet.store.refuse = 503
        self.fleet.take_turn("a")
        answer = self.fleet.take_turn("b", vm=1, previous_turn="a")
        self.assertTrue(answer.whole)
        run = self.fleet.engines[0].runs[-1]
        self.assertEqual(b"<a>w1\nw2\nw3\n<b>", run.body)

    def test_a_turn_that_nobody_knows_is_not_said_not_to_exist(self):
        self.fleet.store.refuse = 503
        answer = self.fleet.take_turn("b", previous_turn="x")
        self.assertEqual(503, answer.status)

    def test_the_budget_holds(self):
        self.fleet.store.refuse = 503
        states = [
            self.fleet.take_turn(
                f"t{number}", vm=number % 2, token_budget="40"
            ).status
            for number in range(6)
        ]
        self.assertEqual(3, states.count(200))

    def test_the_budget_holds_when_the_store_is_back(self):
        self.fleet.store.refuse = 503
        for number in range(3):
            self.fleet.take_turn(f"t{number}", token_budget="40")
        self.fleet.store.refuse = 0
        journals = [node.journal for node in self.fleet.nodes]
        self.fleet.turn_until(lambda: not any(j.held for j in journals))
        answer = self.fleet.take_turn("u", vm=1, token_budget="40")
        self.assertEqual(402, answer.status)

    def test_a_held_turn_is_recorded_when_the_store_is_back(self):
        self.fleet.store.refuse = 503
        self.fleet.take_turn("a")
        self.fleet.store.refuse = 0
        journals = [node.journal for node in self.fleet.nodes]
        self.fleet.turn_until(lambda: not any(j.held for j in journals))
        for node in list(self.fleet.nodes):
            self.fleet.stop_vm(node)
        self.fleet.start_vm("new")
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertTrue(answer.whole)

    def test_a_held_turn_survives_the_vm_that_answered_it(self):
        self.fleet.store.refuse = 503
        self.fleet.take_turn("a")
        self.fleet.stop_vm(self.fleet.nodes[0])
        self.fleet.store.refuse = 0
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertTrue(answer.whole)

    def test_a_program_under_way_goes_on(self):
        self.fleet.take_turn("a")
        self.fleet.store.refuse = 503
        for number in range(3):
            answer = self.fleet.take_turn(f"b{number}", previous_turn="a")
            self.assertTrue(answer.whole)

    def test_a_silent_store(self):
        self.fleet.take_turn("a")
        self.fleet.store.silent = True
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertTrue(answer.whole)
        self.fleet.store.silent = False
        journals = [node.journal for node in self.fleet.nodes]
        self.fleet.turn_until(lambda: not any(j.held for j in journals))


class LateStartTest(case.FleetCase):
    """A VM starts while the store is away."""

    def test_it_serves_by_what_another_vm_knows(self):
        self.fleet.take_turn("a")
        self.fleet.store.refuse = 503
        self.fleet.start_vm("late")
        self.assertEqual(
            200, self.fleet.call("GET", "/safe/x", "r", vm=1).status
        )
        answer = self.fleet.take_turn("b", vm=1, previous_turn="a")
        self.assertTrue(answer.whole)

    def test_it_follows_the_store_afterwards(self):
        self.fleet.store.refuse = 503
        late = self.fleet.start_vm("late")
        self.fleet.store.refuse = 0
        self.fleet.configure(fleet_module.default_configuration(5))
        self.fleet.turn_until(lambda: late.configuration.version == 5)


class HelpedVmTest(case.FleetCase):
    """One VM can't reach the store; another one can."""

    vms = 2

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.turn_until(lambda node=node: node.members.others)
        self.cut = self.fleet.nodes[0]
        self.cut.store._address = ("127.0.0.1", 1)

    def test_turns_are_recorded_by_way_of_the_other(self):
        self.assertTrue(self.fleet.take_turn("a").whole)
        self.fleet.turn_until(lambda: not self.cut.log.is_direct)
        answer = self.fleet.take_turn("b", vm=1, previous_turn="a")
        self.assertTrue(answer.whole)

    def test_the_configuration_is_followed(self):
        self.fleet.take_turn("a")
        self.fleet.configure(fleet_module.default_configuration(5))
        self.fleet.turn_until(lambda: self.cut.configuration.version == 5)

    def test_the_direct_way_is_taken_again(self):
        self.fleet.take_turn("a")
        self.cut.store._address = self.fleet.store.address
        self.fleet.turn_until(lambda: self.cut.log.is_direct)
