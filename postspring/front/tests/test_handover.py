"""VMs that stop while whole turns stand nowhere but in their memories.

Not shown to be what was seen (a turn that a caller had whole reached no
upstream, or was answered 404, on VMs that ran as real processes), but of its
shape: a VM that stops ends shortly before the platform kills it, also if the
log lacks what it keeps; while the log was slow or away for longer than that,
VMs restarted one after the other took every copy with them, although VMs
that stayed could have kept one.  VMs that were stopping took copies, too.
"""

import dataclasses
from unittest import mock

from postspring.front import shutdown
from postspring import histories
from postspring.peering import messages
from postspring.testing.fleet import case
from postspring import transport

GRACE_SECONDS = 1.2


class StopCase(case.FleetCase):
    """VMs that stop fast, and a store that can be away."""

    vms = 3

    def setUp(self):
        patch = mock.patch.object(shutdown, "ROTATION_SECONDS", 0.2)
        patch.start()
        self.addCleanup(patch.stop)
        super().setUp()
        for node in self.fleet.nodes:
            node.shutdown.grace = GRACE_SECONDS
            self.wait_for_others(node, self.vms - 1)

    def wait_for_others(self, node, count):
        """Wait until a VM lists so many others."""
        self.fleet.turn_until(lambda: len(node.members.others) >= count)

    def whole_turn(self, request, vm=0):
        """Let a turn be answered whole by copies alone."""
        self.fleet.store.refuse = 503
        self.assertTrue(self.fleet.take_turn(request, vm=vm).whole)

    def wait_for_end(self, node):
        """Wait until a VM that stops has ended, and end it."""
        name = node.vm.vm
        self.fleet.turn_until(lambda: name in self.fleet.stopped)
        self.fleet.stopped.remove(name)
        self.fleet.stop_vm(node)

    def start_again(self, name):
        """Start a VM again, which has forgotten everything."""
        node = self.fleet.start_vm(name)
        node.vm = dataclasses.replace(node.vm, first_start=False)
        node.shutdown.grace = GRACE_SECONDS
        return node

    def go_on(self):
        """Bring the store back; return the status of the next turn."""
        self.fleet.store.refuse = 0
        self.fleet.turn_until(
            lambda: not any(node.journal.held for node in self.fleet.nodes)
        )
        return self.fleet.take_turn("b", previous_turn="a").status


class RollTest(StopCase):
    """VMs are restarted while the store is away."""

    def test_one_after_the_other(self):
        self.whole_turn("a")
        for node in list(self.fleet.nodes):
            node.shutdown.begin()
            self.wait_for_end(node)
            self.start_again(node.vm.vm)
        self.assertEqual(200, self.go_on())

    def test_those_that_stay_have_it(self):
        """Three of four stop together, with every copy."""
        author, first, second = self.fleet.nodes
        staying = self.fleet.start_vm("staying")
        for node in (author, first, second):
            self.wait_for_others(node, 3)
        self.fleet.store.refuse = 503
        claim = histories.Claim(author.incarnation, 16, 1000)
        turn = histories.WholeTurn("p1", "a", claim, None, 4, b"<a>", b"w\n")
        data = histories.encode_record(turn)
        for node in (author, first, second):
            node.journal.keep_copy(data)
        for node in (author, first, second):
            node.shutdown.begin()
        for node in (author, first, second):
            self.wait_for_end(node)
        self.assertEqual([staying], self.fleet.nodes)
        self.assertEqual(200, self.go_on())


class KeepWhileStoppingTest(StopCase):
    """A VM that stops is asked to keep a copy."""

    def ask_to_keep(self, node):
        """Ask a VM to keep a turn; return the status."""
        claim = histories.Claim("author", 16, 1000)
        turn = histories.WholeTurn("p1", "a", claim, None, 4, b"<a>", b"w\n")
        request = messages.KeepRequest([histories.encode_record(turn)])
        heard = []
        self.fleet.nodes[0].http.send(
            messages.request_to(
                node.peers.address,
                messages.KEEP_PATH,
                messages.encode(request),
                1.0,
            ),
            transport.AnswerCollector(
                lambda status, body: heard.append(status), heard.append
            ),
        )
        self.fleet.turn_until(lambda: heard)
        return heard[0]

    def test_it_refuses(self):
        node = self.fleet.nodes[1]
        self.assertEqual(200, self.ask_to_keep(node))
        node.shutdown.begin()
        self.assertEqual(503, self.ask_to_keep(node))

    def test_others_are_asked_at_once(self):
        """Of four that are asked, all stop: the fifth one keeps it."""
        staying = [self.fleet.start_vm(f"more-{n}") for n in range(3)][-1]
        author, *stopping = self.fleet.nodes[:-1]
        self.wait_for_others(author, 5)
        for node in stopping:
            node.shutdown.begin()
        self.whole_turn("a")
        self.assertEqual(1, staying.journal.held)


class FoundWhileStoppingTest(StopCase):
    """A VM past its rotation has a turn that the log lacks, as others have.

    By reading: it told VMs that asked that it could take the next turn, or
    had its chain, and refused what they then passed on; callers that came
    again were passed on to it again, until it ended.
    """

    programs = 8

    def test_turns_are_passed_on_to_one_that_stays(self):
        stopping, staying, asked = self.fleet.nodes
        stopping.shutdown.grace = 60.0
        # It stands for one of the many that copies are not handed over to.
        asked._peer_service._takes_copies = lambda: False
        self.fleet.store.refuse = 503
        for number in range(self.programs):
            claim = histories.Claim("author", 16, 1000)
            turn = histories.WholeTurn(
                f"p{number}", f"a{number}", claim, None, 4, b"<a>", b"w\n"
            )
            for node in (stopping, staying):
                node.journal.keep_copy(histories.encode_record(turn))
        stopping.shutdown.begin()
        self.fleet.turn_until(lambda: not stopping.shutdown.takes_work)
        statuses = [
            self.fleet.take_turn(
                f"b{number}",
                previous_turn=f"a{number}",
                program_id=f"p{number}",
                vm=self.fleet.nodes.index(asked),
            ).status
            for number in range(self.programs)
        ]
        self.assertEqual([200] * self.programs, statuses)
