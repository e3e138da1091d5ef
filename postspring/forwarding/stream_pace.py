"""The pauses between the events of a stream."""

from postspring import upstreams

__all__ = ["StreamPace"]

# A stream with fewer pauses between its events is no useful sample.
MIN_PAUSES = 3


class StreamPace:
    """Measures a stream's pace, and reports it to the upstream's statistics.

    Each pause is reported at once as evidence of the current pace, and the
    average at the end.  The time before the first event does not count, as it
    depends on how much of the prompt the upstream has in memory.

    Examples
    ========

    >>> from postspring.upstreams import load
    >>> upstream = load.UpstreamLoad(concurrency=8)
    >>> pace = StreamPace(upstream)
    >>> pace.note_events(1, now=2.0)
    >>> upstream.streams.active
    1
    >>> pace.note_events(4, now=2.1)
    >>> round(upstream.streams.recent_gap, 3)
    0.025
    >>> pace.end()
    >>> upstream.streams.active
    0
    >>> pace.report(now=2.2)
    >>> round(upstream.pace, 3), upstream.streams.events_per_stream
    (0.05, 5.0)
    """

    def __init__(self, upstream: upstreams.UpstreamLoad):
        self._upstream = upstream
        self._events = 0
        self._first_events = 0
        self._first_at = 0.0
        self._last_at = 0.0
        self._has_ended = False

    def note_events(self, events: int, now: float) -> None:
        """Count events that were received now."""
        if not self._events:
            self._first_events = events
            self._first_at = now
            self._upstream.streams.begin_stream(now)
        else:
            gap = now - self._last_at
            self._upstream.streams.note_events(events, gap, now)
        self._events += events
        self._last_at = now

    def report(self, now: float) -> None:
        """Add a complete stream to the statistics of the upstream."""
        self._upstream.streams.note_length(self._events)
        if self._events:
            self._upstream.note_stream(now - self._first_at)
        pauses = self._events - self._first_events
        if pauses >= MIN_PAUSES:
            self._upstream.note_pace((now - self._first_at) / pauses, now)

    def end(self) -> None:
        """Stop counting the stream as active; later calls do nothing."""
        if self._events and not self._has_ended:
            self._has_ended = True
            self._upstream.streams.end_stream()
