"""Permits that this VM got lately, to report to other allocators."""

import collections

__all__ = ["GrantedPermits"]


class GrantedPermits:
    """Permits by workspace and data centre, with the VMs that granted them.

    When another VM becomes the allocator, it learns from these reports what
    its predecessor granted.

    Parameters
    ==========

    span : float
        Seconds for which a permit counts.

    Examples
    ========

    >>> granted = GrantedPermits(span=5.0)
    >>> granted.add("acme", "z1", "vm-a/1", now=10.0)
    >>> granted.ages("acme", "z1", "vm-a/1", now=11.0)
    []
    >>> granted.ages("acme", "z1", "vm-b/1", now=11.0)
    [1.0]
    >>> granted.mark_reported("acme", "z1", "vm-b/1")
    >>> granted.ages("acme", "z1", "vm-b/1", now=11.0)
    []
    """

    def __init__(self, span: float):
        self._span = span
        self._by_part: dict[
            tuple[str, str], collections.deque[tuple[float, str]]
        ] = {}
        self._reported_by_part: dict[tuple[str, str], str] = {}

    def add(
        self, workspace: str, data_center: str, allocator: str, now: float
    ) -> None:
        """Add a permit; ``allocator`` is the incarnation of its allocator."""
        permits = self._by_part.setdefault(
            (workspace, data_center), collections.deque()
        )
        permits.append((now, allocator))
        while permits[0][0] <= now - self._span:
            permits.popleft()

    def ages(
        self, workspace: str, data_center: str, allocator: str, now: float
    ) -> list[float]:
        """Return the ages of permits not yet reported to an allocator."""
        key = (workspace, data_center)
        if self._reported_by_part.get(key) == allocator:
            return []
        return [
            now - granted_at
            for granted_at, granted_by in self._by_part.get(key, ())
            if granted_by != allocator and granted_at > now - self._span
        ]

    def remove(self, workspace: str, data_center: str, allocator: str) -> None:
        """Remove one permit of an allocator, as its request did not run."""
        permits = self._by_part.get((workspace, data_center), ())
        for entry in reversed(permits):
            if entry[1] == allocator:
                permits.remove(entry)
                return

    def mark_reported(
        self, workspace: str, data_center: str, allocator: str
    ) -> None:
        """Record that the permits were reported to an allocator."""
        self._reported_by_part[(workspace, data_center)] = allocator
