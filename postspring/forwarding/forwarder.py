"""Routes and admits callers' requests, and starts the calls."""

from collections.abc import Callable
import dataclasses

from postspring.forwarding import admission as admission_module
from postspring.forwarding import budgeted_call
from postspring.forwarding import certainty as certainty_module
from postspring.forwarding import delivery_context
from postspring.forwarding import limits
from postspring.forwarding import outcome as outcome_module
from postspring.forwarding import plain
from postspring.forwarding import ports
from postspring.forwarding import program_admission
from postspring.forwarding import refusals
from postspring.forwarding import relay
from postspring.forwarding import turn_call
from postspring.forwarding import turn_services
from postspring import histories
from postspring import quarantine
from postspring import quotas
from postspring import routing
from postspring import transport

__all__ = ["Forwarder"]


class Forwarder:
    """Starts a call for each request of a caller.

    Parameters
    ==========

    context : Dispatcher
        The collaborators that all deliveries share.
    journal : Journal
        Opens, records and settles turns.
    current : callable
        Returns the configuration in force, or None.
    inputs : callable
        Returns versions and ages of the data on which decisions are based,
        for log lines.
    peers : Peers
        The other VMs.
    accepts_work : callable
        Returns whether a new call could be finished before this VM stops.
    routes_certainty : callable
        Returns the certainty that an unknown route or key does not exist.
    admission : Admission, optional
        Finds the workspace of a call.
    limiter : Limiter, optional
        Decides whether a workspace's limit allows a call.
    """

    def __init__(
        self,
        context: delivery_context.DeliveryContext,
        journal: histories.Journal,
        current: Callable[[], routing.Snapshot | None],
        inputs: Callable[[], dict] = dict,
        peers: ports.Peers | None = None,
        accepts_work: Callable[[], bool] = lambda: True,
        routes_certainty: Callable[[], certainty_module.Certainty] = lambda: (
            certainty_module.Certainty(0.0)
        ),
        admission: admission_module.Admission | None = None,
        limiter: limits.Limiter | None = None,
    ):
        peers = peers or ports.NoPeers()
        self._admission = admission or admission_module.Admission(
            context.wire, peers
        )
        self._limiter = limiter or limits.NoLimiter()
        self._routes_certainty = routes_certainty
        self._takes_work = accepts_work
        self._context = context
        self._turn_services = turn_services.TurnServices(
            journal,
            peers,
            program_admission.ProgramAdmission(context, journal, peers),
        )
        self._current = current
        self._inputs = inputs

    def handle(self, call: transport.IncomingCall) -> None:
        """Start the call, or refuse it."""
        facts = self._context.wire.decode_call(call.header)
        snapshot = self._current()
        route = None
        if snapshot is not None:
            route = snapshot.table.find(call.header("Host"), call.target)
        outcome = outcome_module.Outcome(
            call, facts, route, self._context.metrics, self._inputs()
        )
        refusal = None
        if snapshot is None:
            refusal = refusals.Refusal.NO_CONFIGURATION
        elif route is None:
            refusal = self._refuse_unknown(outcome)
        elif not self._takes_work():
            refusal = refusals.Refusal.SHUTTING_DOWN
        elif not snapshot.has_room(route, facts.prompt_tokens + facts.ceiling):
            refusal = refusals.Refusal.TOO_LARGE
        if refusal is not None:
            self._refuse(call, facts, outcome, refusal)
            return
        facts = dataclasses.replace(
            facts,
            rank=route.priority,
            ranks=snapshot.ranks,
            # Elsewhere a caller could claim any previous turn.
            is_under_way=route.keeps_history and facts.previous is not None,
        )
        routed = _RoutedCall(call, facts, route, snapshot, outcome)
        if snapshot.workspaces is None:
            self._start(routed)
        else:
            self._admit(routed)

    def _admit(self, routed: "_RoutedCall") -> None:
        """Start a call if its key and its workspace's limit allow it."""
        found = self._admission.find(
            routed.call, routed.route, routed.snapshot.workspaces
        )
        if found is refusals.Refusal.UNKNOWN_KEY:
            found = self._refuse_unknown(
                routed.outcome, found, refusals.Refusal.KEY_UNCERTAIN
            )
        if isinstance(found, refusals.Refusal):
            self._refuse(routed.call, routed.facts, routed.outcome, found)
            return
        name = "" if found is None else found.name
        routed.outcome.add(workspace=name)
        facts = routed.facts.within(name)
        if found is not None and found.priority is not None:
            facts = dataclasses.replace(facts, rank=found.priority)
        routed = dataclasses.replace(routed, facts=facts)
        peers = self._turn_services.peers
        is_counted = peers.is_relayed(routed.call.header)
        needs_no_permit = found is None or found.limit is None or is_counted
        if needs_no_permit or self._is_spent(routed):
            self._start(routed)
            return
        # Before the verdict the caller may leave or this VM may have to stop;
        # _on_verdict() checks that.
        routed.call.on_shutdown_deadline = lambda: self._end_at_stop(routed)
        self._limiter.request_permit(
            found,
            routed.use,
            lambda verdict: self._on_verdict(routed, verdict),
        )

    def _end_at_stop(self, routed: "_RoutedCall") -> None:
        """Refuse a call that has no permit yet, as this VM stops."""
        routed.outcome.note_stop()
        refusal = refusals.Refusal.SHUTTING_DOWN
        self._refuse(routed.call, routed.facts, routed.outcome, refusal)

    def _is_spent(self, routed: "_RoutedCall") -> bool:
        """Whether the budget of a turn's program is spent.

        Such a turn is refused without a permit.  Otherwise a program that
        retries it in a loop would use up the limit of its workspace.
        """
        facts = routed.facts
        return (
            routed.is_turn
            and self._turn_services.journal.is_budget_exhausted(
                facts.program, facts.ceiling, facts.budget
            )
        )

    def _on_verdict(
        self, routed: "_RoutedCall", verdict: limits.Verdict
    ) -> None:
        if routed.call.gone:
            verdict.release_permit()
            routed.outcome.report("caller_gone", self._context.timers.now())
            return
        if routed.call.answered:
            verdict.release_permit()
            return
        if verdict.is_granted:
            routed.outcome.call_if_not_run(verdict.release_permit)
            self._start(routed)
            return
        routed.outcome.add(**verdict.facts)
        refusal = refusals.Refusal.OVER_LIMIT
        if not verdict.is_known:
            refusal = refusals.Refusal.LIMIT_UNKNOWN
        relay.CallerRelay(
            self._context, routed.call, routed.facts, routed.outcome
        ).refuse(refusal, verdict.retry_after)

    def _refuse(self, call, facts, outcome, refusal) -> None:
        relay.CallerRelay(self._context, call, facts, outcome).refuse(refusal)

    def _refuse_unknown(
        self,
        outcome: outcome_module.Outcome,
        if_certain: refusals.Refusal = refusals.Refusal.NO_ROUTE,
        if_uncertain: refusals.Refusal = refusals.Refusal.ROUTE_UNCERTAIN,
    ) -> refusals.Refusal:
        """Return the refusal for an unknown route or key.

        A VM whose configuration is seconds old must not answer 404 for a new
        route, as callers don't retry after that.
        """
        certainty = self._routes_certainty()
        if not certainty.doubts:
            return if_certain
        outcome.add(
            configuration_age=certainty_module.loggable_age(certainty.age),
            doubts=[doubt.value for doubt in certainty.doubts],
        )
        return if_uncertain

    def _start(self, routed: "_RoutedCall") -> None:
        routed = routed.with_fingerprint(self._context.quarantine)
        if self._context.quarantine.is_blocked(routed.facts.fingerprint):
            self._refuse(
                routed.call,
                routed.facts,
                routed.outcome,
                refusals.Refusal.REPEATED_CRASHES,
            )
        elif routed.is_turn:
            self._start_turn(routed)
        else:
            plain.PlainCall(
                self._context,
                routed.call,
                routed.facts,
                routed.route,
                routed.deadline,
                routed.outcome,
            ).start()

    def _start_turn(self, routed: "_RoutedCall") -> None:
        call, facts, route = routed.call, routed.facts, routed.route
        if not facts.program:
            single_turn_program = histories.ProgramId(f"-{facts.turn}")
            facts = dataclasses.replace(facts, program=single_turn_program)
        if not histories.fits_key(facts.program, facts.turn):
            self._refuse(
                call, facts, routed.outcome, refusals.Refusal.ID_TOO_LONG
            )
            return
        turn_type = turn_call.TurnCall
        if not route.keeps_history:
            # The caller sends the whole conversation: no chain is read.
            facts = dataclasses.replace(facts, previous=None)
            turn_type = budgeted_call.BudgetedCall
        turn_type(
            self._context,
            self._turn_services,
            call,
            facts,
            route,
            routed.snapshot.tokens_per_event(route),
            routed.deadline,
            routed.outcome,
        ).start()


