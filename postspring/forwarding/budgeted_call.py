"""Turns of programs, which are charged to a budget before they run."""

from postspring.forwarding import delivery as delivery_module
from postspring.forwarding import delivery_context
from postspring.forwarding import outbound_call
from postspring.forwarding import outcome as outcome_module
from postspring.forwarding import peer_relay
from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring.forwarding import turn_services
from postspring.forwarding import unsent_wait
from postspring import histories
from postspring import routing
from postspring import transport

__all__ = ["BudgetedCall"]


class BudgetedCall(peer_relay.PeerRelay):
    """One turn of a program whose caller carries the conversation.

    Explanation
    ===========

    The ceiling of a turn is reserved before the turn is sent to an upstream,
    and settled with the tokens that the caller received, whatever happens
    to the turn.  Turns of one line prefer the upstream that has their
    prompt in memory.  The turn adds nothing to the history, so the end of
    the answer does not wait for a record.

    During an outage of the log, a VM that holds tokens of the program's
    budget runs its turns; the other VMs relay them to it.  If no VM holds
    any, this VM may open an offline account: it spends what is left of the
    program's budget, and records that when the log is back.
    """

    def __init__(
        self,
        context: delivery_context.DeliveryContext,
        services: turn_services.TurnServices,
        call: transport.IncomingCall,
        facts: ports.CallFacts,
        route: routing.Route,
        tokens_per_event: int,
        deadline: float,
        outcome: outcome_module.Outcome,
    ):
        super().__init__(
            context, services, call, facts, route, deadline, outcome
        )
        self._journal = services.journal
        self._tokens_per_event = tokens_per_event
        self._ticket: histories.Ticket | None = None
        self._events = 0
        self._tried_offline_budget = False
        self._turn = facts.turn
        self._program = facts.program

    # -- before it runs -------------------------------------------------------

    def start(self) -> None:
        """Open the turn, and run it."""
        self._call.on_disconnect = self._on_caller_gone
        timers, peers = self._context.timers, self._services.peers
        self._unsent_wait = unsent_wait.UnsentWait(
            timers, peers, self._deadline, self._on_deadline, self._on_cut
        )
        if self._should_redirect_caller:
            self._close(refusals.Refusal.CUT_OFF)
        else:
            self._services.admission.check(
                self._call,
                self._facts,
                self._route,
                self._outcome,
                self._admitted,
                self._not_admitted,
            )

    def _admitted(self, facts: ports.CallFacts) -> None:
        if not self._closed:
            self._facts = facts
            self._prepare()

    def _not_admitted(self, retry_after: float) -> None:
        if not self._closed:
            self._close(refusals.Refusal.PROGRAM_NOT_ADMITTED, retry_after)

    def _prepare(self) -> None:
        """Open the turn; subclasses read what it needs before that."""
        self._open()

    def _on_deadline(self) -> None:
        """Refuse the turn, unless a delivery with its own timer exists."""
        if self.delivery is None and not self._closed:
            self._close(refusals.Refusal.TIMED_OUT_UNSENT)

    def _on_cut(self) -> None:
        """Refuse a turn that waits for the log, as a new one would be."""
        is_waiting = not self._closed and self._ticket is None
        if is_waiting and self._should_redirect_caller:
            self._close(refusals.Refusal.CUT_OFF)

    def _open(self) -> None:
        facts = self._facts
        self._outcome.add(
            ceiling=facts.ceiling,
            budget=facts.budget,
            line=facts.line,
            prompt_tokens=facts.prompt_tokens,
        )
        self._journal.open_turn(
            self._program,
            self._turn,
            facts.ceiling,
            facts.budget,
            turn_services.OPEN_TIMEOUT_SECONDS,
            self._turn_opened,
            lambda error: self._query_peers(
                self._begin_offline_budget, ports.Question.OFFLINE
            ),
        )

    def _turn_opened(
        self, state: histories.TurnState, ticket: histories.Ticket
    ) -> None:
        if state is histories.TurnState.OPEN:
            self._ticket = ticket
            self._outcome.add(
                charged_to=ticket.origin.value,
                charged=self._journal.charged(self._program),
            )
        if self._closed:
            self._settle()
        elif state is histories.TurnState.OPEN:
            self._check_unsettled()
        elif state is histories.TurnState.REFUSED:
            self._close(refusals.Refusal.BUDGET_SPENT)
        elif state is histories.TurnState.DEFERRED:
            self._query_peers(self._refuse_reserved)
        elif state is histories.TurnState.ID_IN_USE and self._is_relayed:
            # The VM that relayed the turn has given up its own opening.
            self._close(refusals.Refusal.JOURNAL_UNAVAILABLE)
        else:
            # The caller used a request id twice.
            self._close(refusals.Refusal.UNKNOWN_OUTCOME)

    def _check_unsettled(self) -> None:
        """Run the turn unless offline accounts spent what it would need.

        A VM may open a turn in the log before the turns that ran on offline
        accounts are recorded.  A turn that is charged to a reserve or to an
        offline budget needs no check, as its tokens are charged already.
        """
        peers = self._services.peers
        if self._ticket.origin is not histories.Origin.LOG:
            self._start_delivery()
        elif peers.may_have_uncharged_turns(self._program):
            peers.find(
                self._facts, self._unsettled_told, ports.Question.UNSETTLED
            )
        else:
            self._unsettled_found(ports.Finding())

    def _unsettled_told(self, finding: ports.Finding) -> None:
        """Handle what the VMs asked have told of offline accounts."""
        self._outcome.add(
            uncharged=sum(finding.unsettled.values()),
            offline_tokens_left=finding.offline_tokens_left,
        )
        self._unsettled_found(finding)

    def _unsettled_found(self, finding: ports.Finding) -> None:
        if self._closed:
            self._settle()
        elif not finding.is_refused and self._journal.fits_with_offline_use(
            self._program,
            self._facts.budget,
            finding.unsettled,
            finding.offline_tokens_left,
        ):
            self._start_delivery()
        else:
            self._outcome.add(others=finding.facts)
            self._refuse_reserved(finding)
            self._settle()

    def _start_delivery(self) -> None:
        self._unsent_wait.cancel()
        self.delivery = delivery_module.Delivery(
            self._context,
            self._outbound_call(),
            self._route,
            self._deadline,
            self,
        )
        self.delivery.start()

    def _outbound_call(self) -> outbound_call.OutboundCall:
        """Return the outgoing call with its preferred upstream."""
        upstream = self._journal.last_upstream_of(
            self._program, self._facts.line
        )
        return outbound_call.OutboundCall(
            self._call, self._facts, self._call.body, upstream
        )

    # -- other VMs ------------------------------------------------------------

    def _refuse_reserved(self, finding: ports.Finding) -> None:
        self._close(refusals.Refusal.BUDGET_RESERVED)

    def _begin_offline_budget(self, finding: ports.Finding) -> None:
        """Open an offline account for the program, as the log is unavailable.

        Neither this VM nor the VMs that call the log for it reach the
        program's records, so it assumes that no VM does: tokens that no VM
        has spent or reserved may be spent here.

        If the answers of the other VMs leave that uncertain, the program
        gets the one turn by which its budget may be exceeded, and only if
        no VM remembers that another one asked to open an offline account.
        """
        journal = self._journal
        is_silent = not journal.has_log_answered_since(self._accepted_at)
        if finding.is_cut_off and is_silent and self._can_retry_elsewhere:
            self._close(refusals.Refusal.CUT_OFF)
            return
        may_have_run = (
            journal.knows(self._program)
            or finding.is_known
            or self._may_have_run_elsewhere
        )
        is_certain = finding.covers_all_spending or (
            finding.is_certain and not (may_have_run or finding.has_gone_on)
        )
        may_begin = finding.is_answered and not finding.is_deferred
        if finding.has_gone_on and not is_certain:
            may_begin = False
        if self._tried_offline_budget or not may_begin:
            self._close(refusals.Refusal.JOURNAL_UNAVAILABLE)
            return
        self._tried_offline_budget = True
        journal.accounts.start_offline_account(
            self._program,
            self._facts.ceiling,
            self._facts.budget,
            max(finding.charged, journal.charged(self._program)),
            finding.offline_tokens,
            is_certain,
        )
        self._open()

    @property
    def _may_have_run_elsewhere(self) -> bool:
        """Whether a program unknown to the VMs asked may have run before.

        A caller that carries the conversation does not name a previous turn.
        """
        return True

    # -- callbacks of the delivery --------------------------------------------

    def answered(self, status: int, fields: list, body: bytes) -> None:
        """Relay an answer that is not a stream: the turn has failed."""
        self._closed = True
        super().answered(status, fields, body)
        self._settle()

    def stream_events(self, events: list[bytes]) -> None:
        """Relay events up to the token limit of the turn."""
        limit = self._ticket.limit
        if limit is not None:
            max_events = limit // self._tokens_per_event - self._events
            if len(events) > max_events:
                self._stop_at_budget(events[:max_events])
                return
        self._relay_events(events)

    def _stop_at_budget(self, events: list[bytes]) -> None:
        """Relay the last events, and end the turn at its token limit."""
        if events:
            self._relay_events(events)
        self.delivery.cancel()
        self.stream_broken("budget")

    def _relay_events(self, events: list[bytes]) -> None:
        self._events += len(events)
        super().stream_events(events)

    def stream_ended(self) -> None:
        """Complete the answer, and settle the turn."""
        self._closed = True
        self._call.finish()
        self.report("answered", tokens=self._tokens)
        self._settle()

    def stream_broken(self, reason: str) -> None:
        """Abort the answer and settle the turn; later calls do nothing."""
        if self._closed:
            return
        self._abort_answer(reason)
        self._settle()

    def refused(self, refusal: refusals.Refusal) -> None:
        """Answer the caller with the refusal, and settle the turn."""
        self._close(refusal)
        self._settle()

    def conclude(self) -> None:
        """End the call with a final answer, as this VM is about to stop."""
        if self._closed:
            return
        if self.delivery is None:
            self._close(refusals.Refusal.SHUTTING_DOWN)
        else:
            self.delivery.conclude()

    # -- own ------------------------------------------------------------------

    def _abort_answer(self, reason: str) -> None:
        """Abort the answer."""
        self._closed = True
        super().stream_broken(reason)

    @property
    def _tokens(self) -> int:
        return self._events * self._tokens_per_event

    def _on_caller_gone(self) -> None:
        """Cancel and settle the turn, as the caller closed its connection.

        A turn whose answer is complete is still recorded.
        """
        if self._closed:
            return
        self._closed = True
        self._unsent_wait.cancel()
        self.report("caller_gone", tokens=self._tokens)
        if self.delivery is not None and not self.delivery.is_done:
            self.delivery.cancel()
            self._settle()

    def _settle(self) -> None:
        if self._ticket is None:
            return
        line = upstream = ""
        if self._tokens and not self._route.keeps_history:
            line = self._facts.line
            upstream = self.delivery.upstream.incarnation
        self._journal.end_turn(self._ticket, self._tokens, line, upstream)
