"""What a VM observes of an upstream while it sends work there."""

import dataclasses
import math

__all__ = ["UpstreamLoad"]

FAILURES_TO_SUSPEND = 3
FIRST_SUSPENSION_SECONDS = 1.0
LONGEST_SUSPENSION_SECONDS = 30.0
# Weight of a new observation of the pace.
PACE_WEIGHT = 0.3
# After this long nothing is left of what a pace says, in seconds: bursts and
# slow spells of upstreams take about as long.
PACE_SECONDS = 4.0


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamLoad:
    """Work in flight and recent failures of one upstream.

    Parameters
    ==========

    concurrency : int
        Calls that the upstream runs, or gets from this VM, at once.
    in_flight : int
        Calls that this VM has running there.
    leaving : bool
        An upstream that is leaving gets no new work.
    suspended_until : float
        After repeated failures, until when it gets no work; seconds.
    pace : float
        Average seconds between two events of its streams, as seen lately.
    paced_at : float
        When a stream last told; seconds.
    """

    concurrency: int
    in_flight: int = 0
    leaving: bool = False
    failures: int = 0
    suspended_until: float = 0.0
    pace: float = 0.0
    paced_at: float = -math.inf

    @property
    def load(self) -> float:
        """Share of the upstream's room that this VM uses, from 0 to 1."""
        return self.in_flight / self.concurrency

    def accepts(self, now: float) -> bool:
        """Return whether the upstream may get new work."""
        return not self.leaving and now >= self.suspended_until

    def has_room(self, now: float) -> bool:
        """Return whether one more call fits now."""
        return self.accepts(now) and self.in_flight < self.concurrency

    def note_failure(self, now: float) -> None:
        """Count a failed call; suspend the upstream when they repeat."""
        self.failures += 1
        if self.failures < FAILURES_TO_SUSPEND:
            return
        doublings = min(self.failures - FAILURES_TO_SUSPEND, 10)
        pause = FIRST_SUSPENSION_SECONDS * 2**doublings
        self.suspended_until = now + min(pause, LONGEST_SUSPENSION_SECONDS)

    def suspend(self, now: float, seconds: float) -> None:
        """Send no work for a while, whatever the failures so far."""
        self.suspended_until = max(self.suspended_until, now + seconds)

    def note_pace(self, seconds: float, now: float) -> None:
        """Take note of the pause between two events of a stream."""
        if self.pace_trust(now):
            seconds = self.pace + PACE_WEIGHT * (seconds - self.pace)
        self.pace = seconds
        self.paced_at = now

    def pace_trust(self, now: float) -> float:
        """Return how much the pace still says, from 0 to 1."""
        return max(0.0, 1.0 - (now - self.paced_at) / PACE_SECONDS)

    def note_success(self) -> None:
        """Count a call that was answered."""
        self.failures = 0
