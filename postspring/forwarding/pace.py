"""How fast the events of a stream come."""

from postspring import upstreams

__all__ = ["StreamPace"]

# A stream with fewer pauses between events says little about the pace.
LEAST_PAUSES = 3


class StreamPace:
    """Counts a stream's events, and tells its upstream's pace at the end.

    What comes before the first event is left out: it depends on how much
    of the prompt the upstream had in memory.

    Examples
    ========

    >>> from postspring.upstreams import load
    >>> upstream, pace = load.UpstreamLoad(concurrency=8), StreamPace()
    >>> pace.take(1, now=2.0)
    >>> pace.take(4, now=2.1)
    >>> pace.tell(upstream, now=2.2)
    >>> round(upstream.pace, 3)
    0.05
    """

    def __init__(self):
        self._events = 0
        self._first_events = 0
        self._since = 0.0

    def take(self, events: int, now: float) -> None:
        """Take note of events that came just now."""
        if not self._events:
            self._first_events = events
            self._since = now
        self._events += events

    def tell(self, upstream: upstreams.Upstream, now: float) -> None:
        """Tell an upstream how fast the stream came."""
        pauses = self._events - self._first_events
        if pauses >= LEAST_PAUSES:
            upstream.note_pace((now - self._since) / pauses, now)
