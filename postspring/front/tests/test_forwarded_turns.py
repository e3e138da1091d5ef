"""Forwarded turns continue a history that another VM holds.

The store is unavailable.  6 of 6 such turns were refused (journal_unavailable)
when they were sent to a VM that lacks the history, and again when they were
retried soon.  That VM asked the others which one holds the history, and by
that got their promise not to run the program for half a second.  The VM that
it forwarded the turn to asked them next and was refused because of that
promise.
"""

from postspring import histories
from postspring.testing.fleet import case

PROGRAMS = 4


class ForwardedTurnTest(case.FleetCase):
    """One of four VMs holds the histories."""

    vms = 4

    def setUp(self):
        super().setUp()
        for node in self.fleet.nodes:
            self.fleet.run_loop_until(
                lambda node=node: len(node.members.others) == self.vms - 1
            )

    def test_vm_that_holds_the_history_runs_the_turn(self):
        self.fleet.store.refuse = 503
        for number in range(PROGRAMS):
            claim = histories.Claim("author", 16, 1000)
            turn = histories.CompletedTurn(
                f"p{number}", f"a{number}", claim, None, 4, b"<a>", b"w\n"
            )
            self.fleet.nodes[0].journal.store_replica(
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
    """The log has a turn but not the one before it, nor has any VM."""

    vms = 2

    def test_refusal_names_the_missing_turn(self):
        """It must not be refused as if the log were unavailable."""
        parent = histories.TurnRef("p1", "lost")
        claim = histories.Claim("author", 16, 1000)
        turn = histories.CompletedTurn(
            "p1", "a", claim, parent, 4, b"<a>", b"w\n"
        )
        recorded = []
        self.fleet.nodes[0].journal.record_for_peer(
            [histories.encode_record(turn)], lambda: recorded.append(True)
        )
        self.fleet.run_loop_until(lambda: recorded)
        with self.assertLogs("postspring.calls", "INFO") as logs:
            answer = self.fleet.take_turn("b", previous_turn="a", vm=1)
        self.assertEqual(503, answer.status)
        line = logs.records[-1]
        self.assertEqual("history_incomplete", line.reason)
        self.assertEqual("lost", line.missing)
