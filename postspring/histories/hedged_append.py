"""Appends of one batch of records, sent again if they get lost."""

from collections.abc import Callable
import enum
import functools

from postspring.histories import reachability
from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["HedgedAppend", "LookUp"]

# Most calls for one batch until one fails.
MAX_CALLS = 8
# Seconds without any answered append after which a batch is sent a third time:
# each call adds to the load of a log that has just become slow.
THIRD_CALL_SECONDS = 0.45


class LookUp(enum.Enum):
    """What a read shows of a batch."""

    FOUND = "found"
    ABSENT = "absent"
    # The read failed, or was not needed.
    UNKNOWN = "unknown"


class HedgedAppend:
    """Appends a batch, and sends it again if the log does not have it.

    Explanation
    ===========

    A partition does one append at a time. If a slow log gets an append again,
    all appends wait longer, more of them are late, and the load does not end
    with its cause. So a late batch is looked up first: reads don't wait for
    appends. It is sent again only if it is not in the log, and if the log
    answers other appends quickly. Folds ignore a record that is in the log
    twice.

    Parameters
    ==========

    send : callable
        Makes the call; takes functions to call with the offset or with the
        error.
    log_health : LogHealth
        Tells whether a batch without an answer is late.
    is_fast : callable
        Returns whether the log takes appends to the partition quickly.
    look_up : callable
        Reads the partition; takes a function to call with what it shows.
    on_done : callable
        Called once with the offset of the first record, and the seconds that
        the answered call took.
    on_found : callable
        Called instead if the batch was found in the log.
    on_error : callable
        Called with the last error once no call is open any more.
    """

    def __init__(
        self,
        send: Callable[
            [Callable[[int], None], Callable[[keyedlog.KeyedLogError], None]],
            None,
        ],
        timers: timers_module.Timers,
        log_health: reachability.LogHealth,
        is_fast: Callable[[], bool],
        look_up: Callable[[Callable[[LookUp], None]], None],
        on_done: Callable[[int, float], None],
        on_found: Callable[[], None],
        on_error: Callable[[keyedlog.KeyedLogError], None],
    ):
        self._send = send
        self._timers = timers
        self._log_health = log_health
        self._is_fast = is_fast
        self._look_up = look_up
        self._on_done = on_done
        self._on_found = on_found
        self._on_error = on_error
        self._open_calls = 0
        self._call_count = 0
        self._started_at = timers.now()
        self._is_done = False
        self._look_up_timer: timers_module.TimerHandle | None = None

    def start(self) -> None:
        """Send the batch."""
        self._call()
        self._schedule_look_up()

    # -- own ------------------------------------------------------------------

    def _call(self) -> None:
        self._open_calls += 1
        self._call_count += 1
        appended = functools.partial(self._appended, self._timers.now())
        self._send(appended, self._failed)

    def _schedule_look_up(self) -> None:
        self._look_up_timer = self._timers.call_later(
            self._log_health.look_up_pause, self._overdue
        )

    def _overdue(self) -> None:
        if not self._is_done:
            self._look_up(self._looked_up)

    def _looked_up(self, result: LookUp) -> None:
        if self._is_done:
            return
        if result is LookUp.FOUND:
            self._finish()
            self._on_found()
            return
        if result is LookUp.ABSENT and self._may_resend:
            self._call()
        self._schedule_look_up()

    @property
    def _may_resend(self) -> bool:
        """Whether the batch is lost, and does not wait in a slow log.

        A log that has just become slow has not answered any append that shows
        it.
        """
        if not self._is_fast() or self._call_count >= MAX_CALLS:
            return False
        if self._log_health.has_appended_since(self._started_at):
            return True
        waited = self._timers.now() - self._started_at
        return self._call_count == 1 or (
            self._call_count == 2 and waited > THIRD_CALL_SECONDS
        )

    def _appended(self, sent_at: float, first: int) -> None:
        if self._is_done:
            return
        self._finish()
        self._on_done(first, self._timers.now() - sent_at)

    def _failed(self, error: keyedlog.KeyedLogError) -> None:
        self._open_calls -= 1
        if self._is_done or self._open_calls:
            return
        self._finish()
        self._on_error(error)

    def _finish(self) -> None:
        self._is_done = True
        if self._look_up_timer is not None:
            self._look_up_timer.cancel()
