"""Which upstreams are probably dead, by what all VMs together saw of them.

The pattern that it answers: many VMs before few upstreams, one of which
crashes while its entry still stands.  Each VM that has not tried it yet loses
a call that may not be repeated there, and the program with it; and a dead
upstream has nothing in flight, so placement takes it for the freest.  In the
model of 195 VMs and 31 upstreams, four of them dead, VMs that tell each other
lose less than a third of the calls (tests/test_suspicion.py).

Calls whose connection broke are told among the VMs of a data centre, and
among the data centres; streams that were under way are the first.  Two of
them make an upstream suspected, unless anybody heard from it after the later
one; whoever did says so.
"""

import dataclasses
import math
from typing import NamedTuple

from postspring.upstreams import load as load_module

__all__ = ["Sighting", "SuspicionBoard"]

# For how long a broken call says something, in seconds: as long as a report
# of loads does.
SIGHTING_SECONDS = 0.7
# So many broken calls without an answer after them make a suspicion.  A
# single lost answer is not taken for a crash.
BREAKS = 2
# For how long it is remembered that calls broke, in seconds: as long as any
# VM may leave the upstream alone for it.
MEMORY_SECONDS = 2 * load_module.SUSPECT_SECONDS


class Sighting(NamedTuple):
    """What somebody saw of an upstream.

    Parameters
    ==========

    upstream : str
        Incarnation of the upstream.
    age : float
        Seconds since then.
    breaks : int
        Calls whose connection broke; 0: something came from it.
    """

    upstream: str
    age: float
    breaks: int


@dataclasses.dataclass(slots=True)
class _Record:
    breaks: int = 0
    broken_at: float = -math.inf
    answered_at: float = -math.inf


class SuspicionBoard:
    """Adds sightings up.

    Examples
    ========

    >>> board = SuspicionBoard()
    >>> board.take(Sighting("u", 0.0, breaks=1), now=1.0)
    >>> board.suspects(now=1.0)
    {}
    >>> board.take(Sighting("u", 0.0, breaks=1), now=1.1)
    >>> board.suspects(now=1.2)
    {'u': 1.1}
    >>> board.take(Sighting("u", 0.05, breaks=0), now=1.3)
    >>> board.suspects(now=1.3)
    {}
    """

    def __init__(self):
        self._record_by_upstream: dict[str, _Record] = {}

    def take(self, sighting: Sighting, now: float) -> None:
        """Take what somebody saw."""
        record = self._record_by_upstream.setdefault(
            sighting.upstream, _Record()
        )
        at = now - sighting.age
        if not sighting.breaks:
            record.answered_at = max(record.answered_at, at)
            if at > record.broken_at:
                record.breaks = 0
            return
        if at <= record.answered_at:
            return
        if at - record.broken_at > SIGHTING_SECONDS:
            record.breaks = 0
        record.breaks += sighting.breaks
        record.broken_at = max(record.broken_at, at)

    def suspects(self, now: float) -> dict[str, float]:
        """Return when calls last broke at those that are suspected."""
        self._forget(now)
        return {
            upstream: record.broken_at
            for upstream, record in self._record_by_upstream.items()
            if record.breaks >= BREAKS
        }

    def _forget(self, now: float) -> None:
        oldest = now - MEMORY_SECONDS
        self._record_by_upstream = {
            upstream: record
            for upstream, record in self._record_by_upstream.items()
            if max(record.broken_at, record.answered_at) > oldest
        }
