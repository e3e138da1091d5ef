"""Turns that another VM may have to run."""

from collections.abc import Callable

from postspring.forwarding import delivery_context
from postspring.forwarding import outcome as outcome_module
from postspring.forwarding import plain
from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring.forwarding import relay
from postspring.forwarding import turn_services
from postspring.forwarding import unsent_wait
from postspring import routing
from postspring import transport
from postspring import upstreams

__all__ = ["PeerRelay"]


class PeerRelay(relay.CallerRelay):
    """A turn that is refused here, or relayed to a VM that can run it."""

    _unsent_wait: unsent_wait.UnsentWait

    def __init__(
        self,
        context: delivery_context.DeliveryContext,
        services: turn_services.TurnServices,
        call: transport.IncomingCall,
        facts: ports.CallFacts,
        route: routing.Route,
        deadline: float,
        outcome: outcome_module.Outcome,
    ):
        super().__init__(context, call, facts, outcome)
        self._services = services
        self._route = route
        self._deadline = deadline
        self._closed = False
        self._accepted_at = context.timers.now()

    def _close(
        self,
        refusal: refusals.Refusal,
        retry_after: float | None = None,
    ) -> None:
        self._closed = True
        self._unsent_wait.cancel()
        self.refuse(refusal, retry_after)

    def _query_peers(
        self,
        on_no_target: Callable[[ports.Finding], None],
        question: ports.Question = ports.Question.TAKER,
    ) -> None:
        """Relay the turn to a VM that can run it, or call ``on_no_target``."""
        if self._closed:
            return
        peers = self._services.peers

        def on_finding(finding: ports.Finding) -> None:
            if self._closed:
                return
            self._outcome.add(others=finding.facts)
            target = self._target_of(finding)
            if target is not None and not self._is_relayed:
                self._relay_to_peer(target)
            else:
                on_no_target(finding)

        peers.find(self._facts, on_finding, question)

    def _target_of(self, finding: ports.Finding) -> upstreams.Upstream | None:
        """Return the VM to which the turn should be relayed."""
        return finding.taker

    @property
    def _should_redirect_caller(self) -> bool:
        """Whether the caller should connect to another data centre.

        This data centre is cut off then; VMs of others can continue only a
        program whose turns are all in the log.  The VM that relays a turn may
        not know whether they are; it passes the refusal on.
        """
        return (
            self._services.peers.callers_should_retry
            and self._journal.is_recorded(self._program, self._facts.previous)
        )

    @property
    def _can_retry_elsewhere(self) -> bool:
        return self._services.peers.can_retry_elsewhere(self._accepted_at)

    @property
    def _is_relayed(self) -> bool:
        return self._services.peers.is_relayed(self._call.header)

    def _relay_to_peer(self, taker: upstreams.Upstream) -> None:
        self._closed = True
        self._unsent_wait.cancel()
        self._outcome.add(passed_to=taker.id)
        plain.PlainCall(
            self._context,
            self._call,
            self._facts,
            self._route,
            self._deadline,
            self._outcome,
            only=taker,
            extra_fields=(self._services.peers.relayed_field(taker),),
        ).start()
