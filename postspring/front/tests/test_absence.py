"""Whether a VM may say that there is no such turn.

Seen: a turn was answered whole in a data centre that was cut off, and the
next one, at a VM elsewhere, was answered 404.  The turn was kept only by the
VMs behind the cut.  Elsewhere they had not been heard, and that was taken for
a "no": first since they were fewer than the VMs that keep a turn; later, in a
cut longer than the expiry of a VM's entry, since they had dropped off the
list and were not asked at all.  Played days with such cuts showed both, the
second one on code that no longer had the first.
"""

import dataclasses
from unittest import mock

from postspring.front import node as node_module
from postspring import histories
from postspring.peering import isolation
from postspring.peering import members
from postspring.testing.fleet import case
from postspring.testing.fleet import fleet as fleet_module

# Nothing listens here.
NOWHERE = ("127.0.0.1", 1)
TURN = histories.TurnRef("p1", "a")


class AbsenceCase(case.FleetCase):
    """One VM here, two in a data centre that can be cut off."""

    heartbeat = 0.2

    def setUp(self):
        for module, name, seconds in (
            (members, "HEARTBEAT_SECONDS", self.heartbeat),
            (members, "EXPIRY_SECONDS", 0.6),
            (isolation, "SENT_AWAY_SECONDS", 0.0),
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
            self.fleet.turn_until(lambda node=node: len(others(node)) == 2)

    def meet(self):
        """Wait until all VMs know each other."""
        self.fleet.turn_until(lambda: len(others(self.here)) == 2)

    def cut_off(self):
        """Cut the other data centre off from the store and from here."""
        for node in self.there:
            node.store._address = NOWHERE
            hide(node, "vm0")
        for node in self.there:
            if node.vm.vm in self.here.members.by_name:
                hide(self.here, node.vm.vm)
            self.fleet.turn_until(lambda node=node: not node.log.is_direct)

    def whole_turn_there(self):
        """Let a turn end there, and be kept there only."""
        answer = self.fleet.take_turn("a", vm=1)
        self.assertTrue(answer.whole)
        self.assertFalse(self.here.journal.known_turn(TURN))

    def go_on_here(self):
        """Ask for the next turn here; return the status."""
        return self.fleet.take_turn("b", previous_turn="a").status


def others(node):
    """Return the names of the VMs that a VM lists."""
    return [member.name for member in node.members.others]


def hide(node, name):
    """Let one VM not reach another."""
    member = node.members.by_name[name]
    node.members.by_name[name] = dataclasses.replace(member, peers=NOWHERE)


class ExpiredVmTest(AbsenceCase):
    """The cut lasts longer than an entry in the list of VMs."""

    def test_vms_that_expired_are_not_gone(self):
        self.start_there()
        self.meet()
        self.cut_off()
        self.whole_turn_there()
        self.fleet.turn_until(lambda: not others(self.here))
        self.assertEqual(503, self.go_on_here())

    def test_it_goes_on_when_the_cut_is_over(self):
        self.start_there()
        self.meet()
        self.cut_off()
        self.whole_turn_there()
        self.fleet.turn_until(lambda: not others(self.here))
        for node in self.there:
            node.store._address = self.fleet.store.address
        self.fleet.turn_until(
            lambda: not any(node.journal.held for node in self.there)
        )
        self.assertEqual(200, self.go_on_here())


class NewVmTest(AbsenceCase):
    """VMs that have announced themselves since the list was read."""

    heartbeat = 60.0

    def test_vms_that_are_not_on_the_list_yet(self):
        self.there.append(self.fleet.start_vm("there-1", data_center="z2"))
        self.there.append(self.fleet.start_vm("there-2", data_center="z2"))
        newest = self.there[1]
        self.fleet.turn_until(lambda: "there-1" in others(newest))
        for node in self.there:
            hide(node, "vm0")
            node.store._address = NOWHERE
        self.fleet.turn_until(lambda: newest.log.is_broken)
        self.assertTrue(self.fleet.take_turn("a", vm=2).whole)
        self.assertEqual([], others(self.here))
        self.assertEqual(200, self.go_on_here())


class OtherProgramTest(AbsenceCase):
    """The turn that is continued belongs to another program.

    Where it stands is told by the log; it is not in the log yet.
    """

    def keep(self, node):
        """Let a VM keep a copy of a turn of another program."""
        claim = histories.Claim("author", 16, 1000)
        turn = histories.WholeTurn("p0", "a", claim, None, 4, b"<a>", b"w\n")
        node.journal.keep_copy(histories.encode_record(turn))

    def test_it_is_kept_elsewhere(self):
        self.start_there()
        self.meet()
        self.keep(self.there[0])
        self.assertEqual(200, self.go_on_here())

    def test_it_is_kept_here(self):
        self.keep(self.here)
        self.assertEqual(200, self.go_on_here())


class LeavingVmTest(AbsenceCase):
    """A VM ends while it keeps what is not in the log."""

    def test_it_stays_on_the_list(self):
        self.start_there()
        self.meet()
        leaving = self.there[0]
        self.assertIsInstance(leaving, node_module.FrontNode)
        leaving.journal._held_by_ref[TURN] = mock.Mock()
        self.assertFalse(leaving.graceful_leave.advance())
        self.fleet.turn_for(0.5)
        self.assertIn("there-1", others(self.here))
        del leaving.journal._held_by_ref[TURN]
        self.fleet.turn_until(leaving.graceful_leave.advance)
        self.fleet.turn_until(lambda: "there-1" not in others(self.here))


class UnsettledTest(AbsenceCase):
    """A VM ends with a turn that was broken off while the log was away.

    Found by reading: it waited for whole turns only, and what the turn had
    handed out was charged nowhere when the VM had gone.
    """

    def end(self, budget, origin):
        """Settle a turn that is no part of the history."""
        ticket = histories.Ticket("p1", "x", 16, budget, origin)
        self.here.journal.end_turn(ticket, 4)

    def assert_waits(self):
        """The VM waits until the log has the turn's tokens."""
        self.assertFalse(self.here.graceful_leave.advance())
        self.fleet.turn_for(0.5)
        self.assertFalse(self.here.graceful_leave.advance())
        self.assertFalse(self.here.graceful_leave.has_started)
        self.fleet.store.refuse = 0
        self.fleet.turn_until(self.here.graceful_leave.advance)
        self.assertEqual(4, self.here.journal.charged("p1"))

    def test_tokens_of_a_home_are_recorded_first(self):
        self.fleet.store.refuse = 503
        self.end(100, histories.Origin.HOME)
        self.assert_waits()

    def test_tokens_of_a_turn_without_a_budget_are_recorded_first(self):
        """Another turn of the program may have one."""
        self.fleet.store.refuse = 503
        self.end(None, histories.Origin.RESERVE)
        self.assert_waits()


class RestartedVmTest(AbsenceCase):
    """A VM that was restarted has forgotten what it kept.

    Found by the model of the claim: it has nothing to record, leaves the
    list at once, and nobody counts it as restarted any more.
    """

    def test_it_does_not_leave_the_list(self):
        self.start_there()
        self.meet()
        restarted = self.there[0]
        restarted.vm = dataclasses.replace(restarted.vm, first_start=False)
        self.fleet.turn_until(restarted.graceful_leave.advance)
        self.fleet.turn_for(0.5)
        self.assertIn("there-1", others(self.here))
        self.assertEqual(503, self.go_on_here())


class RetentionTest(AbsenceCase):
    """Turns are kept for longer than 65 s, as the configuration says.

    A VM counted as one that knows all that began here after 65 s, whatever
    the retention.  Found by reading.
    """

    def restarted_for(self, seconds):
        """Let the VM here have been restarted some time ago."""
        self.here.vm = dataclasses.replace(self.here.vm, first_start=False)
        self.here._started_at = self.here.timers.now() - seconds
        self.here.members._announced_at = self.here._started_at

    def configure(self, retention):
        """Put a configuration with this retention in force."""
        configuration = fleet_module.default_configuration(version=2)
        for route in configuration["routes"]:
            if route.get("retention_s"):
                route["retention_s"] = retention
        self.fleet.configure(configuration)
        self.fleet.turn_until(lambda: self.here.configuration.version == 2)

    def test_a_long_retention(self):
        self.configure(300.0)
        self.restarted_for(250.0)
        self.assertEqual(503, self.go_on_here())
        self.restarted_for(310.0)
        self.assertEqual(404, self.go_on_here())

    def test_a_short_one(self):
        self.configure(10.0)
        self.restarted_for(60.0)
        self.assertEqual(503, self.go_on_here())
        self.restarted_for(70.0)
        self.assertEqual(404, self.go_on_here())


class LateLeaveTest(AbsenceCase):
    """An entry of leaving comes behind that of the VM's successor."""

    heartbeat = 60.0

    def read_list(self):
        """Read what was announced until now."""
        heard = []
        self.here.members.refresh(
            lambda: heard.append(True), lambda: heard.append(False)
        )
        self.fleet.turn_until(lambda: heard)
        self.assertEqual([True], heard)

    def test_it_does_not_strike_the_successor(self):
        old = self.fleet.start_vm("there-1", data_center="z2").members
        self.read_list()
        self.assertEqual(["there-1"], others(self.here))
        successor = dataclasses.replace(old.own, incarnation="there-1/next")
        heard = []
        old._announce(members._encode(successor), heard.append)
        self.fleet.turn_until(lambda: heard)
        old.leave()
        self.fleet.turn_until(lambda: old.has_left)
        self.read_list()
        self.assertEqual(["there-1"], others(self.here))

    def test_it_strikes_its_own(self):
        old = self.fleet.start_vm("there-1", data_center="z2").members
        self.read_list()
        old.leave()
        self.fleet.turn_until(lambda: old.has_left)
        self.read_list()
        self.assertEqual([], others(self.here))


class LateRenewalTest(AbsenceCase):
    """The renewal of a VM that has left comes late.

    It would expire then, and count as not heard for long.
    """

    def test_it_does_not_list_it_again(self):
        self.start_there()
        self.meet()
        left = self.there[0].members
        left.leave()
        self.fleet.turn_until(lambda: left.has_left)
        heard = []
        left._announce(left.own_entry, heard.append)
        self.fleet.turn_until(lambda: heard)
        self.fleet.turn_for(1.5)
        self.assertEqual([], self.here.members.absent)
        self.assertNotIn("there-1", others(self.here))


class DeadlineTest(AbsenceCase):
    """The answers that a 404 waits for don't come in time.

    Found by a review: each step has its own timeout, and nothing ended them
    all before a turn had been sent to an upstream.
    """

    def test_a_turn_is_refused_at_its_deadline(self):
        self.here.members.refresh = lambda on_done, on_error: None
        answer = self.fleet.take_turn(
            "b", previous_turn="a", deadline_ms="500"
        )
        self.assertEqual(503, answer.status)
        reasons = {reason for reason, ran in self.here.metrics.refusal_counts}
        self.assertEqual({"timed_out_unsent"}, reasons)


class OtherTurnsTest(AbsenceCase):
    """What must go on to work."""

    def test_a_turn_that_never_was(self):
        self.start_there()
        self.meet()
        self.assertEqual(404, self.go_on_here())

    def test_after_vms_have_left(self):
        self.start_there()
        self.meet()
        for node in self.there:
            self.fleet.turn_until(node.graceful_leave.advance)
        self.fleet.turn_until(lambda: not others(self.here))
        self.assertEqual(404, self.go_on_here())
