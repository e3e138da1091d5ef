"""Turns: calls whose history and budget the system keeps."""

import collections
import logging

from postspring.forwarding import delivery as delivery_module
from postspring.forwarding import event_splitter
from postspring.forwarding import outcome as outcome_module
from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring.forwarding import relay
from postspring import histories
from postspring import routing
from postspring import transport

__all__ = ["LastUpstreams", "TurnCall"]

LOG = logging.getLogger(__name__)

# How long a turn waits for the journal before it is refused, in seconds;
# above the slow store's 0.25 s for two calls.
OPEN_PATIENCE_SECONDS = 0.8
# How long the end of an answer waits to be recorded; callers leave a
# silent stream after 2 to 3.2 s.
COMPLETE_PATIENCE_SECONDS = 10.0
# How long the end of a failed turn is offered to the journal.
END_PATIENCE_SECONDS = 30.0
REMEMBERED_TURNS = 20_000


class LastUpstreams:
    """Which upstream has a turn's history in memory; bounded."""

    def __init__(self, size: int = REMEMBERED_TURNS):
        self._size = size
        self._upstream_by_turn: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def remember(self, turn: str, upstream: str) -> None:
        """Note where a turn ran."""
        self._upstream_by_turn[turn] = upstream
        if len(self._upstream_by_turn) > self._size:
            self._upstream_by_turn.popitem(last=False)

    def find(self, turn: str | None) -> str:
        """Return where a turn ran, or an empty text."""
        return self._upstream_by_turn.get(turn, "") if turn else ""


class TurnCall(relay.CallerRelay):
    """One turn: find its chain, reserve its ceiling, run, record.

    Explanation
    ===========

    A turn is reserved in the journal before any upstream sees it, and
    recorded as whole before the end of its answer is passed on.  Whatever
    else happens to it, it is settled with what the caller was handed.
    """

    def __init__(
        self,
        dispatcher: delivery_module.Dispatcher,
        journal: histories.Journal,
        last_upstreams: LastUpstreams,
        call: transport.IncomingCall,
        facts: ports.CallFacts,
        route: routing.Route,
        tokens_per_event: int,
        deadline: float,
        outcome: outcome_module.Outcome,
    ):
        super().__init__(dispatcher, call, facts, outcome)
        self._journal = journal
        self._last_upstreams = last_upstreams
        self._route = route
        self._tokens_per_event = tokens_per_event
        self._deadline = deadline
        self._chain = histories.Chain(None)
        self._output: list[bytes] = []
        self._events = 0
        self._opened = False
        self._closed = False
        self._turn = histories.TurnId(facts.request)
        self._program = facts.program or histories.ProgramId(
            f"-{facts.request}"
        )

    # -- before it runs -------------------------------------------------------

    def start(self) -> None:
        """Find the chain that the turn continues."""
        self._call.on_gone = self._gone
        if self._facts.previous is None:
            self._open()
            return
        self._journal.find_chain(
            self._program,
            self._facts.previous,
            OPEN_PATIENCE_SECONDS,
            self._chain_found,
            self._journal_failed,
        )

    def _chain_found(self, chain: histories.Chain | None) -> None:
        if self._closed:
            return
        if chain is None:
            self._close(refusals.Refusal.NO_SUCH_TURN)
            return
        self._chain = chain
        self._open()

    def _open(self) -> None:
        record = histories.OpenedTurn(
            self._program,
            self._turn,
            self._facts.ceiling,
            self._facts.budget,
        )
        self._opened = True
        self._outcome.add(ceiling=record.ceiling, budget=record.budget)
        self._journal.open_turn(
            record,
            OPEN_PATIENCE_SECONDS,
            self._turn_opened,
            self._journal_failed,
        )

    def _turn_opened(self, state: histories.TurnState) -> None:
        if self._closed:
            self._settle()
            return
        if state is histories.TurnState.REFUSED:
            self._close(refusals.Refusal.BUDGET_SPENT)
            return
        if state is not histories.TurnState.OPEN:
            # The caller used a request id twice.
            self._close(refusals.Refusal.UNKNOWN_OUTCOME)
            return
        body = b"".join((*self._chain.parts, self._call.body))
        self.delivery = delivery_module.Delivery(
            self._dispatcher,
            self._call,
            self._facts,
            self._route,
            body,
            self._deadline,
            self,
            self._last_upstreams.find(self._facts.previous),
        )
        self.delivery.start()

    def _journal_failed(self, error: histories.HistoryError) -> None:
        if self._closed:
            return
        self._outcome.add(journal=str(error))
        self._close(refusals.Refusal.JOURNAL_UNAVAILABLE)
        if self._opened:
            # The record may still be appended: it must not stay charged.
            self._settle()

    def _close(self, refusal: refusals.Refusal) -> None:
        self._closed = True
        self.refuse(refusal)

    # -- from the delivery ----------------------------------------------------

    def answered(self, status: int, fields: list, body: bytes) -> None:
        """Pass on an answer that is no stream: the turn has failed."""
        self._closed = True
        super().answered(status, fields, body)
        self._settle()

    def stream_started(self, status: int, fields: list) -> None:
        """Begin the answer."""
        self._last_upstreams.remember(self._turn, self.delivery.upstream.id)
        super().stream_started(status, fields)

    def stream_events(self, events: list[bytes]) -> None:
        """Keep the events' data, and pass them on."""
        self._events += len(events)
        for event in events:
            self._output.append(event_splitter.event_data(event) + b"\n")
        super().stream_events(events)

    def stream_ended(self) -> None:
        """Record the turn; only then the answer is complete."""
        record = histories.WholeTurn(
            self._program,
            self._turn,
            self._chain.head,
            self._tokens,
            self._call.body,
            b"".join(self._output),
        )
        self._journal.complete_turn(
            record,
            COMPLETE_PATIENCE_SECONDS,
            self._recorded,
            self._not_recorded,
        )

    def _recorded(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._call.finish()
        self.report("answered", tokens=self._tokens)

    def _not_recorded(self, error: histories.HistoryError) -> None:
        if not self._closed:
            self._closed = True
            self._call.abort()
            self.report("broken_off", reason=str(error))

    def stream_broken(self, reason: str) -> None:
        """Break the answer off, and settle the turn."""
        self._closed = True
        super().stream_broken(reason)
        self._settle()

    def refused(self, refusal: refusals.Refusal) -> None:
        """Answer that the turn was given up, and settle it."""
        self._close(refusal)
        self._settle()

    # -- own ------------------------------------------------------------------

    @property
    def _tokens(self) -> int:
        return self._events * self._tokens_per_event

    def _gone(self) -> None:
        """The caller left: break the run off, and settle the turn.

        An answer that only waits to be recorded is recorded.
        """
        if self._closed:
            return
        self._closed = True
        self.report("caller_gone", tokens=self._tokens)
        if self.delivery is None or not self.delivery.is_done:
            if self.delivery is not None:
                self.delivery.cancel()
                self._settle()

    def _settle(self) -> None:
        record = histories.EndedTurn(self._program, self._turn, self._tokens)
        self._journal.end_turn(
            record,
            END_PATIENCE_SECONDS,
            lambda error: LOG.warning(
                "turn not settled",
                extra={"request": self._turn, "reason": str(error)},
            ),
        )
