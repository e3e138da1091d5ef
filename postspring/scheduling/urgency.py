"""Urgency: which calls upstreams admit first, and preempt for others."""

import abc

from postspring import registry

__all__ = ["ByRank", "Unranked", "Urgency", "urgency_by_name"]

# Upstreams know ten, 0 first.
LAST_URGENCY = 9

urgency_by_name: registry.Registry = registry.Registry("urgency")


class Urgency(abc.ABC):
    """Tells upstreams which calls go first."""

    @abc.abstractmethod
    def of(self, rank: int) -> int | None:
        """Return a call's urgency, or None to say nothing.

        Parameters
        ----------
        rank : int
            Of its workspace, else of its route; 0 first.
        """


@urgency_by_name.register("none")
class Unranked(Urgency):
    """First come, first served."""

    def of(self, rank: int) -> int | None:
        """Say nothing."""
        return None


@urgency_by_name.register("rank")
class ByRank(Urgency):
    """As operators rank workspaces and routes.

    Examples
    ========

    >>> ByRank().of(0), ByRank().of(12)
    (0, 9)
    """

    def of(self, rank: int) -> int | None:
        """Return the rank, as far as upstreams know so many."""
        return min(rank, LAST_URGENCY)
