"""Checks of an upstream's answer before it is passed on."""

from postspring.forwarding import ports
from postspring import routing

__all__ = ["is_unproven_refusal", "is_uncountable_success"]

NOT_RUN_STATUSES = (408, 421, 429, 503)


def is_unproven_refusal(
    status: int, route: routing.Route, is_relayed: bool
) -> bool:
    """Return whether only the status claims that the call did not run.

    An answer that another VM generated is relayed as it is.

    Examples
    --------
    >>> share = routing.ServiceShare("s")
    >>> route = routing.Route(
    ...     "r", "h", "/", routing.CallKind.ONCE, (share,), 1, 1, 2
    ... )
    >>> is_unproven_refusal(503, route, is_relayed=False)
    True
    >>> is_unproven_refusal(503, route, is_relayed=True)
    False
    """
    return (
        status in NOT_RUN_STATUSES and not route.may_repeat and not is_relayed
    )


def is_uncountable_success(status: int, answer: ports.ResponseFacts) -> bool:
    """Return whether an answer is a success that its caller can't count.

    An upstream signs each success, and encodes no body.  Another answer comes
    from another program at its address, or from an upstream that fails.

    Examples
    --------
    >>> is_uncountable_success(200, ports.ResponseFacts())
    True
    >>> is_uncountable_success(200, ports.ResponseFacts(sealed=True))
    False
    >>> is_uncountable_success(
    ...     200, ports.ResponseFacts(sealed=True, is_encoded=True)
    ... )
    True
    >>> is_uncountable_success(404, ports.ResponseFacts())
    False
    """
    is_countable = answer.sealed and not answer.is_encoded
    return 200 <= status < 300 and not is_countable
