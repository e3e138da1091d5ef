"""Which upstream a call is sent to, and with what."""

from collections.abc import Collection
import dataclasses
import random

from postspring.forwarding import dispatch
from postspring.forwarding import ports
from postspring import transport
from postspring import upstreams

__all__ = ["Order", "OutboundCall", "choose_upstream"]

# Links take a few ms; an address that does not answer by then is dead.
CONNECT_TIMEOUT_SECONDS = 0.4
# An upstream stops at the deadline it was given; its own answer to that
# may take this much longer, in seconds.
DEADLINE_SLACK_SECONDS = 0.15


@dataclasses.dataclass(slots=True)
class Order:
    """A call as placement sees it.

    Parameters
    ==========

    last_upstream : str
        Incarnation of the upstream that has the call's history in memory.
    data_center : str
        Where the call came in.
    now : float
        Monotonic time in seconds.
    """

    last_upstream: str = ""
    affinity_key: str = ""
    data_center: str = ""
    now: float = 0.0


def choose_upstream(
    dispatcher: dispatch.Dispatcher,
    service: str,
    tried: Collection[str],
    order: Order,
) -> upstreams.Upstream | None:
    """Return an upstream, one that was not tried yet if there is one."""
    directory = dispatcher.directory
    candidates = directory.usable(service)
    if not candidates:
        candidates = directory.last_resort(service)
    fresh = [item for item in candidates if item.incarnation not in tried]
    candidates = fresh or candidates
    if not candidates:
        return None
    random.shuffle(candidates)
    return dispatcher.placement.choose(order, candidates)


@dataclasses.dataclass(frozen=True, slots=True)
class OutboundCall:
    """What a call is sent with, whichever upstream gets it.

    Parameters
    ==========

    preferred : str
        Incarnation of the upstream that has the call's history in memory.
    only : Upstream, optional
        The one place that the call may be sent to: another VM.
    extra_fields : tuple
        Header fields to add.
    """

    call: transport.IncomingCall
    facts: ports.CallFacts
    body: bytes
    preferred: str = ""
    only: upstreams.Upstream | None = None
    extra_fields: tuple[tuple[str, str], ...] = ()

    def choose(
        self,
        dispatcher: dispatch.Dispatcher,
        service: str,
        tried: Collection[str],
    ) -> upstreams.Upstream | None:
        """Return the upstream to send it to, or None if there is none."""
        if self.only is not None:
            return None if self.only.incarnation in tried else self.only
        order = Order(
            self.preferred,
            self.facts.affinity_key,
            dispatcher.data_center,
            dispatcher.timers.now(),
        )
        return choose_upstream(dispatcher, service, tried, order)

    def request(
        self,
        dispatcher: dispatch.Dispatcher,
        upstream: upstreams.Upstream,
        extra: ports.UpstreamExtra,
    ) -> transport.HttpRequest:
        """Return the request that carries the call to an upstream.

        Parameters
        ----------
        extra : UpstreamExtra
            What the delivery adds to the caller's fields.
        """
        wire = dispatcher.wire

        def is_answer(headers: dict[str, str]) -> bool:
            answered = wire.decode_answer(0, headers).request
            return answered in ("", self.facts.request)

        given = [
            (name, value)
            for name, value in self.call.fields
            if name.lower() != ports.RELAYED_NAME.lower()
        ]
        named = dataclasses.replace(
            extra,
            upstream=upstream.id,
            urgency=dispatcher.urgency.of(self.facts.rank),
            workspace=self.facts.workspace,
        )
        fields = wire.upstream_fields(given, named)
        return transport.HttpRequest(
            address=upstream.address,
            method=self.call.method,
            path=self.call.target,
            body=self.body,
            headers=(*fields, *self.extra_fields),
            connect_timeout=CONNECT_TIMEOUT_SECONDS,
            timeout=max(0.0, extra.remaining) + 2 * DEADLINE_SLACK_SECONDS,
            is_answer=is_answer,
        )
