"""VMs that say they know all turns, and don't.

By reading, and of the shape of what was seen with VMs as real processes (a
turn that was answered whole is answered 404).  Who starts VMs by hand, or
with a supervisor, gives them the same settings file each time: it says that
the system starts for the first time, and a VM that had forgotten what it
kept was believed.  And a VM that was restarted in a long outage counted as one
that knows all after a time of its own, before VMs that keep its turns had a
chance to come back to the list and record them.
"""

import dataclasses
from unittest import mock

from postspring.front import completeness
from postspring.testing.fleet import case


class FirstStartTest(case.FleetCase):
    """Two VMs lose power while the store is away, and start again."""

    vms = 2

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.turn_until(lambda node=node: node.members.others)

    def test_the_same_settings_again(self):
        self.fleet.store.refuse = 503
        self.assertTrue(self.fleet.take_turn("a").whole)
        for node in list(self.fleet.nodes):
            self.fleet.stop_vm(node)
        self.fleet.store.refuse = 0
        for number in range(2):
            node = self.fleet.start_vm(f"vm{number}")
            self.assertTrue(node.vm.first_start)
        self.fleet.turn_until(lambda: self.fleet.nodes[0].members.others)
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertEqual(503, answer.status)

    def test_a_first_start_is_believed(self):
        answer = self.fleet.take_turn("b", previous_turn="a")
        self.assertEqual(404, answer.status)


class LongOutageTest(case.FleetCase):
    """A VM was restarted in an outage that lasts longer than turns."""

    def test_it_knows_all_only_some_time_after_it_is_on_the_list(self):
        self.fleet.store.refuse = 503
        late = self.fleet.start_vm("late")
        late.vm = dataclasses.replace(late.vm, first_start=False)
        late._started_at -= 100.0
        self.assertFalse(late._has_all_recent_turns())
        self.fleet.store.refuse = 0
        self.fleet.turn_until(lambda: late.members.is_announced)
        self.assertFalse(late._has_all_recent_turns())
        with mock.patch.object(completeness, "MIN_LISTED_SECONDS", 0.2):
            self.fleet.turn_until(late._has_all_recent_turns)
