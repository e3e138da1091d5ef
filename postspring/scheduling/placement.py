"""Placement policies, which select the upstream of a call."""

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
    "typical_pace",
]

# How many more calls of this VM than the least loaded upstream a preferred
# one may have in flight: an upstream of the same data centre, and the one that
# has the history in memory (elsewhere the prompt takes some 70 ms to read).
NEAR_MARGIN_CALLS = 2
AFFINITY_MARGIN_CALLS = 4
# Load in calls that is added for an upstream of twice the typical pause: above
# the margins, so that a line of turns leaves it before more turns are late.
SLOWNESS_PENALTY_CALLS = 5.0
# A typical pace needs the pace of at least this many upstreams.
MIN_PACES = 3
# Lower bound of the typical pause between two events.
MIN_PAUSE_SECONDS = 1e-3

placement_by_name: registry.Registry = registry.Registry("placement")


class Placement(abc.ABC):
    """Selects one of the upstreams that have room for a call."""

    @abc.abstractmethod
    def choose(
        self, call: Any, candidates: Sequence[state.UpstreamState]
    ) -> state.UpstreamState | None:
        """Return the upstream to use, or None to keep the call waiting."""


@placement_by_name.register("random")
class Random(Placement):
    """Baseline: a random upstream."""

    def choose(self, call, candidates):
        """Return a random candidate."""
        return random.choice(candidates)


@placement_by_name.register("round_robin")
class RoundRobin(Placement):
    """Baseline: each upstream in turn."""

    def __init__(self):
        self._turn = 0

    def choose(self, call, candidates):
        """Return the next candidate."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


@placement_by_name.register("least_load")
class LeastLoad(Placement):
    """Baseline: the upstream with the smallest share of its slots used."""

    def choose(self, call, candidates):
        """Return the least loaded candidate."""
        return min(candidates, key=lambda upstream: upstream.load)


@placement_by_name.register("near_affinity")
class NearAffinity(Placement):
    """The line's last upstream, else a near one, else the least loaded.

    Explanation
    ===========

    An upstream of the same data centre causes no traffic between data
    centres, and stays reachable when the data centre is cut off.  An
    upstream elsewhere gets the call if all near ones have clearly more
    calls of this VM.

    Examples
    ========

    >>> from postspring import upstreams
    >>> def make(name, data_center, load):
    ...     return upstreams.Upstream(
    ...         id=name,
    ...         service="",
    ...         address=("", 0),
    ...         data_center=data_center,
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

    def choose(self, call, candidates):
        """Return the last, a near or the least loaded upstream."""
        cost_by_id = self._cost_by_id(call, candidates)

        def cost(upstream) -> float:
            return cost_by_id[upstream.id]

        least = min(candidates, key=cost)
        for upstream in candidates:
            if upstream.incarnation == call.last_upstream:
                if cost(upstream) <= cost(least) + AFFINITY_MARGIN_CALLS:
                    return upstream
        near = [
            upstream
            for upstream in candidates
            if upstream.data_center == call.data_center
        ]
        if near:
            nearest = min(near, key=cost)
            if cost(nearest) <= cost(least) + NEAR_MARGIN_CALLS:
                return nearest
        return least

    def _cost_by_id(self, call, candidates) -> dict[str, float]:
        """Return the cost of each upstream, in calls."""
        return {upstream.id: upstream.in_flight for upstream in candidates}


@placement_by_name.register("paced_affinity")
class PacedAffinity(NearAffinity):
    """Like near affinity, with an added cost for slow upstreams.

    Explanation
    ===========

    With many VMs, each knows only few of an upstream's calls.  The pace of
    the upstream's streams reflects the load by all VMs, and any other
    reason why the upstream is slow.

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

    def _cost_by_id(self, call, candidates):
        costs = super()._cost_by_id(call, candidates)
        typical = typical_pace(candidates, call.now)
        for upstream in candidates:
            excess = excess_pace(upstream, typical, call.now)
            costs[upstream.id] += SLOWNESS_PENALTY_CALLS * excess
        return costs


def typical_pace(candidates, now: float) -> float | None:
    """Return the median pause between events; None with too few samples."""
    known = [item.pace for item in candidates if item.pace_confidence(now)]
    if len(known) < MIN_PACES:
        return None
    return max(statistics.median(known), MIN_PAUSE_SECONDS)


def excess_pace(upstream, typical: float | None, now: float) -> float:
    """Return an upstream's excess over the typical pause, as a ratio.

    The ratio is weighted by the age of the pace: 1.0 means twice the typical
    pause, measured now.
    """
    if typical is None:
        return 0.0
    excess = max(0.0, upstream.pace / typical - 1.0)
    return excess * upstream.pace_confidence(now)


@placement_by_name.register("prefix_affinity")
class PrefixAffinity(Placement):
    """Baseline: the program's last upstream, else the least loaded."""

    def choose(self, call, candidates):
        """Return the program's last upstream, or the least loaded."""
        for upstream in candidates:
            if upstream.incarnation == call.last_upstream:
                return upstream
        return min(candidates, key=lambda upstream: upstream.load)
