"""How fast an upstream's streams progress now, and on average."""

import dataclasses
import math

__all__ = ["StreamEvidence"]

# Time over which gaps between events are averaged for the current pace, in
# seconds: a few events, so that a slow period is seen after one or two gaps.
RECENT_SECONDS = 0.05
# Time over which gaps are averaged for the usual pace, in seconds of streams:
# several slow periods, whose effect on the average is then small.
USUAL_SECONDS = 5.0
# Time in which a gap loses its weight as evidence of the current pace, in
# seconds: slow periods of upstreams take about as long.  Programs on time in
# trials of the model (three seeds): 0.957 with 0.3, 0.960 with 0.6, 0.958 with
# 1.2 at the usual load; 0.887, 0.919, 0.907 at 1.4 times that load.
RECENT_VALID_SECONDS = 0.6
# A gap counts as at most this multiple of the usual one.  A single longer gap
# has causes of its own: a caller that does not read, or a pause of this VM.
MAX_GAP_RATIO = 4.0
# Weight of a new value in the moving average of events per stream.
EVENTS_SMOOTHING = 0.1


@dataclasses.dataclass(slots=True)
class StreamEvidence:
    """Gaps between the events of this VM's streams at one upstream.

    Parameters
    ==========

    active : int
        Streams that have sent their first event and have not ended.
    last_event_at : float
        Time of the last event of any stream; seconds.
    recent_gap : float
        Average of the last gaps between two events of a stream; seconds.
    recent_gap_at : float
        Time of the last gap; seconds.
    usual_gap : float
        Long-term average of the gaps; seconds.
    observed_seconds : float
        Sum of the gaps behind the long-term average.
    events_per_stream : float
        Moving average of the events of a complete stream; 0 if unknown.

    Examples
    ========

    A silent upstream is noticed while its streams are still active:

    >>> evidence = StreamEvidence()
    >>> evidence.begin_stream(now=1.00)
    >>> for number in range(1, 6):
    ...     evidence.note_events(1, gap=0.04, now=1.00 + 0.04 * number)
    >>> round(evidence.current_gap(now=1.21), 3)
    0.04
    >>> round(evidence.current_gap(now=1.50), 3)
    0.3
    """

    active: int = 0
    last_event_at: float = -math.inf
    recent_gap: float = 0.0
    recent_gap_at: float = -math.inf
    usual_gap: float = 0.0
    observed_seconds: float = 0.0
    events_per_stream: float = 0.0

    def begin_stream(self, now: float) -> None:
        """Record the first event of a stream."""
        self.active += 1
        self.last_event_at = now

    def note_events(self, events: int, gap: float, now: float) -> None:
        """Record events of a stream that arrived together.

        Parameters
        ----------
        gap : float
            Seconds since the stream's event before them.
        """
        self.last_event_at = now
        seconds = gap / events
        if self.observed_seconds:
            seconds = min(seconds, MAX_GAP_RATIO * self.usual_gap)
        elapsed = seconds * events
        known = min(self.observed_seconds, USUAL_SECONDS)
        if known + elapsed <= 0.0:
            return
        self.usual_gap += (seconds - self.usual_gap) * (
            elapsed / (known + elapsed)
        )
        self.observed_seconds = known + elapsed
        if now - self.recent_gap_at < RECENT_VALID_SECONDS:
            weight = elapsed / (RECENT_SECONDS + elapsed)
            self.recent_gap += (seconds - self.recent_gap) * weight
        else:
            self.recent_gap = seconds
        self.recent_gap_at = now

    def end_stream(self) -> None:
        """Record the end of a stream, complete or not."""
        self.active -= 1

    def note_length(self, events: int) -> None:
        """Record the number of events of a complete stream."""
        if not events:
            return
        if self.events_per_stream:
            change = events - self.events_per_stream
            self.events_per_stream += EVENTS_SMOOTHING * change
        else:
            self.events_per_stream = float(events)

    def current_gap(self, now: float) -> float:
        """Return the expected seconds between two events of a stream now.

        Recent gaps lose their weight with age in favour of the usual gap.
        If no stream has progressed for longer than that, the time since the
        last event of any of them counts: one stream alone may stand still
        because its caller does not read.
        """
        age = now - self.recent_gap_at
        confidence = max(0.0, 1.0 - age / RECENT_VALID_SECONDS)
        gap = self.usual_gap + confidence * (self.recent_gap - self.usual_gap)
        if self.active and self.observed_seconds:
            gap = max(gap, now - self.last_event_at)
        return gap
