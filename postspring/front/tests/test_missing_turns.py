"""A VM answers 404 for a turn only if the turn certainly does not exist.

A turn completed in an isolated data centre, and a VM elsewhere answered 404
for the next turn: only the isolated VMs held the turn, and their silence was
taken for a "no".  That happened because they were fewer than the VMs that hold
a turn, and later because the partition outlasted their entries in the member
list, so that they were not asked at all.
"""

import dataclasses
from unittest import mock

from postspring.front import node as node_module
from postspring import histories
from postspring.peering import isolation
from postspring.peering import member_entries
from postspring.peering import members
from postspring.testing.fleet import case
from postspring.testing.fleet import fleet as fleet_module

# Nothing listens here.
NOWHERE = ("127.0.0.1", 1)
TURN = histories.TurnRef("p1", "a")


class AbsenceCase(case.FleetCase):
    """One VM here, two VMs there, in a data centre that can be isolated."""

    heartbeat = 0.2

    def setUp(self):
        for module, name, seconds in (
            (members, "HEARTBEAT_SECONDS", self.heartbeat),
            (members, "EXPIRY_SECONDS", 0.6),
            (isolation, "CALLER_RETRY_SECONDS", 0.0),
        ):
            patch = mock.patch.object(module, name, seconds)
            patch.start()
            self.addCleanup(patch.stop)
        super().setUp()
        self.here = self.fleet.nodes[0]
        self.there = []

    def start_there(self):
        """Start the two VMs of the other data centre."""
        for name in ("there-1", "there-2"):
            self.there.append(self.fleet.start_vm(name, data_center="z2"))
        for node in self.there:
            self.fleet.run_loop_until(lambda node=node: len(others(node)) == 2)

    def wait_until_listed(self):
        """Wait until the VM here lists both others."""
        self.fleet.run_loop_until(lambda: len(others(self.here)) == 2)

    def isolate_there(self):
        """Isolate the other data centre from the store and from here."""
        for node in self.there:
            node.store._address = NOWHERE
            make_unreachable(node, "vm0")
        for node in self.there:
            if node.vm.vm in self.here.members.by_name:
                make_unreachable(self.here, node.vm.vm)
            self.fleet.run_loop_until(
                lambda node=node: not node.log.has_direct_path
            )

    def complete_turn_there(self):
        """Complete a turn that only the VMs there hold."""
        answer = self.fleet.take_turn("a", vm=1)
        self.assertTrue(answer.complete)
        self.assertFalse(self.here.journal.known_turn(TURN))

    def continue_here(self):
        """Send the next turn to the VM here; return the status."""
        return self.fleet.take_turn("b", previous_turn="a").status


def others(node):
    """Return the names of the VMs that a VM lists."""
    return [member.name for member in node.members.others]


def make_unreachable(node, name):
    """Make another VM unreachable for a VM."""
    member = node.members.by_name[name]
    node.members.by_name[name] = dataclasses.replace(member, peers=NOWHERE)


class ExpiredVmTest(AbsenceCase):
    """The partition lasts longer than an entry in the member list."""

    def test_expired_vms_may_hold_the_turn(self):
        self.start_there()
        self.wait_until_listed()
        self.isolate_there()
        self.complete_turn_there()
        self.fleet.run_loop_until(lambda: not others(self.here))
        self.assertEqual(503, self.continue_here())

    def test_program_continues_after_the_partition(self):
        self.start_there()
        self.wait_until_listed()
        self.isolate_there()
        self.complete_turn_there()
        self.fleet.run_loop_until(lambda: not others(self.here))
        for node in self.there:
            node.store._address = self.fleet.store.address
        self.fleet.run_loop_until(
            lambda: not any(node.journal.held for node in self.there)
        )
        self.assertEqual(200, self.continue_here())


class NewVmTest(AbsenceCase):
    """VMs announce themselves after the member list was read."""

    heartbeat = 60.0

    def test_vms_that_are_not_on_the_list_yet_are_asked(self):
        self.there.append(self.fleet.start_vm("there-1", data_center="z2"))
        self.there.append(self.fleet.start_vm("there-2", data_center="z2"))
        newest = self.there[1]
        self.fleet.run_loop_until(lambda: "there-1" in others(newest))
        for node in self.there:
            make_unreachable(node, "vm0")
            node.store._address = NOWHERE
        self.fleet.run_loop_until(lambda: newest.log.is_breaker_open)
        self.assertTrue(self.fleet.take_turn("a", vm=2).complete)
        self.assertEqual([], others(self.here))
        self.assertEqual(200, self.continue_here())


