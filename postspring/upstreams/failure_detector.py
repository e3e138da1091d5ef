"""Failure detector that combines the observations of all VMs.

It is made for many VMs that send to few upstreams, one of which crashes while
its entry is still in the log.  Without an exchange, each VM that has not tried
that upstream yet loses a call that must not be repeated, and the program with
it; placement even prefers a crashed upstream, as it has no calls in flight.
In a model of 195 VMs and 31 upstreams, four of them crashed, the exchange
keeps the lost calls below a third (tests/test_failure_detector.py).

VMs report calls whose connection broke within their data centre and between
data centres; the first reports come from streams in progress.  Two broken
calls make an upstream suspected, unless a VM received data from it after the
later one; such a VM reports that too.
"""

import dataclasses
import math
from typing import NamedTuple

from postspring.upstreams import load as load_module

__all__ = ["FailureDetector", "UpstreamObservation"]

# Broken calls further apart than this aren't added up, in seconds: a report of
# loads is valid for as long.
BREAK_WINDOW_SECONDS = 0.7
# Broken calls, with no response after them, that make an upstream suspected.
# A single lost response is no sign of a crash.
MIN_BROKEN_CALLS = 2
# How long observations are kept, in seconds: as long as any VM may avoid a
# suspected upstream.
RETENTION_SECONDS = 2 * load_module.SUSPECT_SECONDS


class UpstreamObservation(NamedTuple):
    """One VM's observation of an upstream.

    Parameters
    ==========

    upstream : str
        Incarnation of the upstream.
    age : float
        Seconds since the observation.
    broken_calls : int
        Calls whose connection broke; 0 if data arrived from the upstream.
    """

    upstream: str
    age: float
    broken_calls: int


@dataclasses.dataclass(slots=True)
class _ConnectionRecord:
    broken_calls: int = 0
    broken_at: float = -math.inf
    answered_at: float = -math.inf


class FailureDetector:
    """Counts broken calls by upstream and names the suspected upstreams.

    Examples
    ========

    >>> detector = FailureDetector()
    >>> detector.add(UpstreamObservation("u", 0.0, broken_calls=1), now=1.0)
    >>> detector.suspects(now=1.0)
    {}
    >>> detector.add(UpstreamObservation("u", 0.0, broken_calls=1), now=1.1)
    >>> detector.suspects(now=1.2)
    {'u': 1.1}
    >>> detector.add(UpstreamObservation("u", 0.05, broken_calls=0), now=1.3)
    >>> detector.suspects(now=1.3)
    {}
    """

    def __init__(self):
        self._record_by_upstream: dict[str, _ConnectionRecord] = {}

    def add(self, observation: UpstreamObservation, now: float) -> None:
        """Add an observation, made ``observation.age`` seconds before now."""
        record = self._record_by_upstream.setdefault(
            observation.upstream, _ConnectionRecord()
        )
        observed_at = now - observation.age
        if not observation.broken_calls:
            record.answered_at = max(record.answered_at, observed_at)
            if observed_at > record.broken_at:
                record.broken_calls = 0
            return
        if observed_at <= record.answered_at:
            return
        if observed_at - record.broken_at > BREAK_WINDOW_SECONDS:
            record.broken_calls = 0
        record.broken_calls += observation.broken_calls
        record.broken_at = max(record.broken_at, observed_at)

    def suspects(self, now: float) -> dict[str, float]:
        """Return the time of the last broken call by suspected upstream."""
        self._discard_expired(now)
        return {
            upstream: record.broken_at
            for upstream, record in self._record_by_upstream.items()
            if record.broken_calls >= MIN_BROKEN_CALLS
        }

    def _discard_expired(self, now: float) -> None:
        oldest = now - RETENTION_SECONDS
        self._record_by_upstream = {
            upstream: record
            for upstream, record in self._record_by_upstream.items()
            if max(record.broken_at, record.answered_at) > oldest
        }
