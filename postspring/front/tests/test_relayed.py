"""Turns that go on from what another VM keeps, with the store away.

Seen in a trace of a fleet: 6 of 6 such turns were refused
(journal_unavailable) when they were sent to a VM that lacks the chain, and
again when they came back soon.  Cause: whoever asked the others had their
promise to stay back, for half a second, also if it only looked for a VM that
has the chain; the one that it passed the turn on to asked them next, and was
told to stay back.  Proof: this test.
"""

from postspring import histories
from postspring.testing.fleet import case

PROGRAMS = 4


class RelayedTest(case.FleetCase):
    """One of four VMs keeps the chains."""

    vms = 4

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.turn_until(
                lambda node=node: len(node.members.others) == self.vms - 1
            )

    def test_the_vm_that_has_the_chain_goes_on(self):
        self.fleet.store.refuse = 503
        for number in range(PROGRAMS):
            claim = histories.Claim("author", 16, 1000)
            turn = histories.WholeTurn(
                f"p{number}", f"a{number}", claim, None, 4, b"<a>", b"w\n"
            )
            self.fleet.nodes[0].journal.keep_copy(
                histories.encode_record(turn)
            )
        statuses = [
            self.fleet.take_turn(
                f"b{number}",
                previous_turn=f"a{number}",
                program_id=f"p{number}",
                vm=1,
            ).status
            for number in range(PROGRAMS)
        ]
        self.assertEqual([200] * PROGRAMS, statuses)


class IncompleteHistoryTest(case.FleetCase):
    """The log has a turn, and nobody has the one before it."""

    vms = 2

    def test_the_caller_hears_what_is_the_matter(self):
        """Seen: refused as if the log were away, with the log well."""
        parent = histories.TurnRef("p1", "lost")
        claim = histories.Claim("author", 16, 1000)
        turn = histories.WholeTurn("p1", "a", claim, parent, 4, b"<a>", b"w\n")
        recorded = []
        self.fleet.nodes[0].journal.record_for_another(
            [histories.encode_record(turn)], lambda: recorded.append(True)
        )
        self.fleet.turn_until(lambda: recorded)
        with self.assertLogs("postspring.calls", "INFO") as logs:
            answer = self.fleet.take_turn("b", previous_turn="a", vm=1)
        self.assertEqual(503, answer.status)
        line = logs.records[-1]
        self.assertEqual("history_incomplete", line.reason)
        self.assertEqual("lost", line.missing)
