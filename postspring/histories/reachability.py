"""Availability of a partition, by its own calls and by those of others."""

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
# An append without an answer is sent again after these many seconds, the first
# and the second above a usual answer (4 ms) and a slow one (0.25 s).
RESEND_SECONDS = (0.15, 0.3, 0.5)
# Appends that take less don't indicate a slow log, in seconds: 4 ms is usual,
# and a turn is replicated after 0.1 s.
FAST_APPEND_SECONDS = 0.1
# An append without an answer for this long counts as failed, in seconds. The
# limit rises if the log has been slow of late, up to a maximum below the time
# that a turn waits for the log (0.6 s).
UNRESPONSIVE_SECONDS = 0.4
MAX_UNRESPONSIVE_SECONDS = 0.55
# Resends and this limit adapt to the recent duration of appends: with fixed
# pauses, a log that syncs to a slow disk got each append two or three times
# and was taken for unavailable.


class LogHealth:
    """State of the log, by the calls to all partitions.

    Parameters
    ==========

    log : KeyedLog
        Reports whether its last call failed.
    """

    def __init__(self, log: keyedlog.KeyedLog):
        self._log = log
        self.answer_count = 0
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
        self._append_time.note(seconds)

    @property
    def is_fast(self) -> bool:
        """Whether appends of late took less than ``FAST_APPEND_SECONDS``."""
        return self._append_time.seconds < FAST_APPEND_SECONDS

    @property
    def resend_pauses(self) -> list[float]:
        """Pauses after which an append without an answer is sent again."""
        return [
            self._append_time.late_threshold(minimum)
            for minimum in RESEND_SECONDS
        ]

    @property
    def unresponsive_seconds(self) -> float:
        """Seconds after which an append without an answer counts as failed."""
        return self._append_time.late_threshold(
            UNRESPONSIVE_SECONDS, MAX_UNRESPONSIVE_SECONDS
        )


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
    def may_resend(self) -> bool:
        """Whether the log answers, if perhaps not each call.

        Otherwise a call is sent once, since each is paid for.
        """
        return self._failure is None or self._is_log_answering

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
