"""Consults admission control about the first turn of a program."""

from collections.abc import Callable
import dataclasses
import enum

from postspring.forwarding import delivery_context
from postspring.forwarding import outcome as outcome_module
from postspring.forwarding import ports
from postspring import histories
from postspring import routing
from postspring import scheduling
from postspring import transport

__all__ = ["ProgramAdmission"]

# How long a refusal waits for the log, which must show that no turn of the
# program has run: above the store's usual 2 to 6 ms and its slow 0.25 s.
READ_TIMEOUT_SECONDS = 0.3


class _Result(enum.Enum):
    """Attribute of the counter of decisions."""

    ADMITTED = "admitted"
    REFUSED = "refused"
    # The forecast would refuse, but turns of the program have run.
    UNDER_WAY = "under_way"
    # The forecast would refuse, but the log could not be read.
    LOG_UNREAD = "log_unread"


class ProgramAdmission:
    """Decides whether a turn may be opened.

    Explanation
    ===========

    Only the first turn of a program can be refused.  A turn that names no
    previous one may still be a later one, of a sub-agent or of a caller that
    carries the conversation.  So before a refusal the program's records are
    read from the log; if that fails, the turn is admitted.
    """

    def __init__(
        self,
        context: delivery_context.DeliveryContext,
        journal: histories.Journal,
        peers: ports.Peers,
    ):
        self._context = context
        self._journal = journal
        self._peers = peers

    def check(
        self,
        call: transport.IncomingCall,
        facts: ports.CallFacts,
        route: routing.Route,
        outcome: outcome_module.Outcome,
        on_admitted: Callable[[ports.CallFacts], None],
        on_refused: Callable[[float], None],
    ) -> None:
        """Decide now, or after a read of the log.

        Parameters
        ----------
        on_admitted : callable
            Called with the facts, in which ``is_under_way`` is updated.
        on_refused : callable
            Called with the seconds after which a retry may be admitted.
        """
        policy = self._context.admission
        if not policy.may_refuse or self._peers.is_relayed(call.header):
            # The VM that relays a turn has admitted it.
            on_admitted(facts)
            return

        def admit(result: _Result, is_under_way: bool) -> None:
            self._count(result)
            policy.note_turn(facts.workspace, self._context.timers.now())
            on_admitted(dataclasses.replace(facts, is_under_way=is_under_way))

        if facts.is_under_way or self._is_known(facts.program):
            admit(_Result.ADMITTED, True)
            return
        decision = self._decide(call, facts, route)
        if decision.is_admitted:
            admit(_Result.ADMITTED, False)
            return

        def records_read() -> None:
            if self._is_known(facts.program):
                admit(_Result.UNDER_WAY, True)
                return
            self._count(_Result.REFUSED)
            outcome.add(**decision.facts)
            on_refused(decision.retry_after)

        self._journal.refresh_program(
            facts.program,
            READ_TIMEOUT_SECONDS,
            records_read,
            lambda error: admit(_Result.LOG_UNREAD, False),
        )

    def _is_known(self, program: histories.ProgramId) -> bool:
        """Return whether a turn of the program has, or may have, run."""
        return self._journal.knows(
            program
        ) or self._peers.may_have_uncharged_turns(program)

    def _decide(
        self,
        call: transport.IncomingCall,
        facts: ports.CallFacts,
        route: routing.Route,
    ) -> scheduling.AdmissionDecision:
        """Return the policy's decision by the loads known now."""
        now = self._context.timers.now()
        time_left = facts.program_deadline
        if time_left is None:
            time_left = facts.deadline
        if time_left is not None:
            time_left -= now - call.received_at
        first_turn = scheduling.FirstTurn(
            facts.program,
            facts.workspace,
            time_left,
            facts.program_deadline is None,
            now,
        )
        upstreams = [
            upstream
            for service in {share.service for share in route.shares}
            for upstream in self._context.directory.usable(service)
        ]
        return self._context.admission.decide(first_turn, upstreams)

    def _count(self, result: _Result) -> None:
        self._context.metrics.admissions.add(1, {"decision": result.value})
