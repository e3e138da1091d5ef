"""Takes callers' requests: finds the route and starts the call."""

from collections.abc import Callable
import dataclasses

from postspring.forwarding import budgeted_call
from postspring.forwarding import certainty as certainty_module
from postspring.forwarding import dispatch
from postspring.forwarding import outcome as outcome_module
from postspring.forwarding import plain
from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring.forwarding import relay
from postspring.forwarding import turn_call
from postspring import histories
from postspring import routing
from postspring import transport

__all__ = ["Forwarder"]


class Forwarder:
    """Starts a call for each request.

    Parameters
    ==========

    dispatcher : Dispatcher
        What all deliveries share.
    journal : Journal
        Keeps turns.
    current : callable
        Returns the configuration in force, or None.
    peers : Peers
        The other VMs.
    takes_work : callable
        Returns whether there is time left to finish a call.
    inputs : callable
        Returns what decisions rest on, for the log: versions and ages.
    routes_certainty : callable
        Returns whether a route that is not known can't be there.
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
    ):
        self._routes_certainty = routes_certainty
        self._takes_work = takes_work
        self._dispatcher = dispatcher
        self._turn_services = budgeted_call.TurnServices(
            journal,
            peers or ports.NoPeers(),
        )
        self._current = current
        self._inputs = inputs

    def handle(self, call: transport.IncomingCall) -> None:
        """Start a call."""
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
        self._start(call, facts, route, snapshot, outcome)

    def _refuse(self, call, facts, outcome, refusal) -> None:
        relay.CallerRelay(self._dispatcher, call, facts, outcome).refuse(
            refusal
        )

    def _refuse_unknown(
        self, outcome: outcome_module.Outcome
    ) -> refusals.Refusal:
        """Return what to say of a route that this VM does not know.

        VMs said 404 by configurations that were seconds old, and callers
        don't come back after that.
        """
        certainty = self._routes_certainty()
        if not certainty.doubts:
            return refusals.Refusal.NO_ROUTE
        outcome.add(
            configuration_age=certainty_module.told_age(certainty.age),
            doubts=[doubt.value for doubt in certainty.doubts],
        )
        return refusals.Refusal.ROUTE_UNCERTAIN

    def _start(self, call, facts, route, snapshot, outcome) -> None:
        timeout = route.timeout
        if facts.deadline is not None:
            timeout = min(timeout, facts.deadline)
        deadline = call.received_at + timeout
        if route.has_programs and facts.request:
            self._start_turn(call, facts, route, snapshot, deadline, outcome)
            return
        plain.PlainCall(
            self._dispatcher, call, facts, route, deadline, outcome
        ).start()

    def _start_turn(
        self, call, facts, route, snapshot, deadline, outcome
    ) -> None:
        if not facts.program:
            alone = histories.ProgramId(f"-{facts.request}")
            facts = dataclasses.replace(facts, program=alone)
        if not histories.fits_key(facts.program, facts.request):
            self._refuse(call, facts, outcome, refusals.Refusal.ID_TOO_LONG)
            return
        turn_type = turn_call.TurnCall
        if not route.keeps_history:
            # The caller carries what came before; there is nothing to find.
            facts = dataclasses.replace(facts, previous=None)
            turn_type = budgeted_call.BudgetedCall
        turn_type(
            self._dispatcher,
            self._turn_services,
            call,
            facts,
            route,
            snapshot.tokens_per_event(route),
            deadline,
            outcome,
        ).start()