class OtherProgramTest(AbsenceCase):
    """The turn that is continued belongs to another program.

    The log records where the turn stands, but has no such record yet.
    """

    def store_copy(self, node):
        """Store a copy of another program's turn on a VM."""
        claim = histories.Claim("author", 16, 1000)
        turn = histories.CompletedTurn(
            "p0", "a", claim, None, 4, b"<a>", b"w\n"
        )
        node.journal.store_replica(histories.encode_record(turn))

    def test_copy_on_another_vm(self):
        self.start_there()
        self.wait_until_listed()
        self.store_copy(self.there[0])
        self.assertEqual(200, self.continue_here())

    def test_copy_on_this_vm(self):
        self.store_copy(self.here)
        self.assertEqual(200, self.continue_here())


class LeavingVmTest(AbsenceCase):
    """A VM stops while it holds a turn that the log lacks."""

    def test_vm_stays_on_the_list_until_all_is_recorded(self):
        self.start_there()
        self.wait_until_listed()
        leaving = self.there[0]
        self.assertIsInstance(leaving, node_module.FrontNode)
        leaving.journal._held_by_ref[TURN] = mock.Mock()
        self.assertFalse(leaving.graceful_leave.advance())
        self.fleet.turn_for(0.5)
        self.assertIn("there-1", others(self.here))
        del leaving.journal._held_by_ref[TURN]
        self.fleet.run_loop_until(leaving.graceful_leave.advance)
        self.fleet.run_loop_until(lambda: "there-1" not in others(self.here))


class UnsettledTest(AbsenceCase):
    """A VM stops after a turn was broken off while the log was unavailable.

    A VM that waits for the records of complete turns only would exit, and
    the tokens that the turn had delivered would not be charged.
    """

    def end_turn(self, budget, origin):
        """End a turn that is not part of the history."""
        ticket = histories.Ticket("p1", "x", 16, budget, origin)
        self.here.journal.end_turn(ticket, 4)

    def assert_exit_waits(self):
        """Check that the VM waits until the log has the turn's tokens."""
        self.assertFalse(self.here.graceful_leave.advance())
        self.fleet.turn_for(0.5)
        self.assertFalse(self.here.graceful_leave.advance())
        self.assertFalse(self.here.graceful_leave.has_started)
        self.fleet.store.refuse = 0
        self.fleet.run_loop_until(self.here.graceful_leave.advance)
        self.assertEqual(4, self.here.journal.charged("p1"))

    def test_tokens_spent_at_a_home_are_recorded_first(self):
        self.fleet.store.refuse = 503
        self.end_turn(100, histories.Origin.OFFLINE)
        self.assert_exit_waits()

    def test_tokens_of_a_turn_without_a_budget_are_recorded_first(self):
        """Another turn of the program may have a budget."""
        self.fleet.store.refuse = 503
        self.end_turn(None, histories.Origin.RESERVE)
        self.assert_exit_waits()


class RestartedVmTest(AbsenceCase):
    """A restarted VM has lost the turns that it held.

    If it stops again it has nothing to record.  If it then left the member
    list at once, other VMs would no longer count it as restarted.
    """

    def test_restarted_vm_does_not_leave_the_list(self):
        self.start_there()
        self.wait_until_listed()
        restarted = self.there[0]
        restarted.vm = dataclasses.replace(restarted.vm, first_start=False)
        self.fleet.run_loop_until(restarted.graceful_leave.advance)
        self.fleet.turn_for(0.5)
        self.assertIn("there-1", others(self.here))
        self.assertEqual(503, self.continue_here())


