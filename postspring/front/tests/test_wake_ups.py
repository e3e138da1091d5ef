"""How often a VM without work wakes up.

Guards against days of hundreds of VMs that are given up for their processor
time: each VM woke up 30 times a second with nothing to do, as each of its
periodic jobs did so on its own.
"""

from unittest import mock

from postspring.testing.fleet import case
from postspring import transport

# The most frequent job, the report of loads, needs five.  All others together
# may need as many.
MAX_WAKE_UPS_PER_SECOND = 10
SECONDS = 10.0


class WakeUpsTest(case.TurnedFleetCase):
    """VMs that have no calls; time passes by turns of their loops."""

    vms = 2

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.run_loop_until(
                lambda node=node: len(node.members.others) == self.vms - 1
            )

    def count_wake_ups(self):
        """Return the moments at which periodic jobs ran, by VM and second."""
        moments = set()
        run = transport.Timers._run

        def count(timers, handle):
            if "call_every" in getattr(handle.function, "__qualname__", ""):
                moments.add((id(timers), timers.now()))
            run(timers, handle)

        vms = {id(node.timers) for node in self.fleet.nodes}
        with mock.patch.object(transport.Timers, "_run", count):
            self.fleet.turn_for(SECONDS)
        found = [vm for vm, moment in moments if vm in vms]
        return len(found) / len(vms) / SECONDS

    # Guards against periodic jobs that each wake the process up on their own.
    def test_vm_without_work_sleeps_between_shared_wake_ups(self):
        self.assertLessEqual(self.count_wake_ups(), MAX_WAKE_UPS_PER_SECOND)


class ManyWakeUpsTest(WakeUpsTest):
    """Three times as many VMs: each wakes up as rarely."""

    vms = 6
