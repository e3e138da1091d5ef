"""Turns whose history is kept in the log."""

from collections.abc import Callable

from postspring.forwarding import budgeted_call
from postspring.forwarding import certainty
from postspring.forwarding import event_splitter
from postspring.forwarding import outbound_call
from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring.forwarding import turn_services
from postspring import histories
from postspring import transport
from postspring import upstreams

__all__ = ["TurnCall"]

# Minimum time for recording a turn whose upstream answered late.  The caller
# must get the end of the answer within 0.25 s after its timeout, and an
# upstream may be late by 0.15 s.
MIN_COMPLETION_SECONDS = 0.1


class TurnCall(budgeted_call.BudgetedCall):
    """One turn of a program whose history is kept.

    Explanation
    ===========

    The turn's chain of previous turns is read, its ceiling is reserved, the
    turn runs and is recorded.  Either its record is in the log, or other VMs
    hold replicas of it, before the end of the answer is relayed.  If neither
    is so by the deadline, the answer is aborted: it must not look complete.
    """

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self._chain = histories.Chain(None)
        self._output = bytearray()
        memory = self._context.answers.memory
        self._holding = memory.hold()
        self._chain_holding = memory.hold()
        self._complete_now: Callable[[], None] | None = None
        self._turn_bytes = len(self._call.body)

    # -- before it runs -------------------------------------------------------

    def _prepare(self) -> None:
        """Read the chain that the turn continues, then open the turn."""
        if len(self._call.body) > self._journal.sizes.input:
            # The log would refuse its record as too large.
            self._close(refusals.Refusal.TOO_LARGE)
            return
        if self._facts.previous is None:
            self._open()
            return
        self._journal.find_chain(
            self._program,
            self._facts.previous,
            turn_services.OPEN_TIMEOUT_SECONDS,
            self._chain_found,
            self._chain_unreadable,
        )

    def _chain_found(self, chain: histories.Chain | None) -> None:
        if self._closed:
            return
        if chain is None:
            self._query_peers(self._check_turn_absent, ports.Question.TURN)
            return
        self._continue(chain)

    def _continue(self, chain: histories.Chain) -> None:
        """Open the turn if there is memory for its request's body.

        The body contains the whole chain, and is kept until the turn ends,
        as it may be sent again.
        """
        self._chain_holding.set(sum(map(len, chain.parts)))
        memory = self._context.answers.memory
        if chain.parts and memory.is_above(transport.MemoryUse.COMPLETE):
            self._chain_holding.set(0)
            self._close(refusals.Refusal.NO_MEMORY)
            return
        self._chain = chain
        self._open()

    def _chain_unreadable(self, error: histories.HistoryError) -> None:
        if isinstance(error, histories.IncompleteChain):
            self._outcome.add(missing=error.missing)
            self._query_peers(self._refuse_incomplete)
        else:
            self._query_peers(self._refuse_unavailable)

    def _outbound_call(self) -> outbound_call.OutboundCall:
        body = b"".join((*self._chain.parts, self._call.body))
        return outbound_call.OutboundCall(
            self._call, self._facts, body, self._chain.upstream
        )

    # -- other VMs ------------------------------------------------------------

    def _target_of(self, finding: ports.Finding) -> upstreams.Upstream | None:
        if finding.taker is None and not self._has_chain:
            return finding.chain_holder
        return finding.taker

    @property
    def _has_chain(self) -> bool:
        previous = self._facts.previous
        return previous is None or self._chain.head is not None

    def _check_turn_absent(self, finding: ports.Finding) -> None:
        """Read the log once more if no VM can hold the previous turn."""
        if finding.doubts or finding.is_known_turn:
            self._refuse_uncertain(*finding.doubts)
            return
        # A VM that recorded the turn and then left may not have been asked.
        self._journal.find_chain(
            self._program,
            self._facts.previous,
            turn_services.OPEN_TIMEOUT_SECONDS,
            self._chain_reread,
            lambda error: self._refuse_uncertain(certainty.Doubt.LOG_UNREAD),
        )

    def _chain_reread(self, chain: histories.Chain | None) -> None:
        if self._closed:
            return
        if chain is None:
            self._close(refusals.Refusal.NO_SUCH_TURN)
            return
        self._continue(chain)

    def _refuse_unavailable(self, finding: ports.Finding) -> None:
        self._close(refusals.Refusal.JOURNAL_UNAVAILABLE)

    def _refuse_incomplete(self, finding: ports.Finding) -> None:
        self._close(refusals.Refusal.HISTORY_INCOMPLETE)

    def _refuse_uncertain(self, *doubts: certainty.Doubt) -> None:
        if not self._closed:
            self._outcome.add(doubts=[doubt.value for doubt in doubts])
            self._close(refusals.Refusal.TURN_UNCERTAIN)

    @property
    def _may_have_run_elsewhere(self) -> bool:
        # A caller that continues a program names its previous turn.
        return False

    # -- callbacks of the delivery --------------------------------------------

    def _relay_events(self, events: list[bytes]) -> None:
        data = b"".join(
            event_splitter.event_data(event) + b"\n" for event in events
        )
        self._turn_bytes += len(data)
        if self._turn_bytes > self._journal.sizes.turn:
            self.delivery.cancel()
            self.stream_broken("too_large")
            return
        self._output += data
        self._holding.set(len(self._output))
        super()._relay_events(events)

    def stream_ended(self) -> None:
        """Record the turn, and complete the answer after that.

        The deadline bounds the wait for the record: without it, an answer
        stayed open until one side closed the connection.
        """
        left = self._deadline - self._context.timers.now()
        complete_now = self._journal.complete_turn(
            self._ticket,
            self._chain.head,
            self._tokens,
            self._call.body,
            bytes(self._output),
            self.delivery.upstream.incarnation,
            self._turn_completed,
            max(MIN_COMPLETION_SECONDS, left),
            lambda: self._can_retry_elsewhere,
        )
        if not self._closed:
            self._complete_now = complete_now

    def conclude(self) -> None:
        """End the call with a final answer, as this VM is about to stop.

        An answer that only waits for its record is completed if other VMs
        hold replicas of the turn.  Otherwise it is aborted, as a complete
        answer means that later turns can continue from it.
        """
        if self._complete_now is not None:
            self._complete_now()
        else:
            super().conclude()

    def _turn_completed(self, kept_by: str) -> None:
        self._complete_now = None
        if self._closed:
            return
        if kept_by == histories.LOCAL_ONLY:
            # The log may still accept the record, but that is not certain.
            self._abort_answer("unrecorded")
            return
        self._closed = True
        self._call.finish()
        self.report("answered", tokens=self._tokens, kept=kept_by)
