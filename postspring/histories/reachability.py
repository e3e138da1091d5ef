"""Whether a partition can be reached, as its own calls and others tell."""

import dataclasses
import math

from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["LogAnswers", "Reachability"]

# Pause after a failed call, in seconds; doubled with each one up to the
# second figure.  Every call is paid for, failed ones too.
RETRY_SECONDS = 0.1
LONGEST_RETRY_SECONDS = 1.0
# What somebody waits for is tried this long after a failure at the latest,
# in seconds: below the timeout of turns, 0.6 s.  Sooner, a partition that
# was lost is not tried by all ways (peering/failover.py).
AWAITED_RETRY_SECONDS = 0.5
# An append without an answer is sent again after these many seconds, the first
# and the second behind a usual answer (4 ms) and a slow one (0.25 s).
RESEND_SECONDS = (0.15, 0.3, 0.5)
# Appends that take less are no sign of a slow log, in seconds: 4 ms is usual,
# and a copy is asked for after 0.1 s.
QUICK_SECONDS = 0.1
# One without an answer for this long counts as failing, in seconds; if the
# log is slow of late for longer, but less than a turn waits for it (0.6 s).
SLOW_SECONDS = 0.4
LONGEST_SLOW_SECONDS = 0.55
# Neither is so while an append is not late for what they take of late: a log
# that syncs to a slow disk was given each twice or thrice, and taken for away.


class LogAnswers:
    """Counts what tells that the log answers, whatever the partition.

    Parameters
    ==========

    log : KeyedLog
        Tells whether its last call failed.
    """

    def __init__(self, log: keyedlog.KeyedLog):
        self._log = log
        self.count = 0
        self._append_time = keyedlog.UsualTime()

    @property
    def is_down(self) -> bool:
        """Whether the log's last call failed."""
        return self._log.is_down

    def note(self) -> None:
        """Take note that the log answered."""
        self.count += 1

    def note_append(self, seconds: float) -> None:
        """Take note of how long an append took."""
        self._append_time.note(seconds)

    @property
    def is_quick(self) -> bool:
        """Whether appends take no longer of late than usual."""
        return self._append_time.seconds < QUICK_SECONDS

    @property
    def resend_seconds(self) -> list[float]:
        """Pauses after which an append without an answer is sent again."""
        return [
            self._append_time.late_after(least) for least in RESEND_SECONDS
        ]

    @property
    def slow_seconds(self) -> float:
        """Seconds after which an append without an answer counts as failed."""
        return self._append_time.late_after(SLOW_SECONDS, LONGEST_SLOW_SECONDS)


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

    answers: int
    was_down: bool
    is_own: bool
    is_answered: bool = False


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

    def __init__(self, timers: timers_module.Timers, answers: LogAnswers):
        self._timers = timers
        self._answers = answers
        self._failure: _Failure | None = None
        self._is_trying = False
        self._was_known_back = False
        self._was_busy = False
        self._pause = RETRY_SECONDS
        self._failed_at = -math.inf
        self._paused_until = -math.inf

    @property
    def has_failed(self) -> bool:
        """Whether the last call failed."""
        return self._failure is not None

    @property
    def may_answer(self) -> bool:
        """Whether the log answers, if perhaps not each call.

        Otherwise a call is sent once: each is paid for.
        """
        return self._failure is None or self._is_known_back

    @property
    def is_failing(self) -> bool:
        """Whether the partition fails, as far as known."""
        if self._failure is None:
            return False
        if not self._is_known_back:
            return True
        is_paused = self._timers.now() < self._paused_until
        return self._failure.is_own and (is_paused or self._is_trying)

    @property
    def is_unread(self) -> bool:
        """Whether it failed, and the log has answered since."""
        is_back = self.has_failed and not self.is_failing
        return is_back and not self._was_busy

    @property
    def awaited_pause(self) -> float:
        """Seconds until it may be tried if somebody waits for it."""
        pause = min(
            AWAITED_RETRY_SECONDS, self._paused_until - self._failed_at
        )
        return max(0.0, self._failed_at + pause - self._timers.now())

    def note_try(self) -> None:
        """Take note that a call is made."""
        self._is_trying = True
        self._was_known_back = self.has_failed and self._is_known_back

    def note_success(self) -> bool:
        """Take note that a call succeeded; tell if it is the first again."""
        self._answers.note()
        was_failing = self.has_failed
        self._failure = None
        self._is_trying = self._was_busy = False
        self._pause = RETRY_SECONDS
        return was_failing

    def note_busy(self) -> None:
        """Take note of a call beyond the log's rate.

        Not away: other VMs may be spending by it just now.
        """
        self._is_trying = False
        self._was_busy = True
        if self._failure is not None:
            self._failure.is_answered = True

    def note_failure(self) -> None:
        """Take note that a call failed."""
        self._is_trying = self._was_busy = False
        self._failure = _Failure(
            self._answers.count, self._answers.is_down, self._was_known_back
        )

    def next_pause(self, least: float) -> float:
        """Begin the pause until the next try; return its seconds."""
        pause = max(self._pause, least)
        self._failed_at = self._timers.now()
        self._paused_until = self._failed_at + pause
        self._pause = min(2 * pause, LONGEST_RETRY_SECONDS)
        return pause

    # -- own ------------------------------------------------------------------

    @property
    def _is_known_back(self) -> bool:
        """Whether the log has answered any call since the failure."""
        failure = self._failure
        if failure.is_answered:
            return True
        if self._answers.is_down:
            return False
        return failure.was_down or self._answers.count > failure.answers
