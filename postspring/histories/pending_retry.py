"""The pending retry of one partition's failed call."""

from collections.abc import Callable
import math

from postspring.histories import reachability as reachability_module
from postspring.transport import timers as timers_module

__all__ = ["PendingRetry"]


class PendingRetry:
    """Schedules the retry of a failed call, one at a time.

    Parameters
    ==========

    reachability : Reachability
        State of the partition, which gives the pauses.
    pace_retry : callable
        Returns the pause until this partition's retry, given the least one.
    """

    def __init__(
        self,
        timers: timers_module.Timers,
        reachability: reachability_module.Reachability,
        pace_retry: Callable[[float], float],
    ):
        self._timers = timers
        self._reachability = reachability
        self._pace_retry = pace_retry
        self._function: Callable[[], None] | None = None
        self._due_at = math.inf
        self._timer: timers_module.TimerHandle | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether a retry is scheduled."""
        return self._function is not None

    def start(
        self, function: Callable[[], None], minimum: float = 0.0
    ) -> None:
        """Call a function after the pause that follows a failure.

        Parameters
        ----------
        minimum : float
            Least pause, in seconds.
        """
        # With the pause alone, many partitions retried in each second.
        self._function = function
        self.schedule(self._pace_retry(self._reachability.next_pause(minimum)))

    def schedule(self, seconds: float) -> None:
        """Schedule the pending retry after so many seconds, not before."""
        if self._timer is not None:
            self._timer.cancel()
        self._due_at = self._timers.now() + seconds
        self._timer = self._timers.call_later(seconds, self._retry_now)

    def expedite(self) -> None:
        """Retry before the allotted slot if the log answers again.

        The slots are for retries that no caller waits for: a turn timed out
        before its slot while the log answered other calls.
        """
        if not self.is_waiting or not self._reachability.can_expedite_retry:
            return
        pause = self._reachability.caller_retry_pause
        if self._timers.now() + pause < self._due_at:
            self.schedule(pause)

    # -- own ------------------------------------------------------------------

    def _retry_now(self) -> None:
        function, self._function = self._function, None
        if function is not None:
            self._reachability.note_call()
            function()
