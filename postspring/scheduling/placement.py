"""Placement: which upstream gets a call."""

import abc
from collections.abc import Sequence
import random
from typing import Any

from postspring import registry
from postspring.upstreams import state

__all__ = [
    "LeastLoad",
    "Placement",
    "PrefixAffinity",
    "Random",
    "RoundRobin",
    "placement_by_name",
]

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


@placement_by_name.register("prefix_affinity")
class PrefixAffinity(Placement):
    """Baseline: where the program ran last, else the least loaded."""

    def choose(self, ticket, candidates):
        """Return the program's last upstream, or the least loaded."""
        for upstream in candidates:
            if upstream.id == ticket.last_upstream:
                return upstream
        return min(candidates, key=lambda upstream: upstream.load)
