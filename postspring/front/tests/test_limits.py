"""Workspaces' limits over several VMs, with sockets."""

from postspring.front.tests import test_workspaces
from postspring.quotas import dealer as dealer_module

RATE = 2.0
BURST = 4.0
# Requests in any five seconds.
MOST = 14
# Seconds after which a VM deals like any other.
LONG = dealer_module.SETTLE_SECONDS + 60.0


class LimitsCase(test_workspaces.WorkspacesCase):
    """A fleet whose VMs have been on the list for long."""

    vms = 2

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            dealer = node.permits._dealer
            dealer._listed_seconds = lambda: LONG
            dealer._started_at -= LONG
        self.configure(
            test_workspaces.with_workspaces(3, rate_per_s=RATE, burst=BURST)
        )
        self.fleet.turn_until(
            lambda: all(
                len(node.members.by_name) == self.vms
                for node in self.fleet.nodes
            )
        )

    def call_all(self, count):
        """Make calls one after the other, by all VMs; return the answers."""
        return [
            self.call("safe", f"r{number}", vm=number % self.vms)
            for number in range(count)
        ]


class LimitTest(LimitsCase):
    """What a limit allows, and what it does not."""

    def test_all_vms_share_one(self):
        answers = self.call_all(30)
        served = [item for item in answers if item.status == 200]
        self.assertEqual(MOST, len(served))
        refused = [item for item in answers if item.status != 200]
        for answer in refused:
            self.assertEqual(429, answer.status)
            self.assertGreater(float(answer.headers["retry-after"]), 0.0)

    def test_what_is_refused_did_not_run(self):
        answers = self.call_all(20)
        served = sum(item.status == 200 for item in answers)
        self.assertEqual(served, len(self.runs))

    def test_what_is_refused_for_another_reason_does_not_count(self):
        for tool in self.fleet.tools:
            self.fleet.announce(tool, "tools", "draining")
        directory = self.fleet.nodes[0].directory
        self.fleet.turn_until(lambda: not directory.usable("tools"))
        for number in range(2 * MOST):
            answer = self.call("safe", f"n{number}")
            self.assertEqual(503, answer.status)

    def test_turns_of_a_program_that_has_spent_its_budget_do_not(self):
        turn = {"token_budget": "16", "token_usage": "100,16"}
        self.assertEqual(200, self.call("turn", "t0", **turn).status)
        for number in range(2 * MOST):
            answer = self.call("turn", f"s{number}", **turn)
            self.assertEqual(402, answer.status)
        self.assertEqual(200, self.call("safe", "after").status)

    def test_another_workspace_is_not_held_up(self):
        self.call_all(20)
        answer = self.call("safe", "o", test_workspaces.OTHER_KEY)
        self.assertEqual(200, answer.status)

    def test_a_higher_limit_serves_at_once(self):
        self.call_all(10)
        self.configure(test_workspaces.with_workspaces(4, rate_per_s=1e6))
        self.fleet.turn_for(1.1)
        answers = self.call_all(10)
        self.assertEqual([200] * 10, [item.status for item in answers])


class DealerGoneTest(LimitsCase):
    """The VM that deals a limit out is killed."""

    vms = 3

    def test_another_one_deals(self):
        self.configure(
            test_workspaces.with_workspaces(4, rate_per_s=30, burst=30)
        )
        self.call_all(3)
        node = self.fleet.nodes[0]
        place = node.vm.data_center
        first = node.permits.dealers("acme", place)[0].name
        gone = next(n for n in self.fleet.nodes if n.vm.vm == first)
        self.fleet.stop_vm(gone)
        self.call("safe", "while", vm=0)
        self.fleet.turn_for(0.3)
        self.assertEqual(200, self.call("safe", "after", vm=0).status)


class StartTest(test_workspaces.WorkspacesCase):
    """All VMs have just started: nobody is settled."""

    def test_somebody_deals(self):
        limited = test_workspaces.with_workspaces(3, rate_per_s=100, burst=4)
        self.configure(limited)
        self.call("safe", "first")
        self.fleet.turn_for(0.1)
        self.assertEqual(200, self.call("safe", "second").status)
