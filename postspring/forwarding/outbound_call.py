"""The request to an upstream, and the choice of the upstream."""

from collections.abc import Collection
import dataclasses
import random

from postspring.forwarding import attempts as attempts_module
from postspring.forwarding import delivery_context
from postspring.forwarding import ports
from postspring.forwarding import upstream_use
from postspring import quarantine
from postspring import scheduling
from postspring import transport
from postspring import upstreams

__all__ = [
    "OutboundCall",
    "PlacementRequest",
    "choose_upstream",
    "may_leave_silent_upstream",
]

# Links take a few ms; an address that takes longer counts as dead.
CONNECT_TIMEOUT_SECONDS = 0.4
# An upstream stops at the deadline that the request states; its answer to
# that may take this much longer.
DEADLINE_SLACK_SECONDS = 0.15


@dataclasses.dataclass(slots=True)
class PlacementRequest:
    """The properties of a call that placement uses.

    Parameters
    ==========

    last_upstream : str
        Incarnation of the upstream that has the call's history in memory.
    data_center : str
        The data centre that received the call.
    now : float
        Monotonic time in seconds.
    prompt_tokens : int
        Tokens of the prompt; 0 if unknown.
    cost_by_id : dict
        Set by a policy that compares costs: the expected wait in seconds at
        the chosen upstream and at those that it was compared with.
    """

    last_upstream: str = ""
    affinity_key: str = ""
    data_center: str = ""
    now: float = 0.0
    prompt_tokens: int = 0
    cost_by_id: dict[str, float] = dataclasses.field(default_factory=dict)


def choose_upstream(
    context: delivery_context.DeliveryContext,
    service: str,
    attempts: attempts_module.Attempts,
    placement_request: PlacementRequest,
    fingerprint: quarantine.Fingerprint = quarantine.Fingerprint(""),
) -> upstreams.Upstream | None:
    """Return an upstream, preferably one that was not tried yet."""
    candidates = _candidates(context.directory, service, attempts.excluded)
    preferred = [
        item for item in candidates if attempts.prefers(item.incarnation)
    ]
    candidates = preferred or candidates
    if not candidates:
        return None
    departure = None
    if _uses_subset(context, attempts, placement_request):
        candidates, departure = context.subsets.limit(
            service,
            candidates,
            placement_request.last_upstream,
            attempts.tried,
            placement_request.now,
        )
    candidates = context.quarantine.candidates(
        fingerprint, candidates, placement_request.now
    )
    random.shuffle(candidates)
    upstream = context.placement.choose(placement_request, candidates)
    if departure is not None:
        _note_departure(
            context, service, attempts, placement_request, upstream, departure
        )
    return upstream


def _uses_subset(
    context: delivery_context.DeliveryContext,
    attempts: attempts_module.Attempts,
    placement_request: PlacementRequest,
) -> bool:
    """Return whether the VM's subset applies to a call.

    It does not apply to a call with an affinity key, which all VMs send to
    the same upstream, nor to one that looks for an upstream with the weights
    of a stream that it resumes.
    """
    return (
        context.subsets is not None
        and not placement_request.affinity_key
        and not attempts.excluded
    )


def _note_departure(
    context: delivery_context.DeliveryContext,
    service: str,
    attempts: attempts_module.Attempts,
    placement_request: PlacementRequest,
    upstream: upstreams.Upstream,
    departure: upstreams.Departure,
) -> None:
    """Count a call that leaves the subset, unless by its affinity."""
    if (
        upstream.id in context.subsets.ids(service)
        or upstream.incarnation == placement_request.last_upstream
    ):
        return
    attempts.left_subset = departure.value
    context.metrics.subset_departures.add(1, {"reason": departure.value})


def may_leave_silent_upstream(
    context: delivery_context.DeliveryContext,
    service: str,
    attempts: attempts_module.Attempts,
) -> bool:
    """Take a retry of a call from the budget, if it may be sent elsewhere."""
    if attempts.is_last_attempt:
        return False
    others = context.directory.usable(service)
    if all(item.incarnation in attempts.tried for item in others):
        return False
    return context.slow_retry_budget.take()


