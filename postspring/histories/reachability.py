"""Availability of a partition, by its own calls and by those of others."""

from collections.abc import Callable
import dataclasses
import math

from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["LogHealth", "Reachability"]

# Pause after a failed call, in seconds; doubled with each failure up to the
# maximum. Every call is paid for, also one that fails.
RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
# Longest pause after a failure while a caller waits, in seconds: below the
# timeout of turns, 0.6 s. A retry before that is not sent through other VMs if
# the partition was lost (peering/failover.py).
CALLER_RETRY_SECONDS = 0.5
# An append without an answer is looked up after these many seconds: above a
# usual answer (4 ms), and below the time after which a partition without any
# answer counts as unresponsive.
LOOK_UP_SECONDS = 0.15
MAX_LOOK_UP_SECONDS = 0.35
# Appends that take less don't indicate a slow log, in seconds: 4 ms is usual,
# and a turn is replicated after 0.1 s.
FAST_APPEND_SECONDS = 0.1
# An append without an answer for this long counts as failed, in seconds. The
# limit rises if the log has been slow of late, up to a maximum below the time
# that a turn waits for the log (0.6 s).
UNRESPONSIVE_SECONDS = 0.4
MAX_UNRESPONSIVE_SECONDS = 0.55
# A log that has answered a call of this VM within this time works, in seconds.
ANSWERED_SECONDS = 1.0
# The same for a log that is slow: its answers come as far apart as it takes.
MAX_ANSWERED_SECONDS = 2.0
# Longest wait of a caller for a log that is slow, in seconds: callers wait for
# 2 s without any event.
MAX_PATIENCE_SECONDS = 1.7
# Look-ups and this limit adapt to the recent duration of appends: with fixed
# pauses, a log that syncs to a slow disk was taken for unavailable.


def is_fast(append_time: keyedlog.AverageDuration) -> bool:
    """Return whether appends of late don't indicate a slow log."""
    return append_time.seconds < FAST_APPEND_SECONDS


class LogHealth:
    """State of the log, by the calls to all partitions.

    Parameters
    ==========

    log : KeyedLog
        Reports whether its last call failed.
    now : callable
        Monotonic time in seconds.
    """

    def __init__(self, log: keyedlog.KeyedLog, now: Callable[[], float]):
        self._log = log
        self._now = now
        self.answer_count = 0
        self._appended_at = -math.inf
        self._append_time = keyedlog.AverageDuration()

    @property
    def is_down(self) -> bool:
        """Whether the log's last call failed."""
        return self._log.is_down

    def note_answer(self) -> None:
        """Count an answer of the log."""
        self.answer_count += 1

    def note_append(self, seconds: float) -> None:
        """Note how long an append took."""
        self._appended_at = self._now()
        self._append_time.note(seconds)

    def note_late_append(self, sent_at: float) -> None:
        """Note an append without an answer, though reads were answered.

        If the log has answered another append since, this one was lost.
        """
        if not self.has_appended_since(sent_at):
            self._append_time.note(self._now() - sent_at)

    def has_answered_since(self, moment: float) -> bool:
        """Return whether the log has answered this VM itself since then."""
        return self._log.has_answered_since(moment)

    def has_appended_since(self, moment: float) -> bool:
        """Return whether an append was answered since a moment."""
        return self._appended_at > moment

    @property
    def is_fast(self) -> bool:
        """Whether appends of late took less than ``FAST_APPEND_SECONDS``."""
        return is_fast(self._append_time)

    @property
    def is_slow(self) -> bool:
        """Whether appends take long, though the log answers this VM."""
        seconds = self._append_time.late_threshold(
            ANSWERED_SECONDS, MAX_ANSWERED_SECONDS
        )
        return not self.is_fast and self.has_answered_since(
            self._now() - seconds
        )

    @property
    def look_up_pause(self) -> float:
        """Seconds after which an append without an answer is looked up."""
        return self._append_time.late_threshold(
            LOOK_UP_SECONDS, MAX_LOOK_UP_SECONDS
        )

    @property
    def needs_look_up(self) -> bool:
        """Whether a late append may be lost, as far as known.

        A slow log is only asked whether it still answers.
        """
        moment = self._now() - MAX_LOOK_UP_SECONDS
        return not (self.is_slow and self.has_answered_since(moment))

    @property
    def unresponsive_seconds(self) -> float:
        """Seconds after which an append without an answer counts as failed."""
        return self._append_time.late_threshold(
            UNRESPONSIVE_SECONDS, MAX_UNRESPONSIVE_SECONDS
        )

    def patience(self, usual: float) -> float:
        """Return how long the end of a turn waits for the log, in seconds.

        A log that is slow answers all calls as late, those of other VMs too.
        """
        return max(usual, MAX_PATIENCE_SECONDS) if self.is_slow else usual


