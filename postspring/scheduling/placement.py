"""Placement: which upstream gets a call."""

import abc
from collections.abc import Sequence
import random
import statistics
from typing import Any

from postspring import registry
from postspring.upstreams import state

__all__ = [
    "LeastLoad",
    "NearAffinity",
    "PacedAffinity",
    "Placement",
    "PrefixAffinity",
    "Random",
    "RoundRobin",
    "excess_pace",
    "placement_by_name",
    "usual_pace",
]

# How many more calls of this VM an upstream may have in flight than the
# least loaded one, and still be preferred: for being near, and for having
# the history in memory (a prompt read again takes some 70 ms).
NEAR_CALLS = 2
AFFINITY_CALLS = 4
# What an upstream that is twice as slow as usual counts for, in calls: a
# line of turns then leaves it, as the rest of its turns would be late.
SLOW_CALLS = 5.0
# The usual pace is not known from fewer upstreams.
LEAST_PACES = 3
# Below this a pause between two events is no measure, in seconds.
SHORTEST_PAUSE_SECONDS = 1e-3

placement_by_name: registry.Registry = registry.Registry("placement")


class Placement(abc.ABC):
    """Chooses among upstreams that have room for a call."""

    @abc.abstractmethod
    def choose(
        self, ticket: Any, candidates: Sequence[state.UpstreamState]
    ) -> state.UpstreamState | None:
        """Return the upstream to use, or None to wait for a better one."""


@placement_by_name.register("random")
class Random(Placement):
    """Baseline: any upstream."""

    def choose(self, ticket, candidates):
        """Return any candidate."""
        return random.choice(candidates)


@placement_by_name.register("round_robin")
class RoundRobin(Placement):
    """Baseline: each upstream in turn."""

    def __init__(self):
        self._turn = 0

    def choose(self, ticket, candidates):
        """Return the next candidate."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


@placement_by_name.register("least_load")
class LeastLoad(Placement):
    """Baseline: the upstream with the smallest share of its room used."""

    def choose(self, ticket, candidates):
        """Return the least loaded candidate."""
        return min(candidates, key=lambda upstream: upstream.load)


@placement_by_name.register("near_affinity")
class NearAffinity(Placement):
    """Where the line of turns ran last, else near, else the least loaded.

    Explanation
    ===========

    An upstream of the same data centre costs no bytes between data
    centres, and goes on when the data centre is cut off.  One elsewhere is
    taken when the near ones have clearly more of this VM's work.

    Examples
    ========

    >>> from postspring import upstreams
    >>> def make(name, place, load):
    ...     return upstreams.Upstream(
    ...         id=name,
    ...         service="",
    ...         address=("", 0),
    ...         data_center=place,
    ...         concurrency=8,
    ...         in_flight=load,
    ...     )
    >>> near, far = make("n", "here", 2), make("f", "there", 0)
    >>> class Call:
    ...     last_upstream = ""
    ...     data_center = "here"
    >>> NearAffinity().choose(Call, [near, far]).id
    'n'
    >>> near.in_flight = 4
    >>> NearAffinity().choose(Call, [near, far]).id
    'f'
    """

    def choose(self, ticket, candidates):
        """Return the line's last upstream, a near one, or any."""
        cost_by_id = self._costs(ticket, candidates)

        def cost(upstream) -> float:
            return cost_by_id[upstream.id]

        least = min(candidates, key=cost)
        for upstream in candidates:
            if upstream.incarnation == ticket.last_upstream:
                if cost(upstream) <= cost(least) + AFFINITY_CALLS:
                    return upstream
        near = [
            upstream
            for upstream in candidates
            if upstream.data_center == ticket.data_center
        ]
        if near:
            nearest = min(near, key=cost)
            if cost(nearest) <= cost(least) + NEAR_CALLS:
                return nearest
        return least

    def _costs(self, ticket, candidates) -> dict[str, float]:
        """Return what speaks against each upstream, in calls."""
        return {upstream.id: upstream.in_flight for upstream in candidates}


@placement_by_name.register("paced_affinity")
class PacedAffinity(NearAffinity):
    """As near affinity, but slow upstreams count as loaded.

    Explanation
    ===========

    With many VMs, each sees few of an upstream's calls; how fast its
    streams come tells what all of them do there, and whether it is slow
    for another reason.

    Examples
    ========

    >>> from postspring import upstreams
    >>> def make(name, pace):
    ...     upstream = upstreams.Upstream(
    ...         id=name,
    ...         service="",
    ...         address=("", 0),
    ...         data_center="here",
    ...         concurrency=8,
    ...     )
    ...     upstream.note_pace(pace, now=0.0)
    ...     return upstream
    >>> class Call:
    ...     last_upstream = "slow"
    ...     data_center = "here"
    ...     now = 0.0
    >>> candidates = [make("a", 0.03), make("b", 0.03), make("slow", 0.09)]
    >>> PacedAffinity().choose(Call, candidates).id
    'a'
    >>> Call.now = 4.0
    >>> PacedAffinity().choose(Call, candidates).id
    'slow'
    """

    def _costs(self, ticket, candidates):
        costs = super()._costs(ticket, candidates)
        usual = usual_pace(candidates, ticket.now)
        for upstream in candidates:
            excess = excess_pace(upstream, usual, ticket.now)
            costs[upstream.id] += SLOW_CALLS * excess
        return costs


def usual_pace(candidates, now: float) -> float | None:
    """Return the usual pause between two events, if enough is known."""
    known = [item.pace for item in candidates if item.pace_trust(now)]
    if len(known) < LEAST_PACES:
        return None
    return max(statistics.median(known), SHORTEST_PAUSE_SECONDS)


def excess_pace(upstream, usual: float | None, now: float) -> float:
    """Return how much slower than usual an upstream is, as far as trusted.

    1.0 is twice as slow, seen just now.
    """
    if usual is None:
        return 0.0
    excess = max(0.0, upstream.pace / usual - 1.0)
    return excess * upstream.pace_trust(now)


@placement_by_name.register("prefix_affinity")
class PrefixAffinity(Placement):
    """Baseline: where the program ran last, else the least loaded."""

    def choose(self, ticket, candidates):
        """Return the program's last upstream, or the least loaded."""
        for upstream in candidates:
            if upstream.incarnation == ticket.last_upstream:
                return upstream
        return min(candidates, key=lambda upstream: upstream.load)
