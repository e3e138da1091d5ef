"""Turns as far as budgets go: charged to a program before they run."""

from collections.abc import Callable
import dataclasses

from postspring.forwarding import choice
from postspring.forwarding import delivery as delivery_module
from postspring.forwarding import dispatch
from postspring.forwarding import outcome as outcome_module
from postspring.forwarding import plain
from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring.forwarding import relay
from postspring import histories
from postspring import routing
from postspring import transport
from postspring import upstreams

__all__ = ["OPEN_TIMEOUT_SECONDS", "BudgetedCall", "TurnServices"]

# How long a turn waits for the journal before other VMs are asked, in
# seconds; above the slow store's 0.25 s for two calls.
OPEN_TIMEOUT_SECONDS = 0.6


class BudgetedCall(relay.CallerRelay):
    """One turn of a program whose caller carries the conversation.

    Explanation
    ===========

    A turn has its ceiling reserved before any upstream sees it, and is
    settled with what the caller was handed, whatever happens to it.  Its
    line stays where its prompt is in memory.  It leaves no history, so the
    end of its answer waits for no record: what it may have used is charged.

    While the log is away, a VM that may spend for the program runs its
    turns; the others pass them on to it.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        shared: "TurnServices",
        call: transport.IncomingCall,
        facts: ports.CallFacts,
        route: routing.Route,
        tokens_per_event: int,
        deadline: float,
        outcome: outcome_module.Outcome,
    ):
        super().__init__(dispatcher, call, facts, outcome)
        self._shared = shared
        self._journal = shared.journal
        self._route = route
        self._tokens_per_event = tokens_per_event
        self._deadline = deadline
        self._ticket: histories.Ticket | None = None
        self._events = 0
        self._closed = False
        self._tried_home = False
        self._turn = facts.turn
        self._program = facts.program

    # -- before it runs -------------------------------------------------------

    def start(self) -> None:
        """Get the right to run."""
        self._call.on_gone = self._gone
        timers = self._dispatcher.timers
        self._unsent_timer = timers.call_later(
            self._deadline - timers.now(), self._overdue
        )
        if self._is_better_elsewhere:
            self._close(refusals.Refusal.CUT_OFF)
        else:
            self._prepare()

    def _prepare(self) -> None:
        """Do what has to be done before the turn is opened."""
        self._open()

    def _overdue(self) -> None:
        """Refuse what no upstream was offered; a delivery ends itself."""
        if self.delivery is None and not self._closed:
            self._close(refusals.Refusal.TIMED_OUT_UNSENT)

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
            OPEN_TIMEOUT_SECONDS,
            self._turn_opened,
            lambda error: self._ask_others(
                self._begin_home, ports.Question.HOME
            ),
        )

    def _turn_opened(
        self, state: histories.TurnState, ticket: histories.Ticket
    ) -> None:
        if state is histories.TurnState.OPEN:
            self._ticket = ticket
            self._outcome.add(charged_to=ticket.origin.value)
        if self._closed:
            self._settle()
        elif state is histories.TurnState.OPEN:
            self._check_homes()
        elif state is histories.TurnState.REFUSED:
            self._close(refusals.Refusal.BUDGET_SPENT)
        elif state is histories.TurnState.DEFERRED:
            self._ask_others(self._reserved)
        elif state is histories.TurnState.TAKEN and self._is_relayed:
            # The VM that passed it on has given its own opening up.
            self._close(refusals.Refusal.JOURNAL_UNAVAILABLE)
        else:
            # The caller used a request id twice.
            self._close(refusals.Refusal.UNKNOWN_OUTCOME)

    def _check_homes(self) -> None:
        """Run, unless homes used what the log does not charge yet.

        When the log was back, turns that other VMs opened in it came before
        the records of a home: a program got 1,368 tokens of 864.  What was
        reserved is charged already and needs no question.
        """
        peers = self._shared.peers
        is_charged = self._ticket.origin is not histories.Origin.LOG
        if is_charged or not peers.may_owe(self._program):
            self._deliver()
            return
        peers.find(self._facts, self._homes_told, ports.Question.UNSETTLED)

    def _homes_told(self, finding: ports.Finding) -> None:
        if self._closed:
            self._settle()
        elif not finding.is_refused and self._journal.fits_beside(
            self._program,
            self._facts.budget,
            finding.unsettled,
            finding.home_left,
        ):
            self._deliver()
        else:
            self._outcome.add(others=finding.facts)
            self._reserved(finding)
            self._settle()

    def _deliver(self) -> None:
        self._unsent_timer.cancel()
        self.delivery = delivery_module.Delivery(
            self._dispatcher,
            self._outbound_call(),
            self._route,
            self._deadline,
            self,
        )
        self.delivery.start()

    def _outbound_call(self) -> choice.OutboundCall:
        """Return what is sent, and where it had better go."""
        place = self._journal.place_of(self._program, self._facts.line)
        return choice.OutboundCall(
            self._call, self._facts, self._call.body, place
        )

    def _close(self, refusal: refusals.Refusal) -> None:
        self._closed = True
        self._unsent_timer.cancel()
        self.refuse(refusal)

    # -- with the help of other VMs -------------------------------------------

    def _ask_others(
        self,
        otherwise: Callable[[ports.Finding], None],
        question: ports.Question = ports.Question.TAKER,
    ) -> None:
        """Pass the turn on to a VM that can run it, or go on otherwise."""
        if self._closed:
            return
        peers = self._shared.peers

        def found(finding: ports.Finding) -> None:
            if self._closed:
                return
            self._outcome.add(others=finding.facts)
            place = self._helper(finding)
            if place is not None and not self._is_relayed:
                self._pass_on(place)
            else:
                otherwise(finding)

        peers.find(self._facts, found, question)

    def _helper(self, finding: ports.Finding) -> upstreams.Upstream | None:
        """Return the VM that the turn had better be passed on to."""
        return finding.taker

    @property
    def _is_better_elsewhere(self) -> bool:
        """Whether this VM is cut off, and others know the program as well."""
        peers = self._shared.peers
        return (
            peers.send_away
            and not self._is_relayed
            and self._journal.is_recorded(self._program, self._facts.previous)
        )

    @property
    def _is_relayed(self) -> bool:
        return self._shared.peers.is_relayed(self._call.header)

    def _pass_on(self, taker: upstreams.Upstream) -> None:
        self._closed = True
        self._unsent_timer.cancel()
        self._outcome.add(passed_to=taker.id)
        passed = plain.PlainCall(
            self._dispatcher,
            self._call,
            self._facts,
            self._route,
            self._deadline,
            self._outcome,
            only=taker,
            extra_fields=(self._shared.peers.relayed_field(taker),),
        )
        passed.start()

    def _unavailable(self, finding: ports.Finding) -> None:
        self._close(refusals.Refusal.JOURNAL_UNAVAILABLE)

    def _reserved(self, finding: ports.Finding) -> None:
        self._close(refusals.Refusal.BUDGET_RESERVED)

    def _begin_home(self, finding: ports.Finding) -> None:
        """The log is away: the program may go on here all the same.

        Neither this VM nor those that help it reach its records, so no
        one does; what nobody has spent or reserved may be spent here.

        If that is not certain the program gets the one turn by which a
        budget may be passed, and only where nobody remembers that another
        VM has asked: successive homes passed it by a turn each.
        """
        journal = self._journal
        known = (
            journal.knows(self._program)
            or finding.is_known
            or self._may_have_begun
        )
        is_certain = finding.knows_all or (
            finding.is_certain and not (known or finding.has_gone_on)
        )
        may_begin = finding.is_answered and not finding.is_deferred
        if finding.has_gone_on and not is_certain:
            may_begin = False
        if self._tried_home or not may_begin:
            self._close(refusals.Refusal.JOURNAL_UNAVAILABLE)
            return
        self._tried_home = True
        journal.accounts.begin_home(
            self._program,
            self._facts.ceiling,
            self._facts.budget,
            max(finding.charged, journal.charged(self._program)),
            finding.home_tokens,
            is_certain,
        )
        self._open()

    @property
    def _may_have_begun(self) -> bool:
        """Whether a program that nobody here knows may have run elsewhere.

        A caller that carries the conversation names no turn before this one.
        """
        return True

    # -- from the delivery ----------------------------------------------------

    def answered(self, status: int, fields: list, body: bytes) -> None:
        """Pass on an answer that is no stream: the turn has failed."""
        self._closed = True
        super().answered(status, fields, body)
        self._settle()

    def stream_events(self, events: list[bytes]) -> None:
        """Pass events on, as far as the program may spend."""
        limit = self._ticket.limit
        if limit is not None:
            room = limit // self._tokens_per_event - self._events
            if len(events) > room:
                self._break_off(events[:room])
                return
        self._pass_events(events)

    def _break_off(self, events: list[bytes]) -> None:
        """The turn has used what the program may spend."""
        if events:
            self._pass_events(events)
        self.delivery.cancel()
        self.stream_broken("budget")

    def _pass_events(self, events: list[bytes]) -> None:
        self._events += len(events)
        super().stream_events(events)

    def stream_ended(self) -> None:
        """Complete the answer, and settle the turn."""
        self._closed = True
        self._call.finish()
        self.report("answered", tokens=self._tokens)
        self._settle()

    def stream_broken(self, reason: str) -> None:
        """Break the answer off, and settle the turn, once."""
        if self._closed:
            return
        self._cut(reason)
        self._settle()

    def refused(self, refusal: refusals.Refusal) -> None:
        """Answer that the turn was given up, and settle it."""
        self._close(refusal)
        self._settle()

    def out_of_time(self) -> None:
        """Have the final answer given: this VM is about to end."""
        if self._closed:
            return
        if self.delivery is None:
            self._close(refusals.Refusal.SHUTTING_DOWN)
        else:
            self.delivery.run_out()

    # -- own ------------------------------------------------------------------

    def _cut(self, reason: str) -> None:
        """Break the answer off."""
        self._closed = True
        super().stream_broken(reason)

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
        self._unsent_timer.cancel()
        self.report("caller_gone", tokens=self._tokens)
        if self.delivery is not None and not self.delivery.is_done:
            self.delivery.cancel()
            self._settle()

    def _settle(self) -> None:
        if self._ticket is None:
            return
        line = place = ""
        if self._tokens and not self._route.keeps_history:
            line = self._facts.line
            place = self.delivery.upstream.incarnation
        self._journal.end_turn(self._ticket, self._tokens, line, place)


@dataclasses.dataclass(frozen=True, slots=True)
class TurnServices:
    """What all turns of a VM share."""

    journal: histories.Journal
    peers: ports.Peers