class RetentionTest(AbsenceCase):
    """The configuration's retention of turns is longer than 65 s.

    A VM's memory must not count as complete after an uptime of 65 s if the
    retention is longer.
    """

    def set_uptime_after_restart(self, seconds):
        """Make the VM here look as if it restarted some time ago."""
        self.here.vm = dataclasses.replace(self.here.vm, first_start=False)
        self.here._started_at = self.here.timers.now() - seconds
        self.here.members._announced_at = self.here._started_at

    def configure(self, retention):
        """Bring a configuration with this retention into force."""
        configuration = fleet_module.default_configuration(version=2)
        for route in configuration["routes"]:
            if route.get("retention_s"):
                route["retention_s"] = retention
        self.fleet.configure(configuration)
        self.fleet.run_loop_until(lambda: self.here.configuration.version == 2)

    def test_long_retention(self):
        self.configure(300.0)
        self.set_uptime_after_restart(250.0)
        self.assertEqual(503, self.continue_here())
        self.set_uptime_after_restart(310.0)
        self.assertEqual(404, self.continue_here())

    def test_short_retention(self):
        self.configure(10.0)
        self.set_uptime_after_restart(60.0)
        self.assertEqual(503, self.continue_here())
        self.set_uptime_after_restart(70.0)
        self.assertEqual(404, self.continue_here())


class LateLeaveTest(AbsenceCase):
    """The leave of a VM is appended after the entry of its successor."""

    heartbeat = 60.0

    def read_list(self):
        """Read all announcements until now."""
        results = []
        self.here.members.refresh(
            lambda: results.append(True), lambda: results.append(False)
        )
        self.fleet.run_loop_until(lambda: results)
        self.assertEqual([True], results)

    def test_late_leave_does_not_remove_the_successor(self):
        old = self.fleet.start_vm("there-1", data_center="z2").members
        self.read_list()
        self.assertEqual(["there-1"], others(self.here))
        successor = dataclasses.replace(old.own, incarnation="there-1/next")
        results = []
        old._announce(member_entries.encode(successor), results.append)
        self.fleet.run_loop_until(lambda: results)
        old.leave()
        self.fleet.run_loop_until(lambda: old.has_left)
        self.read_list()
        self.assertEqual(["there-1"], others(self.here))

    def test_leave_removes_the_own_entry(self):
        old = self.fleet.start_vm("there-1", data_center="z2").members
        self.read_list()
        old.leave()
        self.fleet.run_loop_until(lambda: old.has_left)
        self.read_list()
        self.assertEqual([], others(self.here))


class LateRenewalTest(AbsenceCase):
    """The renewal of a VM's entry is appended after its leave.

    A VM that it lists again would expire later and count as unreachable for
    a long time.
    """

    def test_late_renewal_does_not_list_the_vm_again(self):
        self.start_there()
        self.wait_until_listed()
        left = self.there[0].members
        left.leave()
        self.fleet.run_loop_until(lambda: left.has_left)
        results = []
        left._announce(left.own_entry, results.append)
        self.fleet.run_loop_until(lambda: results)
        self.fleet.turn_for(1.5)
        self.assertEqual([], self.here.members.absent)
        self.assertNotIn("there-1", others(self.here))


class DeadlineTest(AbsenceCase):
    """The answers that a 404 waits for do not arrive in time.

    Each step has a timeout of its own; without a deadline for all of them a
    turn that has not been sent to an upstream would wait for their sum.
    """

    def test_turn_is_refused_at_its_deadline(self):
        self.here.members.refresh = lambda on_done, on_error: None
        answer = self.fleet.take_turn(
            "b", previous_turn="a", deadline_ms="500"
        )
        self.assertEqual(503, answer.status)
        reasons = {reason for reason, ran in self.here.metrics.refusal_counts}
        self.assertEqual({"timed_out_unsent"}, reasons)


class MissingTurnTest(AbsenceCase):
    """Turns that certainly do not exist are answered 404."""

    def test_turn_that_never_existed(self):
        self.start_there()
        self.wait_until_listed()
        self.assertEqual(404, self.continue_here())

    def test_turn_that_never_existed_after_vms_have_left(self):
        self.start_there()
        self.wait_until_listed()
        for node in self.there:
            self.fleet.run_loop_until(node.graceful_leave.advance)
        self.fleet.run_loop_until(lambda: not others(self.here))
        self.assertEqual(404, self.continue_here())
