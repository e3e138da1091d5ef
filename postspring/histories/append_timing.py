"""How long appends to one partition take, and whether one is late."""

import math

from postspring.histories import reachability
from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["AppendTiming"]


class AppendTiming:
    """Times the appends to a partition that are under way, and earlier ones.

    Parameters
    ==========

    log_health : LogHealth
        State of the log, by the calls to all partitions.
    """

    def __init__(
        self,
        timers: timers_module.Timers,
        log_health: reachability.LogHealth,
    ):
        self._timers = timers
        self._log_health = log_health
        self._duration = keyedlog.AverageDuration()
        self._under_way: list[float] = []

    @property
    def under_way(self) -> int:
        """Number of appends under way."""
        return len(self._under_way)

    def start(self) -> float:
        """Note that an append is sent; return when."""
        now = self._timers.now()
        self._under_way.append(now)
        return now

    def end(self, sent_at: float) -> None:
        """Note that one has ended, without an answer that tells its time."""
        self._under_way.remove(sent_at)

    def note_answer(self, sent_at: float, seconds: float) -> None:
        """Note that one was answered, and how long that took."""
        self._log_health.note_append(seconds)
        self._duration.note(seconds)
        self.end(sent_at)

    def note_late(self, sent_at: float) -> None:
        """Note that one ended without an answer, though reads had some."""
        self._log_health.note_late_append(sent_at)
        self._duration.note(self._timers.now() - sent_at)
        self.end(sent_at)

    @property
    def _sent_at(self) -> float:
        """When the oldest append under way was sent."""
        return min(self._under_way, default=math.inf)

    @property
    def is_late(self) -> bool:
        """Whether one has no answer for unusually long."""
        waited = self._timers.now() - self._sent_at
        return waited > self._log_health.unresponsive_seconds

    @property
    def is_fast(self) -> bool:
        """Whether the log, and this partition, take appends quickly.

        Each partition has a queue of its own.
        """
        return self._log_health.is_fast and reachability.is_fast(
            self._duration
        )

    @property
    def may_be_sooner_elsewhere(self) -> bool:
        """Whether a late append may be done sooner by another VM.

        So it is if the log is silent to this VM, or loses appends. If it is
        slow, an append waits there as long for any VM.
        """
        if not self.is_late:
            return False
        health = self._log_health
        if self.is_fast and health.has_appended_since(self._sent_at):
            return True
        moment = self._timers.now() - health.unresponsive_seconds
        return not health.has_answered_since(moment)
