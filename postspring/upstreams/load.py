"""What a VM observes of an upstream while it sends work there."""

import dataclasses
import math
import random

__all__ = ["UpstreamLoad"]

FAILURES_TO_SUSPEND = 3
FIRST_SUSPENSION_SECONDS = 1.0
LONGEST_SUSPENSION_SECONDS = 30.0
# Weight of a new observation of the pace.
PACE_WEIGHT = 0.3
# What the other VMs have in flight is told four times a second; a figure that
# is older than this says nothing, in seconds.
OTHERS_SECONDS = 1.0
# For how long an upstream whose calls break gets no work, in seconds.  Those
# that start again take seconds.  Each VM waits up to twice as long, so that
# some of them find out whether it is back, and not all of them at once.
SUSPECT_SECONDS = 1.0
# So many broken calls in a row mean that an upstream is gone.
BREAKS_IN_A_ROW = 2
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
    answered_at : float
        When anything of an answer came from it last; seconds.
    broken_at : float
        When a call's connection broke last; seconds.
    breaks_in_a_row : int
        Broken calls since then; 0 once something came again.
    untold_breaks : int
        Broken calls that the other VMs have not been told of.
    suspected_at : float
        When calls of any VMs broke that make it suspected; seconds.
    suspected_until : float
        Until when it gets no work because of that; seconds.
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
    answered_at: float = -math.inf
    broken_at: float = -math.inf
    breaks_in_a_row: int = 0
    untold_breaks: int = 0
    suspected_at: float = -math.inf
    suspected_until: float = 0.0

    @property
    def load(self) -> float:
        """Share of the upstream's room that this VM uses, from 0 to 1."""
        return self.in_flight / self.concurrency

    def accepts(self, now: float) -> bool:
        """Return whether the upstream may get new work."""
        free_at = max(self.suspended_until, self.suspected_until)
        return not self.leaving and now >= free_at

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

    def note_answer(self, now: float) -> None:
        """Take note that anything of an answer came."""
        self.answered_at = now
        self.breaks_in_a_row = 0

    def note_break(self, sent_at: float, now: float) -> None:
        """Take note that a call's connection broke.

        The upstream gets no work for a while, unless something came from
        it since the call was sent: then it is one call or one connection,
        and not the upstream, until the next one breaks as well.

        Examples
        --------
        >>> upstream = UpstreamLoad(concurrency=8)
        >>> upstream.note_answer(now=1.0)
        >>> upstream.note_break(sent_at=0.9, now=1.1)
        >>> upstream.accepts(now=1.1)
        True
        >>> upstream.note_break(sent_at=0.9, now=1.1)
        >>> upstream.accepts(now=1.9), upstream.accepts(now=3.2)
        (False, True)
        """
        self.broken_at = now
        self.untold_breaks += 1
        self.breaks_in_a_row += 1
        in_a_row = self.breaks_in_a_row >= BREAKS_IN_A_ROW
        if in_a_row or self.answered_at <= sent_at:
            self.suspend(now, _spread(SUSPECT_SECONDS))

    def suspect(self, broken_at: float) -> None:
        """Heed that calls of other VMs broke there, unless it answers here.

        Examples
        --------
        >>> upstream = UpstreamLoad(concurrency=8)
        >>> upstream.suspect(broken_at=1.0)
        >>> upstream.accepts(now=1.9), upstream.accepts(now=3.1)
        (False, True)
        >>> upstream.trust()
        >>> upstream.accepts(now=1.9)
        True
        """
        if broken_at > self.suspected_at:
            self.suspected_at = broken_at
            self.suspected_until = broken_at + _spread(SUSPECT_SECONDS)
        if self.answered_at > broken_at:
            self.suspected_until = 0.0

    @property
    def contradicts_suspicion(self) -> bool:
        """Whether it is suspected, and this VM has heard from it since."""
        is_suspected = math.isfinite(self.suspected_at)
        return is_suspected and self.answered_at > self.suspected_at

    def trust(self) -> None:
        """Take note that it is not suspected any more."""
        self.suspected_at = -math.inf
        self.suspected_until = 0.0

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


def _spread(seconds: float) -> float:
    """Return up to twice a time, another one for each VM."""
    return seconds * (1.0 + random.random())
