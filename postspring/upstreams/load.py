"""What a VM observes of an upstream while it sends work there."""

import dataclasses
import math

__all__ = ["UpstreamLoad"]

FAILURES_TO_SUSPEND = 3
FIRST_SUSPENSION_SECONDS = 1.0
LONGEST_SUSPENSION_SECONDS = 30.0
# Weight of a new observation of the pace.
PACE_WEIGHT = 0.3
# What the other VMs have in flight is told four times a second; a figure that
# is older than this says nothing, in seconds.
OTHERS_SECONDS = 1.0
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
    others : int
        Calls that other VMs had in flight there when they last told.
    others_at : float
        When that was; seconds.
    """

    concurrency: int
    in_flight: int = 0
    leaving: bool = False
    failures: int = 0
    suspended_until: float = 0.0
    pace: float = 0.0
    paced_at: float = -math.inf
    others: int = 0
    others_at: float = -math.inf

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

    def note_others(self, calls: int, now: float) -> None:
        """Take note of what other VMs have in flight there."""
        self.others = calls
        self.others_at = now

    def knows_others(self, now: float) -> bool:
        """Return whether the other VMs' calls are known."""
        return now - self.others_at < OTHERS_SECONDS

    def calls_of_all(self, now: float) -> int:
        """Return the calls in flight there, as far as known.

        Examples
        --------
        >>> upstream = UpstreamLoad(concurrency=8, in_flight=1)
        >>> upstream.note_others(5, now=0.0)
        >>> upstream.calls_of_all(now=0.5), upstream.calls_of_all(now=1.5)
        (6, 1)
        """
        others = self.others if self.knows_others(now) else 0
        return self.in_flight + others

    def note_success(self) -> None:
        """Count a call that was answered."""
        self.failures = 0
