"""Rate limits of workspaces across several VMs, with real sockets."""

from postspring.front.tests import test_workspaces
from postspring.quotas import allocator as allocator_module

RATE = 2.0
BURST = 4.0
# Requests that the limit allows in any five seconds.
ALLOWED_REQUESTS = 14
# Seconds on the member list after which a VM allocates quota like any other.
SETTLED_SECONDS = allocator_module.SETTLE_SECONDS + 60.0


class LimitsCase(test_workspaces.WorkspacesCase):
    """A fleet whose VMs have been on the member list for long."""

    vms = 2

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            allocator = node.permits._allocator
            allocator._listed_seconds = lambda: SETTLED_SECONDS
            allocator._started_at -= SETTLED_SECONDS
        self.configure(
            test_workspaces.with_workspaces(3, rate_per_s=RATE, burst=BURST)
        )
        self.fleet.run_loop_until(
            lambda: all(
                len(node.members.by_name) == self.vms
                for node in self.fleet.nodes
            )
        )

    def call_all(self, count):
        """Send calls to all VMs in turn; return the answers."""
        return [
            self.call("safe", f"r{number}", vm=number % self.vms)
            for number in range(count)
        ]


class LimitTest(LimitsCase):
    """Calls that a limit allows and refuses."""

    def test_all_vms_share_one_limit(self):
        answers = self.call_all(30)
        served = [item for item in answers if item.status == 200]
        self.assertEqual(ALLOWED_REQUESTS, len(served))
        refused = [item for item in answers if item.status != 200]
        for answer in refused:
            self.assertEqual(429, answer.status)
            self.assertGreater(float(answer.headers["retry-after"]), 0.0)

    def test_refused_calls_do_not_run(self):
        answers = self.call_all(20)
        served = sum(item.status == 200 for item in answers)
        self.assertEqual(served, len(self.runs))

    def test_calls_refused_for_other_reasons_do_not_count(self):
        for tool in self.fleet.tools:
            self.fleet.announce(tool, "tools", "draining")
        directory = self.fleet.nodes[0].directory
        self.fleet.run_loop_until(lambda: not directory.usable("tools"))
        for number in range(2 * ALLOWED_REQUESTS):
            answer = self.call("safe", f"n{number}")
            self.assertEqual(503, answer.status)

    def test_turns_over_their_budget_do_not_count(self):
        turn = {"token_budget": "16", "token_usage": "100,16"}
        self.assertEqual(200, self.call("turn", "t0", **turn).status)
        for number in range(2 * ALLOWED_REQUESTS):
            answer = self.call("turn", f"s{number}", **turn)
            self.assertEqual(402, answer.status)
        self.assertEqual(200, self.call("safe", "after").status)

    def test_another_workspace_is_not_limited(self):
        self.call_all(20)
        answer = self.call("safe", "o", test_workspaces.OTHER_KEY)
        self.assertEqual(200, answer.status)

    def test_higher_limit_takes_effect_at_once(self):
        self.call_all(10)
        self.configure(test_workspaces.with_workspaces(4, rate_per_s=1e6))
        self.fleet.turn_for(1.1)
        answers = self.call_all(10)
        self.assertEqual([200] * 10, [item.status for item in answers])


class AllocatorFailureTest(LimitsCase):
    """The VM that allocates a limit's quota is killed."""

    vms = 3

    def test_another_vm_allocates(self):
        self.configure(
            test_workspaces.with_workspaces(4, rate_per_s=30, burst=30)
        )
        self.call_all(3)
        node = self.fleet.nodes[0]
        place = node.vm.data_center
        first = node.permits.allocators("acme", place)[0].name
        killed = next(n for n in self.fleet.nodes if n.vm.vm == first)
        self.fleet.stop_vm(killed)
        self.call("safe", "while", vm=0)
        self.fleet.turn_for(0.3)
        self.assertEqual(200, self.call("safe", "after", vm=0).status)


class StartTest(test_workspaces.WorkspacesCase):
    """All VMs have just started."""

    def test_quota_is_allocated_after_a_start(self):
        limited = test_workspaces.with_workspaces(3, rate_per_s=100, burst=4)
        self.configure(limited)
        self.call("safe", "first")
        self.fleet.turn_for(0.1)
        self.assertEqual(200, self.call("safe", "second").status)
