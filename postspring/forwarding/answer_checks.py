"""Checks of a complete answer before it is passed on."""

from postspring import routing

__all__ = ["is_unproven_refusal"]

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
