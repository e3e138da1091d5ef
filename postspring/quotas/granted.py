"""What this VM was granted lately, for dealers that don't know it yet."""

import collections

__all__ = ["GrantedPermits"]


class GrantedPermits:
    """Permits by workspace and data centre, and who granted them.

    Parameters
    ==========

    span : float
        Seconds after which a permit counts no more.

    Examples
    ========

    >>> granted = GrantedPermits(span=5.0)
    >>> granted.add("acme", "z1", "vm-a/1", now=10.0)
    >>> granted.ages("acme", "z1", "vm-a/1", now=11.0)
    []
    >>> granted.ages("acme", "z1", "vm-b/1", now=11.0)
    [1.0]
    >>> granted.note_told("acme", "z1", "vm-b/1")
    >>> granted.ages("acme", "z1", "vm-b/1", now=11.0)
    []
    """

    def __init__(self, span: float):
        self._span = span
        self._by_part: dict[
            tuple[str, str], collections.deque[tuple[float, str]]
        ] = {}
        self._told_by_part: dict[tuple[str, str], str] = {}

    def add(self, workspace: str, place: str, dealer: str, now: float) -> None:
        """Take note of a permit; ``dealer`` is the VM's incarnation."""
        part = self._by_part.setdefault(
            (workspace, place), collections.deque()
        )
        part.append((now, dealer))
        while part[0][0] <= now - self._span:
            part.popleft()

    def ages(
        self, workspace: str, place: str, dealer: str, now: float
    ) -> list[float]:
        """Return how old the permits are that a dealer does not know of."""
        key = (workspace, place)
        if self._told_by_part.get(key) == dealer:
            return []
        return [
            now - at
            for at, granted_by in self._by_part.get(key, ())
            if granted_by != dealer and at > now - self._span
        ]

    def remove(self, workspace: str, place: str, dealer: str) -> None:
        """Forget one permit of a dealer: nothing ran by it."""
        part = self._by_part.get((workspace, place), ())
        for entry in reversed(part):
            if entry[1] == dealer:
                part.remove(entry)
                return

    def note_told(self, workspace: str, place: str, dealer: str) -> None:
        """Take note that a dealer has heard of them."""
        self._told_by_part[(workspace, place)] = dealer
