"""Turns whose history the system keeps."""

from collections.abc import Callable

from postspring.forwarding import budgeted_call
from postspring.forwarding import certainty
from postspring.forwarding import choice
from postspring.forwarding import event_splitter
from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring import histories
from postspring import upstreams

__all__ = ["TurnCall"]

OPEN_TIMEOUT_SECONDS = budgeted_call.OPEN_TIMEOUT_SECONDS
# A turn whose upstream was late has this long to be recorded all the same,
# in seconds: a caller is to hear of its end within 0.25 s of its timeout, and
# an upstream may be late by 0.15 s.
LEAST_SAFE_SECONDS = 0.1


class TurnCall(budgeted_call.BudgetedCall):
    """One turn: find its chain, reserve its ceiling, run, record.

    Explanation
    ===========

    A turn is recorded as whole, or kept by other VMs, before the end of its
    answer is passed on.  If neither can be done by the deadline, the answer
    is broken off: it must not look complete.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self._chain = histories.Chain(None)
        self._output: list[bytes] = []
        self._end_now: Callable[[], None] | None = None
        self._size = len(self._call.body)

    # -- before it runs -------------------------------------------------------

    def _prepare(self) -> None:
        """Find the chain that the turn continues."""
        if len(self._call.body) > self._journal.sizes.input:
            # The log would never take its record.
            self._close(refusals.Refusal.TOO_LARGE)
            return
        if self._facts.previous is None:
            self._open()
            return
        self._journal.find_chain(
            self._program,
            self._facts.previous,
            OPEN_TIMEOUT_SECONDS,
            self._chain_found,
            self._chain_not_read,
        )

    def _chain_found(self, chain: histories.Chain | None) -> None:
        if self._closed:
            return
        if chain is None:
            self._ask_others(self._not_found, ports.Question.TURN)
            return
        self._chain = chain
        self._open()

    def _chain_not_read(self, error: histories.HistoryError) -> None:
        if isinstance(error, histories.IncompleteChain):
            self._outcome.add(missing=error.missing)
            self._ask_others(self._incomplete)
        else:
            self._ask_others(self._unavailable)

    def _outbound_call(self) -> choice.OutboundCall:
        body = b"".join((*self._chain.parts, self._call.body))
        return choice.OutboundCall(
            self._call, self._facts, body, self._chain.upstream
        )

    # -- with the help of other VMs -------------------------------------------

    def _helper(self, finding: ports.Finding) -> upstreams.Upstream | None:
        if finding.taker is None and not self._has_chain:
            return finding.chain_holder
        return finding.taker

    @property
    def _has_chain(self) -> bool:
        previous = self._facts.previous
        return previous is None or self._chain.head is not None

    def _not_found(self, finding: ports.Finding) -> None:
        """The log has no such turn; another VM might still keep it."""
        if finding.doubts or finding.is_known_turn:
            self._uncertain(*finding.doubts)
            return
        # A VM that recorded the turn and left meanwhile was not asked.
        self._journal.find_chain(
            self._program,
            self._facts.previous,
            OPEN_TIMEOUT_SECONDS,
            self._found_at_last,
            lambda error: self._uncertain(certainty.Doubt.LOG_UNREAD),
        )

    def _found_at_last(self, chain: histories.Chain | None) -> None:
        if self._closed:
            return
        if chain is None:
            self._close(refusals.Refusal.NO_SUCH_TURN)
            return
        self._chain = chain
        self._open()

    def _incomplete(self, finding: ports.Finding) -> None:
        self._close(refusals.Refusal.HISTORY_INCOMPLETE)

    def _uncertain(self, *doubts: certainty.Doubt) -> None:
        if not self._closed:
            self._outcome.add(doubts=[doubt.value for doubt in doubts])
            self._close(refusals.Refusal.TURN_UNCERTAIN)

    @property
    def _may_have_begun(self) -> bool:
        # Then it would name a turn, which nobody here has.
        return False

    # -- from the delivery ----------------------------------------------------

    def _pass_events(self, events: list[bytes]) -> None:
        data = [event_splitter.event_data(event) + b"\n" for event in events]
        self._size += sum(map(len, data))
        if self._size > self._journal.sizes.turn:
            self.delivery.cancel()
            self.stream_broken("too_large")
            return
        self._output += data
        super()._pass_events(events)

    def stream_ended(self) -> None:
        """Record the turn; only then the answer is complete.

        Its caller doesn't wait beyond the deadline: an answer that had never
        ended was held until somebody closed the connection.
        """
        left = self._deadline - self._dispatcher.timers.now()
        self._end_now = self._journal.complete_turn(
            self._ticket,
            self._chain.head,
            self._tokens,
            self._call.body,
            b"".join(self._output),
            self.delivery.upstream.incarnation,
            self._safe,
            max(LEAST_SAFE_SECONDS, left),
        )

    def out_of_time(self) -> None:
        """Have the final answer given: this VM is about to end.

        An answer that only waits to be recorded is whole if others keep the
        turn, else broken off: it would promise that it can be gone on from.
        """
        if self._end_now is not None:
            self._end_now()
        else:
            super().out_of_time()

    def _safe(self, how: str) -> None:
        if self._closed:
            return
        if how == histories.NOWHERE:
            # It may get into the log; its caller has not had it whole.
            self._cut("unrecorded")
            return
        self._closed = True
        self._call.finish()
        self.report("answered", tokens=self._tokens, kept=how)
