"""What VMs that were started lately ask the others; no network.

Pattern: all VMs of a fleet of 60 are killed at once and start again; callers
go on with their programs, ever new ones for each VM.  Seen: for 8 s most
turns were refused as ``budget_reserved`` (190 of 194 at eleven VMs), though
the log was well.  Cause: a new VM asked all others once for each program
whether it owes what the log does not charge, and may ask 60 VMs a second.
Proof: ``is_refused`` in ``others`` of their lines.
"""

from postspring import forwarding
from postspring import histories
from postspring.peering import messages
from postspring.peering.tests import test_questions

ANSWER_SECONDS = 0.005
PROGRAMS_A_SECOND = 40
NEW_SECONDS = 8
UNSETTLED = forwarding.Question.UNSETTLED


class Http:
    """Answers after some ms; some VMs know of homes, some are silent."""

    def __init__(self, clock):
        self._clock = clock
        self.asked = []
        self.with_homes = set()
        self.silent = set()
        self.unsettled = []

    def send(self, request, collector):
        """Answer for a VM."""
        name = request.address[0]
        self.asked.append(name)
        if name in self.silent:
            self._clock.call_later(
                request.timeout, collector.failed, Exception("timeout")
            )
            return
        knows = name in self.with_homes
        found = messages.Found(
            False,
            False,
            False,
            False,
            unsettled=self.unsettled if knows else [],
            knows_homes=knows,
        )

        def answer():
            collector.head(200, {})
            collector.data(messages.encode(found))
            collector.end()

        self._clock.call_later(ANSWER_SECONDS, answer)


class AfterRestartCase(test_questions.QuestionsCase):
    """One VM of 60 that was started a moment ago."""

    def setUp(self):
        super().setUp()
        self.http = self.client._http = Http(self.clock)
        self.client._is_complete = lambda: False

    def run_turns(self, seconds):
        """Ask for each new program that may owe; return the findings."""
        before = len(self.findings)
        for number in range(round(seconds * PROGRAMS_A_SECOND)):
            program = f"p{self.clock.now}-{number}"
            if self.client.may_owe(histories.ProgramId(program)):
                self.begin(program)
            self.clock.run_for(1 / PROGRAMS_A_SECOND)
        return self.findings[before:]

    def begin(self, program):
        """Ask for one program."""
        facts = forwarding.CallFacts(
            "r", program=histories.ProgramId(program), ceiling=10
        )
        self.client.find(facts, self.findings.append, UNSETTLED)


class AllStartedTest(AfterRestartCase):
    """No VM knows of any home."""

    def test_no_turn_is_refused(self):
        findings = self.run_turns(NEW_SECONDS)
        self.assertFalse(any(item.is_refused for item in findings))

    def test_each_vm_is_asked_once(self):
        self.run_turns(NEW_SECONDS)
        others = test_questions.VMS - 1
        self.assertEqual(others, len(self.http.asked))
        self.assertEqual(others, len(set(self.http.asked)))

    def test_turns_at_once_wait_for_the_same_answers(self):
        for number in range(20):
            self.begin(f"p{number}")
        self.clock.run_for(1.0)
        self.assertEqual(20, len(self.findings))
        self.assertFalse(any(item.is_refused for item in self.findings))
        self.assertEqual(test_questions.VMS - 1, len(self.http.asked))


class SomeKnowTest(AfterRestartCase):
    """Not all VMs can say that there are no homes."""

    def test_one_that_knows_of_homes_is_asked_for_each_program(self):
        self.http.with_homes = {"vm7"}
        self.begin("p")
        self.clock.run_for(1.0)
        self.http.asked.clear()
        self.http.unsettled = [("t", 30)]
        self.begin("q")
        self.clock.run_for(1.0)
        self.assertEqual(["vm7"], self.http.asked)
        self.assertEqual({"t": 30}, self.findings[-1].unsettled)

    def test_one_that_did_not_answer_is_asked_again(self):
        self.http.silent = {"vm7"}
        self.begin("p")
        self.clock.run_for(2.0)
        self.http.silent.clear()
        self.http.asked.clear()
        self.assertTrue(self.client.may_owe(histories.ProgramId("q")))
        self.begin("q")
        self.clock.run_for(1.0)
        self.assertEqual(["vm7"], self.http.asked)
        self.assertFalse(self.client.may_owe(histories.ProgramId("r")))

    def test_a_vm_that_joins_is_asked(self):
        self.begin("p")
        self.clock.run_for(1.0)
        self.http.asked.clear()
        members = self.client._members
        members.listed = [*members.listed, test_questions.member(99)]
        self.assertTrue(self.client.may_owe(histories.ProgramId("q")))
        self.begin("q")
        self.assertEqual(["vm99"], self.http.asked)

    def test_all_are_asked_when_one_lets_a_program_go_on_afterwards(self):
        self.begin("p")
        self.clock.run_for(1.0)
        self.http.asked.clear()
        self.leases.note_request("q", "vm9/1")
        self.assertTrue(self.client.may_owe(histories.ProgramId("q")))
        self.begin("q")
        self.assertEqual(test_questions.VMS - 1, len(self.http.asked))