def _candidates(
    directory: upstreams.Directory, service: str, excluded: Collection[str]
) -> list[upstreams.Upstream]:
    """Return the usable upstreams, or those that are a last resort."""
    for find in (directory.usable, directory.last_resort):
        found = [
            item for item in find(service) if item.incarnation not in excluded
        ]
        if found:
            return found
    return []


@dataclasses.dataclass(frozen=True, slots=True)
class OutboundCall:
    """A call to be sent, independent of the upstream.

    Parameters
    ==========

    preferred : str
        Incarnation of the upstream that has the call's history in memory.
    only : Upstream, optional
        The only address that the call may be sent to: another VM.
    extra_fields : tuple
        Header fields to add.
    may_repeat : bool
        Whether the call may run more than once.
    """

    call: transport.IncomingCall
    facts: ports.CallFacts
    body: bytes
    preferred: str = ""
    only: upstreams.Upstream | None = None
    extra_fields: tuple[tuple[str, str], ...] = ()
    may_repeat: bool = False

    def choose(
        self,
        context: delivery_context.DeliveryContext,
        service: str,
        attempts: attempts_module.Attempts,
    ) -> upstreams.Upstream | None:
        """Return the upstream to send it to, or None if there is none."""
        if not (attempts.may_have_run or context.sends_work()):
            return None
        if self.only is not None:
            is_tried = self.only.incarnation in attempts.tried
            return None if is_tried else self.only
        placement_request = PlacementRequest(
            self.preferred,
            self.facts.affinity_key,
            context.data_center,
            context.timers.now(),
            self.facts.prompt_tokens,
        )
        chosen = choose_upstream(
            context,
            service,
            attempts,
            placement_request,
            self.facts.fingerprint,
        )
        attempts.expected_wait_by_id = placement_request.cost_by_id
        return chosen

    def use(
        self,
        context: delivery_context.DeliveryContext,
        upstream: upstreams.Upstream,
    ) -> upstream_use.UpstreamUse:
        """Count the call as in flight at an upstream."""
        return upstream_use.UpstreamUse(
            upstream,
            context.timers.now(),
            self.facts.request,
            context.metrics,
        )

    def _standing(
        self,
        context: delivery_context.DeliveryContext,
        upstream: upstreams.Upstream,
    ) -> scheduling.CallStanding:
        """Return what decides the call's urgency at an upstream."""
        facts = self.facts
        slack = None
        if facts.program_deadline is not None:
            ends_at = self.call.received_at + facts.program_deadline
            slack = ends_at - context.timers.now() - upstream.stream_seconds
        return scheduling.CallStanding(
            facts.rank,
            facts.ranks,
            slack,
            upstream.stream_seconds,
            facts.is_under_way or bool(self.preferred),
        )

    def request(
        self,
        context: delivery_context.DeliveryContext,
        upstream: upstreams.Upstream,
        extra: ports.UpstreamExtra,
    ) -> transport.HttpRequest:
        """Return the HTTP request for an upstream.

        Parameters
        ----------
        extra : UpstreamExtra
            Values that the delivery adds to the caller's header fields.
        """
        wire = context.wire

        def is_own_response(headers: dict[str, str]) -> bool:
            answered = wire.decode_response(0, headers).request
            return answered in ("", self.facts.request)

        caller_fields = [
            (name, value)
            for name, value in self.call.fields
            if name.lower() != ports.RELAYED_NAME.lower()
        ]
        full_extra = dataclasses.replace(
            extra,
            upstream=upstream.id,
            urgency=context.urgency.of(self._standing(context, upstream)),
            workspace=self.facts.workspace,
        )
        fields = wire.upstream_fields(caller_fields, full_extra)
        return transport.HttpRequest(
            address=upstream.address,
            method=self.call.method,
            path=self.call.target,
            body=self.body,
            headers=(*fields, *self.extra_fields),
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            timeout=max(0.0, extra.remaining) + 2 * DEADLINE_SLACK_SECONDS,
            data_center=upstream.data_center,
            is_own_response=is_own_response,
            may_resend=self.may_repeat,
        )
