"""A VM is killed while turns run on its offline account.

Seen by callers: a looping program whose sub-agents run in parallel gets more
tokens than its budget and one more turn.  The tokens of turns that were under
way at the killed VM were charged nowhere, and those of completed turns only
once other VMs had appended their replicas.
"""

from postspring.testing.fleet import case

TOKENS_PER_EVENT = 4
# A turn of the simulated engine has four events, which is all it may have.
EVENTS = 4
CEILING = EVENTS * TOKENS_PER_EVENT
BUDGET = 20 * CEILING


class KilledOfflineVmTest(case.TurnedFleetCase):
    """Three VMs; the store is unavailable, and one VM runs the program."""

    vms = 3
    route = "stream"

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.run_loop_until(
                lambda node=node: len(node.members.others) == self.vms - 1
            )
        self.engine = self.fleet.engines[0]
        self.engine.events = EVENTS
        self.answers = []

    @property
    def tokens_delivered(self):
        """Tokens that callers got, in answers that broke off as well."""
        events = sum(answer.body.count(b"data:") for answer in self.answers)
        return events * TOKENS_PER_EVENT

    def take_turn(self, request, vm=0, **headers):
        answer = self.fleet.take_turn(
            request,
            vm,
            route=self.route,
            token_budget=str(BUDGET),
            **headers,
        )
        self.answers.append(answer)
        return answer

    def start_turns(self, count, vm=0, **headers):
        """Start turns; return when all but their last events have come."""
        self.engine.event_seconds = 0.2
        started = []
        for number in range(count):
            caller = self.fleet.caller(vm)
            fields = {
                "program_id": "p1",
                "token_usage": f"100,{CEILING}",
                "token_budget": str(BUDGET),
            } | headers
            caller.send(
                "POST",
                f"/{self.route}/x",
                self.fleet.headers(f"s{number}", fields),
                b"<s>",
            )
            started.append(caller.answer)
        self.answers += started
        self.fleet.run_loop_until(
            lambda: all(
                answer.body.count(b"data:") >= EVENTS - 1 for answer in started
            )
        )
        self.engine.event_seconds = 0.0

    def spend_rest(self, vm):
        """Take turns at a VM until the budget is spent."""
        for number in range(30):
            answer = self.take_turn(f"r{number}", vm)
            if answer.status == 402:
                return
            if answer.status != 200:
                self.fleet.turn_for(0.5)

    # Guards against tokens of turns under way that nothing charges once their
    # VM is gone.
    def test_turns_of_a_killed_vm_are_charged(self):
        self.fleet.store.refuse = 503
        first = self.take_turn("a")
        self.assertEqual(200, first.status)
        self.start_turns(8, previous_turn="a")
        before = self.tokens_delivered
        self.assertGreater(before, 6 * CEILING)
        self.fleet.stop_vm(self.fleet.nodes[0])
        self.fleet.store.refuse = 0
        for node in self.fleet.nodes:
            self.fleet.run_loop_until(lambda node=node: not node.log.is_down)
        self.spend_rest(0)
        self.assertLessEqual(self.tokens_delivered, BUDGET + CEILING)

    def spend_offline_and_die(self):
        """Spend most of the budget at the first VM, which is then killed."""
        previous = {}
        for number in range(15):
            answer = self.take_turn(f"a{number}", **previous)
            self.assertEqual(200, answer.status)
            previous = {"previous_turn": f"a{number}"}
        self.fleet.stop_vm(self.fleet.nodes[0])

    # Guards against turns opened in the log before the replicas of completed
    # ones are appended.
    def test_held_turns_of_a_killed_vm_are_charged(self):
        self.fleet.store.refuse = 503
        self.spend_offline_and_die()
        self.fleet.store.refuse = 0
        for node in self.fleet.nodes:
            self.fleet.run_loop_until(lambda node=node: not node.log.is_down)
        self.spend_rest(0)
        self.assertLessEqual(self.tokens_delivered, BUDGET + CEILING)
