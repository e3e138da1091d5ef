"""What questions to other VMs cost while the log is away; no network.

Pattern: a fleet of 60 VMs whose log refuses all calls for seconds, while
VMs are restarted in turn.  Seen: every turn asked all VMs, 67 of them spent
all their processor time on that, and the day was given up.  Cause: who had
let a program go on was asked for again with each turn, and nothing bounded
how much a VM asks.
"""

import types
import unittest

from postspring import forwarding
from postspring import histories
from postspring import peering
from postspring.peering import message_budget
from postspring.peering import messages
from postspring.testing.virtual import clock as clock_module

VMS = 60
TURNS_A_SECOND = 8
SECONDS = 10


def member(number):
    """Return a VM; three data centres."""
    name = f"vm{number}"
    place = f"z{number % 3}"
    return peering.Member(name, f"{name}/1", place, (name, 1), (name, 2))


class Http:
    """Carries questions: one VM can take turns, the others know nothing."""

    def __init__(self, taker=None):
        self.sent = 0
        self.taker = taker

    def send(self, request, collector):
        """Answer at once."""
        self.sent += 1
        is_taker = request.address[0] == self.taker
        found = messages.Found(is_taker, is_taker, is_taker, True)
        collector.head(200, {})
        collector.data(messages.encode(found))
        collector.end()


class QuestionsCase(unittest.TestCase):
    """One VM of many that asks."""

    def setUp(self):
        self.clock = clock_module.VirtualClock()
        timers = clock_module.VirtualTimers(
            self.clock, clock_module.VirtualProcess("a")
        )
        self.http = Http()
        members = types.SimpleNamespace(
            own=member(0),
            listed=[member(number) for number in range(1, VMS)],
            absent=[],
            is_announced=True,
            own_entry=b"",
        )
        self.leases = peering.Promises("vm0", timers.now)
        self.client = peering.PeerClient(
            self.http, members, self.leases, lambda: True, None, timers
        )
        self.findings = []

    def ask(self, program, question=forwarding.Question.HOME):
        """Ask about a turn of a program; return what is found."""
        facts = forwarding.CallFacts(
            "r", program=histories.ProgramId(program), ceiling=10
        )
        self.client.find(facts, self.findings.append, question)
        return self.findings[-1]


class StormTest(QuestionsCase):
    """Turns of ever new programs, none of which anybody knows."""

    def test_messages_are_bounded(self):
        for number in range(SECONDS * TURNS_A_SECOND):
            self.ask(f"p{number}")
            self.clock.run_for(1 / TURNS_A_SECOND)
        most = (
            message_budget.MAX_BURST_MESSAGES
            + SECONDS * message_budget.MESSAGES_PER_SECOND
        )
        self.assertLessEqual(self.http.sent, most)
        self.assertTrue(any(item.is_refused for item in self.findings))

    def test_what_is_not_asked_is_not_taken_for_answered(self):
        while not self.ask("p").is_refused:
            pass
        finding = self.findings[-1]
        self.assertFalse(finding.is_answered)
        self.assertFalse(finding.knows_all)

    def test_a_small_fleet_is_not_held_up(self):
        """Eleven VMs ask for all that they get."""
        self.client._members.listed = [member(n) for n in range(1, 11)]
        for number in range(SECONDS * TURNS_A_SECOND):
            self.assertFalse(self.ask(f"p{number}").is_refused)
            self.clock.run_for(1 / TURNS_A_SECOND)


class LikelyVmTest(QuestionsCase):
    """Turns of a program that another VM has let go on."""

    def setUp(self):
        super().setUp()
        self.leases.note_request("p", "vm7/1")

    def test_it_is_asked_alone(self):
        self.http.taker = "vm7"
        finding = self.ask("p", forwarding.Question.TAKER)
        self.assertEqual("vm7", finding.taker.id)
        self.assertEqual(1, self.http.sent)

    def test_if_it_can_not_all_are(self):
        self.ask("p", forwarding.Question.HOME)
        self.assertEqual(VMS - 1, self.http.sent)


class SettledTest(QuestionsCase):
    """A VM that was started lately and knows of no homes."""

    def test_it_asks_once_for_a_program(self):
        self.client._is_complete = lambda: False
        program = histories.ProgramId("p")
        self.assertTrue(self.client.may_owe(program))
        self.ask("p", forwarding.Question.UNSETTLED)
        self.assertFalse(self.client.may_owe(program))

    def test_again_if_another_vm_lets_it_go_on(self):
        self.client._is_complete = lambda: False
        self.ask("p", forwarding.Question.UNSETTLED)
        self.leases.note_request("p", "vm9/1")
        self.assertTrue(self.client.may_owe(histories.ProgramId("p")))
