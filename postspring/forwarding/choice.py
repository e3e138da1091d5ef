"""Which upstream a call is sent to, and with what."""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import random

from postspring.forwarding import dispatch
from postspring.forwarding import ports
from postspring import transport
from postspring import upstreams

__all__ = ["Order", "choose_upstream", "upstream_request"]

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
        Id of the upstream that has the call's history in memory.
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
    fresh = [item for item in candidates if item.id not in tried]
    candidates = fresh or candidates
    if not candidates:
        return None
    random.shuffle(candidates)
    return dispatcher.placement.choose(order, candidates)


def upstream_request(
    dispatcher: dispatch.Dispatcher,
    upstream: upstreams.Upstream,
    call: transport.IncomingCall,
    body: bytes,
    remaining: float,
    extra_fields: tuple[tuple[str, str], ...],
    is_answer: Callable[[dict[str, str]], bool],
) -> transport.HttpRequest:
    """Return the request that carries a call to an upstream.

    Parameters
    ----------
    remaining : float
        Seconds until there has to be an answer.
    is_answer : callable
        Tells by its header fields whether a response answers this call.
    """
    extra = ports.UpstreamExtra(remaining, upstream.id)
    fields = dispatcher.wire.upstream_fields(call.fields, extra)
    return transport.HttpRequest(
        address=upstream.address,
        method=call.method,
        path=call.target,
        body=body,
        headers=(*fields, *extra_fields),
        connect_timeout=CONNECT_TIMEOUT_SECONDS,
        timeout=max(0.0, remaining) + 2 * DEADLINE_SLACK_SECONDS,
        is_answer=is_answer,
    )
