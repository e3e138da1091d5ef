"""Failure detector for network partitions, by the silence of all paths.

It needs no network and no clock: times are arguments, in seconds.

A *path* is a destination outside this data centre: the store, or another data
centre.  A path is silent while a request on it has waited for longer than
responses on it usually take, and no byte has arrived on it meanwhile.  One
silent path is a failure of that path; if no path is known to be alive, it may
be a network partition, and probes decide.

The allowed time follows the phi-accrual failure detector (Hayashibara et al.,
2004) with normally distributed response times.  Their mean and variance are
moving averages, as in the retransmission timer of TCP (RFC 6298).
"""

from collections.abc import Hashable
import dataclasses
import enum
import math
from typing import NewType

__all__ = ["Path", "ResponseTimes", "SilenceDetector", "Step"]

Path = NewType("Path", str)

# Bounds of the time that a request may wait before its path counts as silent.
# Responses take 2 to 6 ms; a loaded server with half a core takes ten times
# as long.  Above the upper bound, timeouts of single calls are as early.
MIN_SILENCE_SECONDS = 0.05
MAX_SILENCE_SECONDS = 0.5
# Deviations above the mean at which phi is 8: one response in 10**8 would be
# later.
DEVIATIONS = 5.6
# Weight of a new response time in the moving averages.
SAMPLE_WEIGHT = 1 / 16
# Time for which probes must stay unanswered, at least and at most.  A probe's
# response takes as long as any, so twice the allowed silence.
MIN_PROBE_SECONDS = 0.1
MAX_PROBE_SECONDS = 0.8
# Probes must wait for this multiple of a recent interruption that ended by
# itself.
INTERRUPTION_FACTOR = 1.5
# Half-life of the longest interruption remembered.
INTERRUPTION_HALF_LIFE_SECONDS = 30.0
# Longest time between two checks while a request waits.  A check that is much
# later than planned shows that this process could not receive responses.
CHECK_SECONDS = 0.025
LATE_CHECK_SECONDS = 0.02
# A check that is later than this shows a frozen VM, whose peers may have given
# up meanwhile.  A VM with half a core that uses it up is late by up to 0.05 s,
# again and again; that time is left out of all others.
FROZEN_SECONDS = 0.1
# Least time between the end of a suspicion and the next one, which bounds the
# number of probes on a network that interrupts all paths often.
PAUSE_SECONDS = 0.5


class Step(enum.Enum):
    """What to do after a check.

    ``WAIT``: nothing.  ``SUSPECT``, ``PROBE_AGAIN``: send probes.  The others
    end a suspicion: ``CONFIRMED`` as no probe was answered, ``REFUTED`` as a
    byte arrived on a path, ``PAUSED`` as this process stood still itself.
    """

    WAIT = "wait"
    SUSPECT = "suspect"
    PROBE_AGAIN = "probe_again"
    CONFIRMED = "confirmed"
    REFUTED = "refuted"
    PAUSED = "paused"


class ResponseTimes:
    """Moving mean and variance of a path's response times, in seconds.

    Examples
    ========

    >>> times = ResponseTimes()
    >>> times.allowed
    0.05
    >>> for _ in range(50):
    ...     times.note(0.004)
    >>> times.allowed
    0.05
    >>> for _ in range(50):
    ...     times.note(0.25)
    >>> 0.3 < times.allowed <= 0.5
    True
    """

    def __init__(self):
        self._mean = 0.0
        self._variance = 0.0

    def note(self, seconds: float) -> None:
        """Add a response time."""
        difference = min(seconds, MAX_SILENCE_SECONDS) - self._mean
        increment = SAMPLE_WEIGHT * difference
        self._mean += increment
        self._variance = (1 - SAMPLE_WEIGHT) * (
            self._variance + difference * increment
        )

    @property
    def allowed(self) -> float:
        """Seconds that a request may wait until its path is silent."""
        seconds = self._mean + DEVIATIONS * math.sqrt(self._variance)
        return min(max(MIN_SILENCE_SECONDS, seconds), MAX_SILENCE_SECONDS)


