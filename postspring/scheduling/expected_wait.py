"""Placement by the time until a call would be done at each upstream.

It is meant for upstreams whose speed differs or changes within a second.  A
number of calls in flight does not show how long they take, and the average
pace of completed streams takes seconds to follow a change.
"""

import dataclasses
import itertools
import statistics
from typing import Any

from postspring.scheduling import placement

__all__ = ["ExpectedWait"]

# Size of the random sample of this data centre's upstreams, and of that of all
# upstreams, of which the best is chosen; see the reason in shared_load.py.
SAMPLE_SIZE = 3
# How much longer, in seconds, a call may take at the upstream that has its
# line's history than elsewhere.  It covers what the time to read the prompt
# does not: reading delays the calls that run there, and displaces other
# histories.  It is the time that a program of one second has to spare.
# Programs on time in the model, uneven engines at 1.0 and 1.4 times the usual
# load (three seeds): 0.964, 0.872 with 0.35; 0.973, 0.940 with 0.5; 0.965,
# 0.930 with 0.7.
AFFINITY_MARGIN_SECONDS = 0.5
# How much longer a call may take in this data centre than in another one:
# traffic between data centres is charged, and near calls continue when this
# data centre is cut off.  Without it 0.973 and 0.860 of programs were on time
# in the model where it is 0.973 and 0.940 with it.
NEAR_MARGIN_SECONDS = 0.05
# Time to read a token of a prompt at an upstream of typical pace, in seconds:
# 61,200 tokens a second, as the engine of the load model reads.
READ_SECONDS_PER_TOKEN = 1.6e-5
# Weight of the typical gap against an upstream's own gaps, in seconds of
# streams: a few events that came late are not yet a slow upstream.
PRIOR_SECONDS = 0.2
# Duration of a call while no stream has ended, in seconds; also that of calls
# that are not streams.
DEFAULT_CALL_SECONDS = 0.3
# Upstreams of which the typical values are computed, so that their cost does
# not grow with the service.
MAX_TYPICAL_UPSTREAMS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class _Typical:
    """Typical values of a service's streams.

    Parameters
    ==========

    gap : float
        Seconds between two events of a stream.
    events : float
        Events of a stream.
    """

    gap: float
    events: float


@placement.placement_by_name.register("expected_wait")
class ExpectedWait(placement.Placement):
    """The upstream where the call is expected to be done first.

    Explanation
    ===========

    The cost of an upstream is, in seconds, the duration of a call there, and
    as much again for each batch of calls ahead of it.  The duration follows
    the gaps between the events of this VM's streams.  At an upstream other
    than the line's last one, the prompt has to be read as well.

    Examples
    ========

    >>> from postspring import upstreams
    >>> def make(name, gap):
    ...     upstream = upstreams.Upstream(
    ...         id=name,
    ...         service="",
    ...         address=("", 0),
    ...         data_center="here",
    ...         concurrency=8,
    ...         in_flight=4,
    ...     )
    ...     upstream.streams.begin_stream(now=0.0)
    ...     for number in range(1, 11):
    ...         upstream.streams.note_events(1, gap, now=gap * number)
    ...     upstream.streams.note_length(11)
    ...     return upstream
    >>> class Call:
    ...     last_upstream = "slow"
    ...     data_center = "here"
    ...     now = 1.0
    ...     prompt_tokens = 2000
    >>> candidates = [make("slow", 0.1), make("a", 0.04), make("b", 0.04)]
    >>> for upstream in candidates:
    ...     upstream.streams.end_stream()
    >>> ExpectedWait().choose(Call, candidates).id
    'a'
    >>> sorted(Call.cost_by_id)
    ['a', 'b', 'slow']
    >>> Call.prompt_tokens = 50_000
    >>> ExpectedWait().choose(Call, candidates).id
    'slow'
    """

    def choose(self, call, candidates):
        """Return the upstream with the least cost of those compared.

        ``call.cost_by_id`` gets the costs in seconds of the chosen upstream,
        the next best one and the line's last one.  Candidates have to be in
        random order.
        """
        typical = _typical(candidates)
        last = None
        has_shared_loads = False
        for upstream in candidates:
            if upstream.incarnation == call.last_upstream:
                last = upstream
            if upstream.has_recent_peer_calls(call.now):
                has_shared_loads = True
        compared = candidates
        if has_shared_loads:
            compared = _sample(candidates, call.data_center)
        compared = {item.incarnation: item for item in compared}
        if last is not None:
            compared[last.incarnation] = last
        ranking = sorted(
            (
                (self.cost(call, item, typical), item)
                for item in compared.values()
            ),
            key=lambda pair: pair[0],
        )
        call.cost_by_id = {
            item.id: cost
            for rank, (cost, item) in enumerate(ranking)
            if rank < 2 or item is last
        }
        return ranking[0][1]

    def cost(self, call: Any, upstream: Any, typical: _Typical) -> float:
        """Return the expected seconds until the call is done there.

        The margins are included, as seconds.
        """
        gap = _current_gap(upstream, typical, call.now)
        calls = upstream.total_calls(call.now)
        slots = upstream.concurrency
        batches = 1.0 + (calls + 1) / slots
        seconds = batches * gap * typical.events
        if upstream.data_center != call.data_center:
            seconds += NEAR_MARGIN_SECONDS
        if upstream.incarnation == call.last_upstream:
            return seconds
        slowness = gap / typical.gap
        seconds += slowness * READ_SECONDS_PER_TOKEN * call.prompt_tokens
        if call.last_upstream:
            seconds += AFFINITY_MARGIN_SECONDS
        return seconds


def _typical(candidates) -> _Typical:
    """Return the median gap and the mean length of streams."""
    known = [
        item.streams
        for item in itertools.islice(candidates, MAX_TYPICAL_UPSTREAMS)
        if item.streams.observed_seconds
    ]
    if not known:
        return _Typical(DEFAULT_CALL_SECONDS, 1.0)
    gap = statistics.median(streams.usual_gap for streams in known)
    lengths = [
        streams.events_per_stream
        for streams in known
        if streams.events_per_stream
    ]
    if not lengths:
        return _Typical(gap, max(1.0, DEFAULT_CALL_SECONDS / gap))
    return _Typical(gap, statistics.fmean(lengths))


def _current_gap(upstream, typical: _Typical, now: float) -> float:
    """Return an upstream's gap, near the typical one if little is known."""
    streams = upstream.streams
    observed = streams.observed_seconds
    if not observed:
        return typical.gap
    weight = observed / (observed + PRIOR_SECONDS)
    return typical.gap + weight * (streams.current_gap(now) - typical.gap)


def _sample(candidates, data_center: str) -> list:
    """Return a sample of this data centre's and one of all candidates."""
    near = [item for item in candidates if item.data_center == data_center]
    return [*near[:SAMPLE_SIZE], *candidates[:SAMPLE_SIZE]]
