"""Quota allocator under any order of calls, pauses and restarts.

A workspace requests more than its limit while its quota allocator is replaced
or paused, or the limit changes.
"""

import unittest

import hypothesis
from hypothesis import strategies

from postspring import quotas
from postspring.quotas import allocator as allocator_module
from postspring import workspaces

GRANTED = quotas.PermitState.GRANTED
REFUSED = quotas.PermitState.REFUSED
NOT_READY = quotas.PermitState.NOT_READY
BEGIN_PROGRAM = quotas.PermitUse.BEGINS_PROGRAM
TOOL_CALL = quotas.PermitUse.PLAIN_CALL
# Window of the limit.
SPAN_SECONDS = 5.0


def workspace(rate=6.0, burst=6.0):
    """Return a workspace with a limit."""
    limit = workspaces.RateLimit(rate, burst)
    return workspaces.Workspace(workspaces.WorkspaceName("acme"), None, limit)


class AllocatorScenario:
    """The quota allocator of one data centre, with a simulated clock."""

    def __init__(self, parts=1):
        self.now = 100.0
        self.parts = parts
        self.granted_at = []
        self.restart()

    def restart(self):
        """Replace the allocator; the next request reports earlier permits."""
        self.allocator = quotas.QuotaAllocator(
            self.parts, SPAN_SECONDS, lambda: self.now, lambda: 60.0
        )
        self.has_to_report = True

    def wait(self, seconds):
        """Advance the clock while the allocator ticks."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + allocator_module.TICK_SECONDS)
            self.allocator.tick()

    def pause(self, seconds):
        """Advance the clock without ticks, as if the process was paused."""
        self.now += seconds
        self.has_to_report = True

    def request_permit(self, use=TOOL_CALL, limited_workspace=None, **options):
        """Request a permit."""
        ages = []
        if self.has_to_report:
            ages = [self.now - at for at in self.granted_at]
            ages = [age for age in ages if age < SPAN_SECONDS]
        options = {"is_first": True, "ages": ages} | options
        decision = self.allocator.request_permit(
            limited_workspace or workspace(), use, **options
        )
        self.has_to_report = decision.state is NOT_READY
        if decision.state is GRANTED:
            self.granted_at.append(self.now)
        return decision

    @property
    def max_in_any_span(self):
        """Maximum number of permits in any span."""
        times = self.granted_at
        return max(
            (
                sum(begin <= at < begin + SPAN_SECONDS for at in times)
                for begin in times
            ),
            default=0,
        )


EVENTS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("ask"), strategies.integers(1, 12)),
        strategies.tuples(
            strategies.just("wait"), strategies.floats(0.0, 3.0)
        ),
        strategies.tuples(
            strategies.just("pause"), strategies.floats(0.0, 4.0)
        ),
        strategies.tuples(strategies.just("restart"), strategies.none()),
    ),
    max_size=40,
)


class AnyOrderTest(unittest.TestCase):
    """Bounds that hold in any order of events."""

    @hypothesis.given(EVENTS, strategies.sampled_from([1, 3]))
    @hypothesis.settings(deadline=None, max_examples=150)
    def test_no_span_exceeds_the_part(self, events, parts):
        scenario = AllocatorScenario(parts)
        for name, value in events:
            if name == "ask":
                for _ in range(value):
                    scenario.request_permit()
            elif name == "restart":
                scenario.restart()
            else:
                getattr(scenario, name)(value)
        self.assertLessEqual(
            scenario.max_in_any_span, (6.0 * SPAN_SECONDS + 6.0) / parts
        )

    @hypothesis.given(strategies.lists(strategies.floats(0.1, 6.0)))
    @hypothesis.settings(deadline=None, max_examples=50)
    def test_a_lower_limit_counts_earlier_permits(self, rates):
        scenario = AllocatorScenario()
        scenario.wait(SPAN_SECONDS + 1.0)
        while scenario.request_permit().state is GRANTED:
            pass
        for rate in rates:
            decision = scenario.request_permit(
                limited_workspace=workspace(rate, rate)
            )
            self.assertIs(REFUSED, decision.state)


class ProgramsTest(unittest.TestCase):
    """Running programs come before new ones at the limit."""

    def test_new_programs_leave_permits_to_running_ones(self):
        scenario = AllocatorScenario()
        scenario.wait(SPAN_SECONDS + 1.0)
        while scenario.request_permit(use=BEGIN_PROGRAM).state is GRANTED:
            pass
        self.assertIs(
            GRANTED,
            scenario.request_permit(quotas.PermitUse.CONTINUES_PROGRAM).state,
        )

    def test_turns_leave_permits_to_tools(self):
        scenario = AllocatorScenario()
        scenario.wait(SPAN_SECONDS + 1.0)
        while (
            scenario.request_permit(quotas.PermitUse.CONTINUES_PROGRAM).state
            is GRANTED
        ):
            pass
        self.assertIs(GRANTED, scenario.request_permit(TOOL_CALL).state)

    def test_the_smallest_limit_admits_new_programs(self):
        scenario = AllocatorScenario(parts=3)
        small = workspace(rate=1.0, burst=1.0)
        scenario.wait(4.0)
        self.assertIs(
            GRANTED, scenario.request_permit(BEGIN_PROGRAM, small).state
        )

    def test_retry_after_the_stated_wait_succeeds(self):
        scenario = AllocatorScenario()
        scenario.wait(SPAN_SECONDS + 1.0)
        while scenario.request_permit(use=BEGIN_PROGRAM).state is GRANTED:
            pass
        decision = scenario.request_permit(use=BEGIN_PROGRAM)
        scenario.wait(decision.wait + 0.01)
        self.assertIs(
            GRANTED, scenario.request_permit(use=BEGIN_PROGRAM).state
        )


class SuccessionTest(unittest.TestCase):
    """Changes of the allocator: VMs that join, leave or are paused."""

    def test_not_ready_after_a_pause(self):
        scenario = AllocatorScenario()
        scenario.request_permit()
        scenario.wait(2.0)
        scenario.pause(3.0)
        self.assertIs(NOT_READY, scenario.request_permit().state)
        scenario.wait(allocator_module.SUSPENDED_SECONDS + 0.1)
        self.assertIs(GRANTED, scenario.request_permit().state)

    def test_a_new_vm_grants_only_if_no_allocator_is_ready(self):
        scenario = AllocatorScenario()
        scenario.allocator = quotas.QuotaAllocator(
            1, SPAN_SECONDS, lambda: scenario.now, lambda: 3.0
        )
        self.assertIs(NOT_READY, scenario.request_permit().state)
        self.assertIs(
            GRANTED, scenario.request_permit(ignore_readiness=True).state
        )

    def test_a_successor_counts_permits_of_its_predecessor(self):
        scenario = AllocatorScenario()
        scenario.wait(SPAN_SECONDS + 1.0)
        while scenario.request_permit().state is GRANTED:
            pass
        scenario.restart()
        self.assertIs(REFUSED, scenario.request_permit().state)
        scenario.wait(2.0)
        self.assertIs(REFUSED, scenario.request_permit().state)

    def test_few_permits_after_a_power_loss_of_all_vms(self):
        scenario = AllocatorScenario()
        scenario.allocator = quotas.QuotaAllocator(
            1, SPAN_SECONDS, lambda: scenario.now, lambda: 0.0
        )
        for _ in range(100):
            scenario.request_permit(ignore_readiness=True, ages=[])
        self.assertLessEqual(len(scenario.granted_at), 2)

    def test_a_workspace_without_limit_is_always_granted(self):
        scenario = AllocatorScenario()
        unlimited = workspaces.Workspace(workspaces.WorkspaceName("free"))
        self.assertIs(
            GRANTED, scenario.request_permit(limited_workspace=unlimited).state
        )


class OrderTest(unittest.TestCase):
    """The order of a workspace's allocators."""

    def vms(self, count):
        """Return some VMs of one data centre."""

        class Vm:
            def __init__(self, name):
                self.name = name
                self.data_center = "z"

        return [Vm(f"vm{number}") for number in range(count)]

    def test_the_order_of_the_list_does_not_matter(self):
        vms = self.vms(20)
        first_order = quotas.allocators_of("acme", vms, "z")
        second_order = quotas.allocators_of("acme", reversed(vms), "z")
        self.assertEqual(first_order, second_order)

    def test_a_new_vm_becomes_first_for_few_workspaces(self):
        vms = self.vms(21)
        names = [f"workspace-{number}" for number in range(200)]
        moved = sum(
            quotas.allocators_of(name, vms, "z")[0]
            is not quotas.allocators_of(name, vms[:-1], "z")[0]
            for name in names
        )
        self.assertLess(moved, 30)