@dataclasses.dataclass(slots=True)
class _PathState:
    """What is known of one path.

    Parameters
    ==========

    sent_at_by_request : dict
        When each request without a response was sent, the oldest first.
    heard_at : float
        When the last byte arrived.
    is_known_silent : bool
        The path stayed silent while another one answered.  It is no evidence
        of a partition until a byte arrives on it.
    """

    times: ResponseTimes = dataclasses.field(default_factory=ResponseTimes)
    sent_at_by_request: dict[Hashable, float] = dataclasses.field(
        default_factory=dict
    )
    heard_at: float = -math.inf
    is_known_silent: bool = False

    def silent_since(self, listening_since: float) -> float:
        """Return since when a request waits in silence; infinite if none."""
        oldest = next(iter(self.sent_at_by_request.values()), math.inf)
        return max(oldest, self.heard_at, listening_since)

    def is_silent(self, now: float, listening_since: float) -> bool:
        """Return whether it has been silent for longer than allowed."""
        return now >= self.silent_since(listening_since) + self.times.allowed


class SilenceDetector:
    """Decides from requests and responses whether all paths are silent.

    Call :meth:`check` at the time that :attr:`next_check` returns.  Requests
    are identified by any hashable object.

    Attributes
    ==========

    is_confirmed : bool
        A suspicion was confirmed, and no byte has arrived since.

    Examples
    ========

    >>> detector = SilenceDetector()
    >>> detector.note_sent(Path("store"), 1, 10.0)
    >>> detector.check(10.025), detector.check(10.05)
    (<Step.WAIT: 'wait'>, <Step.SUSPECT: 'suspect'>)
    >>> detector.note_heard(Path("z2"), 10.06)
    >>> detector.check(10.075)
    <Step.REFUTED: 'refuted'>
    """

    def __init__(self):
        self._state_by_path: dict[Path, _PathState] = {}
        self._path_by_request: dict[Hashable, Path] = {}
        self._heard_at = -math.inf
        self._listening_since = self._samples_since = -math.inf
        # Seconds by which checks were late in all.  Times are kept less it.
        self._absent = 0.0
        self._suspected_at: float | None = None
        self._silent_since = math.inf
        self._has_probed_again = False
        self._probe_seconds = MIN_PROBE_SECONDS
        self._ended_at = -math.inf
        self._interruption = 0.0
        self._interrupted_at = -math.inf
        self._next_check = math.inf
        self._checked_at = -math.inf
        self.is_confirmed = False

    # -- evidence -------------------------------------------------------------

    def note_sent(self, path: Path, request: Hashable, now: float) -> None:
        """Note a request that the other side answers without delay."""
        now -= self._absent
        if self.next_check == math.inf:
            self._next_check = now + CHECK_SECONDS
        state = self._state_by_path.setdefault(path, _PathState())
        state.sent_at_by_request[request] = now
        self._path_by_request[request] = path

    def note_answered(self, request: Hashable, now: float) -> None:
        """Note the first byte of a response."""
        path = self._path_by_request.pop(request, None)
        if path is None:
            return
        self.note_heard(path, now)
        state = self._state_by_path[path]
        sent_at = state.sent_at_by_request.pop(request)
        if sent_at >= self._samples_since:
            state.times.note(now - self._absent - sent_at)

    def note_heard(self, path: Path, now: float) -> None:
        """Note a byte that arrived on a path.

        If a check is overdue, this process is late and not the response.
        """
        is_late = now - self.next_check > LATE_CHECK_SECONDS
        now -= self._absent
        if is_late:
            self._samples_since = now
        state = self._state_by_path.setdefault(path, _PathState())
        state.heard_at = self._heard_at = now
        state.is_known_silent = False
        if self.is_confirmed:
            self.is_confirmed = False
            self._listening_since = self._samples_since = now
            self._next_check = now + CHECK_SECONDS

    def note_ended(self, request: Hashable) -> None:
        """Note that a request was given up without a response.

        That says nothing of its path: a caller may have left.
        """
        path = self._path_by_request.pop(request, None)
        if path is not None:
            self._state_by_path[path].sent_at_by_request.pop(request)

    def awaits(self, path: Path) -> bool:
        """Return whether a request on a path has no response yet."""
        state = self._state_by_path.get(path)
        return state is not None and bool(state.sent_at_by_request)

    # -- decisions ------------------------------------------------------------

    @property
    def next_check(self) -> float:
        """When to call :meth:`check`; infinite if nothing is awaited."""
        if self._suspected_at is None and (
            self.is_confirmed or not self._path_by_request
        ):
            return math.inf
        return self._next_check + self._absent

    @property
    def silent_paths(self) -> list[Path]:
        """Paths that were silent at the last check."""
        return [
            path
            for path, state in self._state_by_path.items()
            if state.is_silent(self._checked_at, self._listening_since)
        ]

    @property
    def silent_seconds(self) -> float:
        """Seconds of silence on all paths at the last check."""
        return self._checked_at - self._silent_since

    def check(self, now: float) -> Step:
        """Return what to do now; plan the next check.

        A check that is late was delayed by this process itself, and responses
        may wait unread: it decides nothing, and the time that it is late does
        not count.  If it is very late, the silence before does not either.
        """
        now -= self._absent
        late = now - self._next_check
        is_frozen = late > FROZEN_SECONDS
        if is_frozen:
            self._listening_since = self._samples_since = now
        elif late > LATE_CHECK_SECONDS:
            self._samples_since = now
            self._absent += late
            now -= late
        self._checked_at = now
        self._next_check = now + CHECK_SECONDS
        if self._suspected_at is not None:
            return self._check_suspicion(now, is_frozen)
        if late > LATE_CHECK_SECONDS or self.is_confirmed:
            return Step.WAIT
        return self._check_paths(now)

    def drop_suspicion(self) -> None:
        """End a suspicion that can't be checked, as there are no probes."""
        self._end(self._checked_at, Step.WAIT)

    # -- own ------------------------------------------------------------------

    def _check_paths(self, now: float) -> Step:
        since = math.inf
        due = math.inf
        for state in self._state_by_path.values():
            if state.is_known_silent:
                continue
            silent_since = state.silent_since(self._listening_since)
            if state.is_silent(now, self._listening_since):
                since = min(since, silent_since)
            elif state.sent_at_by_request:
                due = min(due, silent_since + state.times.allowed)
        if since == math.inf:
            self._next_check = min(self._next_check, max(now, due))
            return Step.WAIT
        if self._is_any_path_alive(now, since):
            return Step.WAIT
        if now - self._ended_at < PAUSE_SECONDS:
            return Step.WAIT
        self._suspected_at = now
        # Other paths may have been heard after the silent one.
        self._silent_since = max(since, self._heard_at)
        self._has_probed_again = False
        self._probe_seconds = self._probe_time(now)
        return Step.SUSPECT

    def _is_any_path_alive(self, now: float, since: float) -> bool:
        """Return whether a path is alive although another one is silent.

        A path on which bytes arrived a moment ago is, until it is silent for
        longer than allowed itself.
        """
        return any(
            state.heard_at >= since
            and now - state.heard_at < state.times.allowed
            for state in self._state_by_path.values()
        )

    def _check_suspicion(self, now: float, is_frozen: bool) -> Step:
        if self._heard_at > self._suspected_at:
            self._note_interruption(self._heard_at)
            for state in self._state_by_path.values():
                state.is_known_silent = state.is_silent(
                    now, self._listening_since
                )
            return self._end(now, Step.REFUTED)
        if is_frozen:
            return self._end(now, Step.PAUSED)
        due = self._suspected_at + self._probe_seconds
        if now >= due:
            self.is_confirmed = True
            return self._end(now, Step.CONFIRMED)
        self._next_check = min(self._next_check, due)
        if not self._has_probed_again and now >= due - self._probe_seconds / 2:
            self._has_probed_again = True
            return Step.PROBE_AGAIN
        return Step.WAIT

    def _end(self, now: float, step: Step) -> Step:
        self._suspected_at = None
        if step is not Step.PAUSED:
            self._ended_at = now
        return step

    def _probe_time(self, now: float) -> float:
        allowed = max(
            (state.times.allowed for state in self._state_by_path.values()),
            default=MIN_SILENCE_SECONDS,
        )
        age = now - self._interrupted_at
        interruption = self._interruption * 0.5 ** (
            age / INTERRUPTION_HALF_LIFE_SECONDS
        )
        seconds = max(
            MIN_PROBE_SECONDS, 2 * allowed, INTERRUPTION_FACTOR * interruption
        )
        return min(seconds, MAX_PROBE_SECONDS)

    def _note_interruption(self, now: float) -> None:
        """Remember a silence that ended without a partition."""
        self._interruption = max(
            now - self._silent_since,
            self._interruption
            * 0.5
            ** ((now - self._interrupted_at) / INTERRUPTION_HALF_LIFE_SECONDS),
        )
        self._interrupted_at = now
