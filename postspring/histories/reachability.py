"""Whether a partition can be reached, as its own calls and others tell."""

import dataclasses
import math

from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = [
    "LogHealth",
    "Reachability",
]

# Pause after a failed call, in seconds; doubled with each one up to the
# second figure.  Every call is paid for, failed ones too.
RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
# What somebody waits for is tried this long after a failure at the latest,
# in seconds: below the timeout of turns, 0.6 s.  Sooner, a partition that
# was lost is not tried by all ways (peering/failover.py).
CALLER_RETRY_SECONDS = 0.5
# An append without an answer is sent again after these many seconds, the first
# and the second behind a usual answer (4 ms) and a slow one (0.25 s).
RESEND_SECONDS = (0.15, 0.3, 0.5)
# Appends that take less are no sign of a slow log, in seconds: 4 ms is usual,
# and a copy is asked for after 0.1 s.
FAST_APPEND_SECONDS = 0.1
# One without an answer for this long counts as failing, in seconds; if the
# log is slow of late for longer, but less than a turn waits for it (0.6 s).
UNRESPONSIVE_SECONDS = 0.4
MAX_UNRESPONSIVE_SECONDS = 0.55
# Neither is so while an append is not late for what they take of late: a log
# that syncs to a slow disk was given each twice or thrice, and taken for away.


class LogHealth:
    """Counts what tells that the log answers, whatever the partition.

    Parameters
    ==========

    log : KeyedLog
        Tells whether its last call failed.
    """

    def __init__(self, log: keyedlog.KeyedLog):
        self._log = log
        self.answer_count = 0
        self._append_time = keyedlog.UsualTime()

    @property
    def is_down(self) -> bool:
        """Whether the log's last call failed."""
        return self._log.is_down

    def note_answer(self) -> None:
        """Take note that the log answered."""
        self.answer_count += 1

    def note_append(self, seconds: float) -> None:
        """Take note of how long an append took."""
        self._append_time.note(seconds)

    @property
    def is_fast(self) -> bool:
        """Whether appends take no longer of late than usual."""
        return self._append_time.seconds < FAST_APPEND_SECONDS

    @property
    def resend_pauses(self) -> list[float]:
        """Pauses after which an append without an answer is sent again."""
        return [
            self._append_time.late_after(minimum) for minimum in RESEND_SECONDS
        ]

    @property
    def unresponsive_seconds(self) -> float:
        """Seconds after which an append without an answer counts as failed."""
        return self._append_time.late_after(
            UNRESPONSIVE_SECONDS, MAX_UNRESPONSIVE_SECONDS
        )


@dataclasses.dataclass(slots=True)
class _Failure:
    """A call that failed.

    Parameters
    ==========

    answers : int
        The log's answers before.
    was_down : bool
        Whether the log itself tells that its last call failed.
    is_own : bool
        Whether the log was known to answer when the call was made.
    is_answered : bool
        Whether the log has answered this partition since: it is busy.
    """

    answer_count: int
    was_down: bool
    was_log_answering: bool
    has_log_answered: bool = False


class Reachability:
    """Tells whether a partition fails, and when it is to be tried again.

    Explanation
    ===========

    A failure counts until the log has answered any call.  From then on the
    partition isn't known to fail, it is just not read yet; if it fails all
    the same when it is tried, that counts for the pause to its next try, and
    while this is under way.

    Parameters
    ==========

    answers : LogAnswers
        What the calls of all partitions tell.
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

        Otherwise a call is sent once: each is paid for.
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
        """Whether it failed, and the log has answered since."""
        is_back = self.has_failed and not self.is_unavailable
        return is_back and not self._was_throttled

    @property
    def caller_retry_pause(self) -> float:
        """Seconds until it may be tried if somebody waits for it."""
        pause = min(CALLER_RETRY_SECONDS, self._paused_until - self._failed_at)
        return max(0.0, self._failed_at + pause - self._timers.now())

    def note_call(self) -> None:
        """Take note that a call is made."""
        self._is_calling = True
        self._was_log_answering = self.has_failed and self._is_log_answering

    def note_success(self) -> bool:
        """Take note that a call succeeded; tell if it is the first again."""
        self._log_health.note_answer()
        was_failing = self.has_failed
        self._failure = None
        self._is_calling = self._was_throttled = False
        self._pause = RETRY_SECONDS
        return was_failing

    def note_throttled(self) -> None:
        """Take note of a call beyond the log's rate.

        Not away: other VMs may be spending by it just now.
        """
        self._is_calling = False
        self._was_throttled = True
        if self._failure is not None:
            self._failure.has_log_answered = True

    def note_failure(self) -> None:
        """Take note that a call failed."""
        self._is_calling = self._was_throttled = False
        self._failure = _Failure(
            self._log_health.answer_count,
            self._log_health.is_down,
            self._was_log_answering,
        )

    def next_pause(self, minimum: float) -> float:
        """Begin the pause until the next try; return its seconds."""
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
