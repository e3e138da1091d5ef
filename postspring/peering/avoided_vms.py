"""VMs that get no requests for a while after a failed one."""

from collections.abc import Callable

from postspring.peering import members as members_module

__all__ = ["AvoidedVms"]


class AvoidedVms:
    """Set of VMs to which a request failed a moment ago.

    Parameters
    ==========

    seconds : float
        Time that a VM stays in the set.
    now : callable
        Monotonic time in seconds.

    Examples
    ========

    >>> time = [0.0]
    >>> avoided = AvoidedVms(1.0, lambda: time[0])
    >>> vm = members_module.Member("a", "a/1", "z", ("h", 1), ("h", 2))
    >>> avoided.add(vm)
    >>> vm in avoided
    True
    >>> time[0] = 1.0
    >>> vm in avoided
    False
    """

    def __init__(self, seconds: float, now: Callable[[], float]):
        self._seconds = seconds
        self._now = now
        self._until_by_name: dict[str, float] = {}

    def add(
        self, member: members_module.Member, since: float | None = None
    ) -> None:
        """Add a VM; its time starts at ``since``, by default now."""
        if since is None:
            since = self._now()
        until = self._until_by_name.get(member.name, 0.0)
        self._until_by_name[member.name] = max(until, since + self._seconds)

    def __contains__(self, member: members_module.Member) -> bool:
        return self._until_by_name.get(member.name, 0.0) > self._now()
