"""Queries of VMs that have just started, about offline programs.

Guards against a flood of refused turns after all VMs of a fleet of 60 were
killed and restarted at once: for 8 s most turns were refused as
``budget_reserved`` (190 of 194 at eleven VMs) although the log worked.  Each
new VM asked all others for each program whether it had used tokens that the
log doesn't charge, and the rate limit for queries refused most of that
(``is_refused`` in ``others`` of the log lines).
"""

from postspring import forwarding
from postspring import histories
from postspring.peering import messages
from postspring.peering.tests import test_queries

ANSWER_SECONDS = 0.005
PROGRAMS_PER_SECOND = 40
STARTUP_SECONDS = 8
UNSETTLED = forwarding.Question.UNSETTLED


class PeerHttp:
    """Responds after some ms, for VMs with and without offline programs.

    Silent VMs let the request time out.
    """

    def __init__(self, clock):
        self._clock = clock
        self.asked = []
        self.offline_vms = set()
        self.silent = set()
        self.unsettled = []

    def send(self, request, collector):
        """Respond for a VM, unless it is silent."""
        name = request.address[0]
        self.asked.append(name)
        if name in self.silent:
            self._clock.call_later(
                request.timeout, collector.failed, Exception("timeout")
            )
            return
        has_offline = name in self.offline_vms
        found = messages.FindResponse(
            False,
            False,
            False,
            False,
            unsettled=self.unsettled if has_offline else [],
            may_have_offline_charges=has_offline,
        )

        def answer():
            collector.head(200, {})
            collector.data(messages.encode(found))
            collector.end()

        self._clock.call_later(ANSWER_SECONDS, answer)


class AfterRestartCase(test_queries.QueryCase):
    """One VM of 60 that has just started."""

    def setUp(self):
        super().setUp()
        self.http = self.client._http = PeerHttp(self.clock)
        self.client._has_all_recent_turns = lambda: False

    def query_new_programs(self, seconds):
        """Query for new programs that may be unsettled; return findings."""
        before = len(self.findings)
        for number in range(round(seconds * PROGRAMS_PER_SECOND)):
            program = f"p{self.clock.now}-{number}"
            if self.client.may_have_uncharged_turns(
                histories.ProgramId(program)
            ):
                self.query(program)
            self.clock.run_for(1 / PROGRAMS_PER_SECOND)
        return self.findings[before:]

    def query(self, program):
        """Query for a program."""
        facts = forwarding.CallFacts(
            "r", program=histories.ProgramId(program), ceiling=10
        )
        self.client.find(facts, self.findings.append, UNSETTLED)


class NoOfflineProgramsTest(AfterRestartCase):
    """No VM ran any program offline."""

    def test_no_turn_is_refused(self):
        findings = self.query_new_programs(STARTUP_SECONDS)
        self.assertFalse(any(item.is_refused for item in findings))

    def test_each_vm_is_queried_once(self):
        self.query_new_programs(STARTUP_SECONDS)
        others = test_queries.VMS - 1
        self.assertEqual(others, len(self.http.asked))
        self.assertEqual(others, len(set(self.http.asked)))

    def test_parallel_turns_share_one_query(self):
        for number in range(20):
            self.query(f"p{number}")
        self.clock.run_for(1.0)
        self.assertEqual(20, len(self.findings))
        self.assertFalse(any(item.is_refused for item in self.findings))
        self.assertEqual(test_queries.VMS - 1, len(self.http.asked))


class SomeOfflineProgramsTest(AfterRestartCase):
    """Some VM has offline programs, or does not respond, or is new."""

    def test_vm_with_offline_programs_is_queried_for_each_program(self):
        self.http.offline_vms = {"vm7"}
        self.query("p")
        self.clock.run_for(1.0)
        self.http.asked.clear()
        self.http.unsettled = [("t", 30)]
        self.query("q")
        self.clock.run_for(1.0)
        self.assertEqual(["vm7"], self.http.asked)
        self.assertEqual({"t": 30}, self.findings[-1].unsettled)

    def test_unresponsive_vm_is_queried_again(self):
        self.http.silent = {"vm7"}
        self.query("p")
        self.clock.run_for(2.0)
        self.http.silent.clear()
        self.http.asked.clear()
        self.assertTrue(
            self.client.may_have_uncharged_turns(histories.ProgramId("q"))
        )
        self.query("q")
        self.clock.run_for(1.0)
        self.assertEqual(["vm7"], self.http.asked)
        self.assertFalse(
            self.client.may_have_uncharged_turns(histories.ProgramId("r"))
        )

    def test_new_vm_is_queried(self):
        self.query("p")
        self.clock.run_for(1.0)
        self.http.asked.clear()
        members = self.client._members
        members.listed = [*members.listed, test_queries.member(99)]
        self.assertTrue(
            self.client.may_have_uncharged_turns(histories.ProgramId("q"))
        )
        self.query("q")
        self.assertEqual(["vm99"], self.http.asked)

    def test_all_are_queried_after_an_offline_request(self):
        self.query("p")
        self.clock.run_for(1.0)
        self.http.asked.clear()
        self.leases.note_request("q", "vm9/1")
        self.assertTrue(
            self.client.may_have_uncharged_turns(histories.ProgramId("q"))
        )
        self.query("q")
        self.assertEqual(test_queries.VMS - 1, len(self.http.asked))