@dataclasses.dataclass(slots=True)
class _Failure:
    """A call that failed.

    Parameters
    ==========

    answer_count : int
        Answers of the log before the failure.
    was_down : bool
        Whether the log reported then that its last call failed.
    was_log_answering : bool
        Whether the log was known to answer when the call was made.
    has_log_answered : bool
        Whether the log has since rejected a call to this partition as beyond
        its rate, and so has answered.
    """

    answer_count: int
    was_down: bool
    was_log_answering: bool
    has_log_answered: bool = False


class Reachability:
    """Tracks whether a partition fails, and when to retry it.

    Explanation
    ===========

    A failure counts until the log has answered any call. From then on the
    partition is not known to fail, but it has not been read yet. If it fails
    again although the log answers, it counts as unavailable during the pause
    before its next retry and while that retry is under way.

    Parameters
    ==========

    log_health : LogHealth
        State of the log, by the calls to all partitions.
    """

    def __init__(self, timers: timers_module.Timers, log_health: LogHealth):
        self._timers = timers
        self._log_health = log_health
        self._failure: _Failure | None = None
        self._is_calling = False
        self._was_log_answering = False
        self._was_throttled = False
        self._pause = RETRY_SECONDS
        self._failed_at = -math.inf
        self._paused_until = -math.inf

    @property
    def has_failed(self) -> bool:
        """Whether the last call failed."""
        return self._failure is not None

    @property
    def has_succeeded(self) -> bool:
        """Whether the last call neither failed nor was throttled."""
        return not self.has_failed and not self._was_throttled

    @property
    def is_unavailable(self) -> bool:
        """Whether the partition fails, as far as known."""
        if self._failure is None:
            return False
        if not self._is_log_answering:
            return True
        is_paused = self._timers.now() < self._paused_until
        return self._failure.was_log_answering and (
            is_paused or self._is_calling
        )

    @property
    def can_expedite_retry(self) -> bool:
        """Whether it failed, but the log answers and did not throttle it."""
        has_recovered = self.has_failed and not self.is_unavailable
        return has_recovered and not self._was_throttled

    @property
    def caller_retry_pause(self) -> float:
        """Seconds until it may be retried if a caller waits for it."""
        pause = min(CALLER_RETRY_SECONDS, self._paused_until - self._failed_at)
        return max(0.0, self._failed_at + pause - self._timers.now())

    def note_call(self) -> None:
        """Note that a call is made."""
        self._is_calling = True
        self._was_log_answering = self.has_failed and self._is_log_answering

    def note_success(self) -> bool:
        """Note that a call succeeded; return whether it ends a failure."""
        self._log_health.note_answer()
        was_failing = self.has_failed
        self._failure = None
        self._is_calling = self._was_throttled = False
        self._pause = RETRY_SECONDS
        return was_failing

    def note_throttled(self) -> None:
        """Note that the log rejected a call as beyond its rate.

        The partition does not count as unavailable: other VMs may be charging
        turns to it at this moment.
        """
        self._is_calling = False
        self._was_throttled = True
        if self._failure is not None:
            self._failure.has_log_answered = True

    def note_failure(self) -> None:
        """Note that a call failed."""
        self._is_calling = self._was_throttled = False
        self._failure = _Failure(
            self._log_health.answer_count,
            self._log_health.is_down,
            self._was_log_answering,
        )

    def next_pause(self, minimum: float) -> float:
        """Start the pause before the next retry; return its seconds."""
        pause = max(self._pause, minimum)
        self._failed_at = self._timers.now()
        self._paused_until = self._failed_at + pause
        self._pause = min(2 * pause, MAX_RETRY_SECONDS)
        return pause

    # -- own ------------------------------------------------------------------

    @property
    def _is_log_answering(self) -> bool:
        """Whether the log has answered any call since the failure."""
        failure = self._failure
        if failure.has_log_answered:
            return True
        if self._log_health.is_down:
            return False
        return (
            failure.was_down
            or self._log_health.answer_count > failure.answer_count
        )
