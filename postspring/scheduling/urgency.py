"""Urgency: the priority of calls at upstreams, for queues and preemption."""

import abc

from postspring import registry

__all__ = ["ByRank", "Unranked", "Urgency", "urgency_by_name"]

# Upstreams have ten levels; 0 comes first.
MAX_URGENCY = 9

urgency_by_name: registry.Registry = registry.Registry("urgency")


class Urgency(abc.ABC):
    """Maps the rank of a call to an urgency for upstreams."""

    @abc.abstractmethod
    def of(self, rank: int) -> int | None:
        """Return a call's urgency, or None to send none.

        Parameters
        ----------
        rank : int
            Priority of the workspace or else of the route; 0 comes first.
        """


@urgency_by_name.register("none")
class Unranked(Urgency):
    """Upstreams serve calls in the order of arrival."""

    def of(self, rank: int) -> int | None:
        """Return no urgency."""
        return None


@urgency_by_name.register("rank")
class ByRank(Urgency):
    """By the rank that operators give workspaces and routes.

    Examples
    ========

    >>> ByRank().of(0), ByRank().of(12)
    (0, 9)
    """

    def of(self, rank: int) -> int | None:
        """Return the rank, capped at the last level of upstreams."""
        return min(rank, MAX_URGENCY)