@dataclasses.dataclass(frozen=True, slots=True)
class _RoutedCall:
    """A call, its route and the configuration that contains the route."""

    call: transport.IncomingCall
    facts: ports.CallFacts
    route: routing.Route
    snapshot: routing.Snapshot
    outcome: outcome_module.Outcome

    def with_fingerprint(self, policy: quarantine.Quarantine) -> "_RoutedCall":
        """Return the call with its identity over all attempts."""
        call, facts = self.call, self.facts
        fingerprint = policy.fingerprint_of(
            (
                facts.workspace,
                facts.program,
                facts.line,
                facts.previous or "",
                facts.affinity_key,
                repr(facts.prompt_parts),
                call.method,
                call.header("Host"),
                call.target,
                call.body,
            )
        )
        facts = dataclasses.replace(facts, fingerprint=fingerprint)
        return dataclasses.replace(self, facts=facts)

    @property
    def is_turn(self) -> bool:
        return self.route.has_programs and bool(self.facts.request)

    @property
    def use(self) -> quotas.PermitUse:
        """The use of the permit that the call needs."""
        if not self.is_turn:
            return quotas.PermitUse.PLAIN_CALL
        if self.route.keeps_history and self.facts.previous is None:
            return quotas.PermitUse.BEGINS_PROGRAM
        return quotas.PermitUse.CONTINUES_PROGRAM

    @property
    def deadline(self) -> float:
        """Monotonic time by which the call has to be answered."""
        timeout = self.route.timeout
        if self.facts.deadline is not None:
            timeout = min(timeout, self.facts.deadline)
        return self.call.received_at + timeout
