"""Load and failures of an upstream, as one VM observes them."""

import dataclasses
import math
import random

from postspring.upstreams import stream_evidence

__all__ = ["UpstreamLoad"]

FAILURES_TO_SUSPEND = 3
FIRST_SUSPENSION_SECONDS = 1.0
LONGEST_SUSPENSION_SECONDS = 30.0
# Weight of a new value in the exponential moving average of the pace.
PACE_SMOOTHING = 0.3
# Weight of a new value in the moving average of the duration of streams.  It
# is lower than that of the pace, as the lengths of answers differ.
STREAM_SMOOTHING = 0.1
# Weight by which the pace of an idle upstream follows higher values.  It is
# low, as a burst of some seconds must not count as idle.
IDLE_PACE_SMOOTHING = 0.002
# How long the reported number of other VMs' calls is valid, in seconds; VMs
# exchange it every 0.2 s.
PEER_CALLS_VALID_SECONDS = 1.0
# How long an upstream whose calls break gets no work, in seconds.  A restart
# takes seconds.  Each VM adds jitter of up to the same time, so that a few VMs
# at a time try whether the upstream is back.
SUSPECT_SECONDS = 1.0
# Broken calls in a row that count as a failure of the upstream itself.
MIN_CONSECUTIVE_BROKEN_CALLS = 2
# Time in which the confidence in a measured pace falls to 0, in seconds:
# bursts and slow periods of upstreams take about as long.
PACE_VALID_SECONDS = 4.0


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamLoad:
    """Work in flight and recent failures of one upstream.

    Parameters
    ==========

    concurrency : int
        Calls that the upstream runs, or gets from this VM, at once.
    in_flight : int
        Calls of this VM that are running there.
    leaving : bool
        The upstream is about to exit and gets no new work.
    failures : int
        Failed calls since the last successful one.
    suspended_until : float
        Time until which it gets no new work after failures; seconds.
    pace : float
        Moving average of the seconds between two events of its streams.
    pace_updated_at : float
        Time of the last measurement of the pace; seconds.
    idle_pace : float
        The lowest pace lately, as on an idle upstream; 0 if there is none.
    stream_seconds : float
        Moving average of the time from the first event of a stream to its
        end, without the wait for a slot; 0 if there was no stream.
    peer_calls : int
        Calls that other VMs have in flight there, as last reported.
    peer_calls_at : float
        Time of that report; seconds.
    answered_at : float
        Time at which data of any response last arrived; seconds.
    broken_at : float
        Time at which a call's connection last broke; seconds.
    consecutive_broken_calls : int
        Broken calls since data of a response last arrived.
    unreported_broken_calls : int
        Broken calls that this VM has not reported to other VMs yet.
    suspected_at : float
        Time of the last broken call behind the suspicion; seconds.
    suspected_until : float
        Time until which it gets no work for that reason; seconds.
    streams : StreamEvidence
        Gaps between the events of this VM's streams.
    """

    concurrency: int
    in_flight: int = 0
    leaving: bool = False
    failures: int = 0
    suspended_until: float = 0.0
    pace: float = 0.0
    pace_updated_at: float = -math.inf
    idle_pace: float = 0.0
    stream_seconds: float = 0.0
    peer_calls: int = 0
    peer_calls_at: float = -math.inf
    answered_at: float = -math.inf
    broken_at: float = -math.inf
    consecutive_broken_calls: int = 0
    unreported_broken_calls: int = 0
    suspected_at: float = -math.inf
    suspected_until: float = 0.0
    streams: stream_evidence.StreamEvidence = dataclasses.field(
        default_factory=stream_evidence.StreamEvidence
    )

    @property
    def load(self) -> float:
        """This VM's calls as a share of ``concurrency``."""
        return self.in_flight / self.concurrency

    def accepts(self, now: float) -> bool:
        """Return whether the upstream may get new work."""
        free_at = max(self.suspended_until, self.suspected_until)
        return not self.leaving and now >= free_at

    def has_room(self, now: float) -> bool:
        """Return whether it may get one more call now."""
        return self.accepts(now) and self.in_flight < self.concurrency

    def note_failure(self, now: float) -> None:
        """Count a failed call; suspend the upstream after repeated ones."""
        self.failures += 1
        if self.failures < FAILURES_TO_SUSPEND:
            return
        doublings = min(self.failures - FAILURES_TO_SUSPEND, 10)
        pause = FIRST_SUSPENSION_SECONDS * 2**doublings
        self.suspended_until = now + min(pause, LONGEST_SUSPENSION_SECONDS)

    def suspend(self, now: float, seconds: float) -> None:
        """Send no new work for at least ``seconds``."""
        self.suspended_until = max(self.suspended_until, now + seconds)

    def note_answer(self, now: float) -> None:
        """Record that data of a response arrived."""
        self.answered_at = now
        self.consecutive_broken_calls = 0

    def note_broken_call(self, sent_at: float, now: float) -> None:
        """Record that a call's connection broke.

        The upstream gets no work for a while, unless data of a response
        arrived since the call was sent: in that case a single broken call
        is blamed on its connection, and only a second one in a row on the
        upstream.

        Examples
        --------
        >>> upstream = UpstreamLoad(concurrency=8)
        >>> upstream.note_answer(now=1.0)
        >>> upstream.note_broken_call(sent_at=0.9, now=1.1)
        >>> upstream.accepts(now=1.1)
        True
        >>> upstream.note_broken_call(sent_at=0.9, now=1.1)
        >>> upstream.accepts(now=1.9), upstream.accepts(now=3.2)
        (False, True)
        """
        self.broken_at = now
        self.unreported_broken_calls += 1
        self.consecutive_broken_calls += 1
        is_repeated = (
            self.consecutive_broken_calls >= MIN_CONSECUTIVE_BROKEN_CALLS
        )
        if is_repeated or self.answered_at <= sent_at:
            self.suspend(now, _add_jitter(SUSPECT_SECONDS))

    def suspect(self, broken_at: float) -> None:
        """Avoid a suspected upstream unless it answered this VM since.

        Examples
        --------
        >>> upstream = UpstreamLoad(concurrency=8)
        >>> upstream.suspect(broken_at=1.0)
        >>> upstream.accepts(now=1.9), upstream.accepts(now=3.1)
        (False, True)
        >>> upstream.clear_suspicion()
        >>> upstream.accepts(now=1.9)
        True
        """
        if broken_at > self.suspected_at:
            self.suspected_at = broken_at
            self.suspected_until = broken_at + _add_jitter(SUSPECT_SECONDS)
        if self.answered_at > broken_at:
            self.suspected_until = 0.0

    @property
    def contradicts_suspicion(self) -> bool:
        """Whether it is suspected but has answered this VM since."""
        is_suspected = math.isfinite(self.suspected_at)
        return is_suspected and self.answered_at > self.suspected_at

    def clear_suspicion(self) -> None:
        """Clear the suspicion."""
        self.suspected_at = -math.inf
        self.suspected_until = 0.0

    def note_pace(self, seconds: float, now: float) -> None:
        """Add the seconds between two events of a stream to the pace."""
        if self.pace_confidence(now):
            seconds = self.pace + PACE_SMOOTHING * (seconds - self.pace)
        self.pace = seconds
        self.pace_updated_at = now
        idle_pace = self.idle_pace or seconds
        drift = IDLE_PACE_SMOOTHING * (seconds - idle_pace)
        self.idle_pace = min(seconds, idle_pace + drift)

    def note_stream(self, seconds: float) -> None:
        """Add the duration of a complete stream to the average."""
        if self.stream_seconds:
            seconds = self.stream_seconds + STREAM_SMOOTHING * (
                seconds - self.stream_seconds
            )
        self.stream_seconds = seconds

    def pace_confidence(self, now: float) -> float:
        """Return the confidence in the pace by its age, from 0 to 1."""
        return max(
            0.0, 1.0 - (now - self.pace_updated_at) / PACE_VALID_SECONDS
        )

    def note_peer_calls(self, calls: int, now: float) -> None:
        """Record how many calls other VMs have in flight there."""
        self.peer_calls = calls
        self.peer_calls_at = now

    def has_recent_peer_calls(self, now: float) -> bool:
        """Return whether the number of other VMs' calls is recent."""
        return now - self.peer_calls_at < PEER_CALLS_VALID_SECONDS

    def total_calls(self, now: float) -> int:
        """Return the calls in flight there: own ones and known others.

        Examples
        --------
        >>> upstream = UpstreamLoad(concurrency=8, in_flight=1)
        >>> upstream.note_peer_calls(5, now=0.0)
        >>> upstream.total_calls(now=0.5), upstream.total_calls(now=1.5)
        (6, 1)
        """
        peer_calls = self.peer_calls if self.has_recent_peer_calls(now) else 0
        return self.in_flight + peer_calls

    def note_success(self) -> None:
        """Reset the count of failures after a successful call."""
        self.failures = 0


def _add_jitter(seconds: float) -> float:
    """Return the seconds times a random factor from 1 to 2."""
    return seconds * (1.0 + random.random())
