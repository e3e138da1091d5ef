"""Routes and admits callers' requests, and starts the calls."""

from collections.abc import Callable
import dataclasses

from postspring.forwarding import admission as admission_module
from postspring.forwarding import budgeted_call
from postspring.forwarding import certainty as certainty_module
from postspring.forwarding import dispatch
from postspring.forwarding import limits
from postspring.forwarding import outcome as outcome_module
from postspring.forwarding import plain
from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring.forwarding import relay
from postspring.forwarding import turn_call
from postspring import histories
from postspring import quotas
from postspring import routing
from postspring import transport

__all__ = ["Forwarder"]


class Forwarder:
    """Starts a call for each request of a caller.

    Parameters
    ==========

    dispatcher : Dispatcher
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
    takes_work : callable
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
        dispatcher: dispatch.Dispatcher,
        journal: histories.Journal,
        current: Callable[[], routing.Snapshot | None],
        inputs: Callable[[], dict] = dict,
        peers: ports.Peers | None = None,
        takes_work: Callable[[], bool] = lambda: True,
        routes_certainty: Callable[[], certainty_module.Certainty] = lambda: (
            certainty_module.Certainty(0.0)
        ),
        admission: admission_module.Admission | None = None,
        limiter: limits.Limiter | None = None,
    ):
        peers = peers or ports.NoPeers()
        self._admission = admission or admission_module.Admission(
            dispatcher.wire, peers
        )
        self._limiter = limiter or limits.NoLimiter()
        self._routes_certainty = routes_certainty
        self._takes_work = takes_work
        self._dispatcher = dispatcher
        self._turn_services = budgeted_call.TurnServices(
            journal,
            peers,
        )
        self._current = current
        self._inputs = inputs

    def handle(self, call: transport.IncomingCall) -> None:
        """Start the call, or refuse it."""
        facts = self._dispatcher.wire.decode_call(call.header)
        snapshot = self._current()
        route = None
        if snapshot is not None:
            route = snapshot.table.find(call.header("Host"), call.target)
        outcome = outcome_module.Outcome(
            call, facts, route, self._dispatcher.metrics, self._inputs()
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
        facts = dataclasses.replace(facts, rank=route.priority)
        accepted = _Accepted(call, facts, route, snapshot, outcome)
        if snapshot.workspaces is None:
            self._start(accepted)
        else:
            self._admit(accepted)

    def _admit(self, accepted: "_Accepted") -> None:
        """Start a call if its key and its workspace's limit allow it."""
        found = self._admission.find(
            accepted.call, accepted.route, accepted.snapshot.workspaces
        )
        if found is refusals.Refusal.UNKNOWN_KEY:
            found = self._refuse_unknown(
                accepted.outcome, found, refusals.Refusal.KEY_UNCERTAIN
            )
        if isinstance(found, refusals.Refusal):
            self._refuse(
                accepted.call, accepted.facts, accepted.outcome, found
            )
            return
        name = "" if found is None else found.name
        accepted.outcome.add(workspace=name)
        facts = accepted.facts.within(name)
        if found is not None and found.priority is not None:
            facts = dataclasses.replace(facts, rank=found.priority)
        accepted = dataclasses.replace(accepted, facts=facts)
        peers = self._turn_services.peers
        is_counted = peers.is_relayed(accepted.call.header)
        needs_no_permit = found is None or found.limit is None or is_counted
        if needs_no_permit or self._is_spent(accepted):
            self._start(accepted)
            return
        # The caller may leave before the verdict; _on_verdict() checks that.
        self._limiter.ask(
            found,
            accepted.use,
            lambda verdict: self._on_verdict(accepted, verdict),
        )

    def _is_spent(self, accepted: "_Accepted") -> bool:
        """Whether the budget of a turn's program is spent.

        Such a turn is refused without a permit.  Otherwise a program that
        retries it in a loop would use up the limit of its workspace.
        """
        facts = accepted.facts
        return accepted.is_turn and self._turn_services.journal.is_spent(
            facts.program, facts.ceiling, facts.budget
        )

    def _on_verdict(
        self, accepted: "_Accepted", verdict: limits.Verdict
    ) -> None:
        if accepted.call.gone:
            verdict.give_back()
            accepted.outcome.report(
                "caller_gone", self._dispatcher.timers.now()
            )
            return
        if verdict.is_granted:
            accepted.outcome.call_if_not_run(verdict.give_back)
            self._start(accepted)
            return
        accepted.outcome.add(**verdict.facts)
        refusal = refusals.Refusal.OVER_LIMIT
        if not verdict.is_known:
            refusal = refusals.Refusal.LIMIT_UNKNOWN
        relay.CallerRelay(
            self._dispatcher, accepted.call, accepted.facts, accepted.outcome
        ).refuse(refusal, verdict.retry_after)

    def _refuse(self, call, facts, outcome, refusal) -> None:
        relay.CallerRelay(self._dispatcher, call, facts, outcome).refuse(
            refusal
        )

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
            configuration_age=certainty_module.told_age(certainty.age),
            doubts=[doubt.value for doubt in certainty.doubts],
        )
        return if_uncertain

    def _start(self, accepted: "_Accepted") -> None:
        if accepted.is_turn:
            self._start_turn(accepted)
            return
        plain.PlainCall(
            self._dispatcher,
            accepted.call,
            accepted.facts,
            accepted.route,
            accepted.deadline,
            accepted.outcome,
        ).start()

    def _start_turn(self, accepted: "_Accepted") -> None:
        call, facts, route = accepted.call, accepted.facts, accepted.route
        if not facts.program:
            single_turn_program = histories.ProgramId(f"-{facts.turn}")
            facts = dataclasses.replace(facts, program=single_turn_program)
        if not histories.fits_key(facts.program, facts.turn):
            self._refuse(
                call, facts, accepted.outcome, refusals.Refusal.ID_TOO_LONG
            )
            return
        turn_type = turn_call.TurnCall
        if not route.keeps_history:
            # The caller sends the whole conversation: no chain is read.
            facts = dataclasses.replace(facts, previous=None)
            turn_type = budgeted_call.BudgetedCall
        turn_type(
            self._dispatcher,
            self._turn_services,
            call,
            facts,
            route,
            accepted.snapshot.tokens_per_event(route),
            accepted.deadline,
            accepted.outcome,
        ).start()


@dataclasses.dataclass(frozen=True, slots=True)
class _Accepted:
    """A call, its route and the configuration that contains the route."""

    call: transport.IncomingCall
    facts: ports.CallFacts
    route: routing.Route
    snapshot: routing.Snapshot
    outcome: outcome_module.Outcome

    @property
    def is_turn(self) -> bool:
        return self.route.has_programs and bool(self.facts.request)

    @property
    def use(self) -> quotas.Use:
        """The use of the permit that the call needs."""
        if not self.is_turn:
            return quotas.Use.PLAIN_CALL
        if self.route.keeps_history and self.facts.previous is None:
            return quotas.Use.BEGINS_PROGRAM
        return quotas.Use.GOES_ON

    @property
    def deadline(self) -> float:
        """Monotonic time by which the call has to be answered."""
        timeout = self.route.timeout
        if self.facts.deadline is not None:
            timeout = min(timeout, self.facts.deadline)
        return self.call.received_at + timeout
