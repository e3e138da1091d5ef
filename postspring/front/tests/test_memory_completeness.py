"""A VM's memory must not count as complete while it lacks turns.

A VM that is started by hand or by a supervisor gets the same settings file
each time.  The file says that the system starts for the first time, so the
memory of a restarted VM counted as complete.  Also, when a VM restarted
during a long outage of the log, its memory counted as complete after its
uptime alone, before the VMs that hold copies of its turns had rejoined the
member list and recorded them.  Either fault leads to a 404 for a turn that
was answered completely.
"""

import dataclasses
from unittest import mock

from postspring.front import completeness
from postspring.testing.fleet import case


class FirstStartTest(case.FleetCase):
    """Two VMs lose power while the store is unavailable, and restart."""

    vms = 2

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.run_loop_until(lambda node=node: node.members.others)

    def test_restart_with_the_same_settings(self):
        self.fleet.store.refuse = 503
        self.assertTrue(self.fleet.take_turn("a").complete)
        for node in list(self.fleet.nodes):
            self.fleet.stop_vm(node)
        self.fleet.store.refuse = 0
        for number in range(2):
            node = self.fleet.start_vm(f"vm{number}")
            self.assertTrue(node.vm.first_start)
        self.fleet.run_loop_until(lambda: self.fleet.nodes[0].members.others)
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertEqual(503, answer.status)

    def test_first_start_has_a_complete_memory(self):
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertEqual(404, answer.status)


class LongOutageTest(case.FleetCase):
    """A VM restarts in an outage that is longer than the retention."""

    def test_memory_is_complete_some_time_after_joining_the_list(self):
        self.fleet.store.refuse = 503
        late = self.fleet.start_vm("late")
        late.vm = dataclasses.replace(late.vm, first_start=False)
        late._started_at -= 100.0
        self.assertFalse(late._has_all_recent_turns())
        self.fleet.store.refuse = 0
        self.fleet.run_loop_until(lambda: late.members.is_announced)
        self.assertFalse(late._has_all_recent_turns())
        with mock.patch.object(completeness, "MIN_LISTED_SECONDS", 0.2):
            self.fleet.run_loop_until(late._has_all_recent_turns)
