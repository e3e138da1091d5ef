"""Hedged appends of one batch of records."""

from collections.abc import Callable
import functools

from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["HedgedAppend"]


class HedgedAppend:
    """Appends a batch, and sends it again while no answer has come.

    Folds ignore a record that is in the log twice.

    Parameters
    ==========

    send : callable
        Makes the call; takes functions to call with the offset or with the
        error.
    pauses : list of float
        Seconds without an answer after which the batch is sent again.
    may_resend : callable
        Returns whether the log answers, as far as known.
    on_done : callable
        Called once with the offset of the first record, and the seconds that
        the answered call took.
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
        pauses: list[float],
        may_resend: Callable[[], bool],
        on_done: Callable[[int, float], None],
        on_error: Callable[[keyedlog.KeyedLogError], None],
    ):
        self._send = send
        self._timers = timers
        self._pauses = pauses
        self._may_resend = may_resend
        self._on_done = on_done
        self._on_error = on_error
        self._open_calls = 0
        self._is_done = False
        self._sent_count = 0
        self._resend_timer: timers_module.TimerHandle | None = None

    def start(self) -> None:
        """Send the batch, and schedule sending it again."""
        self._open_calls += 1
        if self._sent_count < len(self._pauses) and self._may_resend():
            self._resend_timer = self._timers.call_later(
                self._pauses[self._sent_count], self._send_again
            )
        self._sent_count += 1
        appended = functools.partial(self._appended, self._timers.now())
        self._send(appended, self._failed)

    # -- own ------------------------------------------------------------------

    def _send_again(self) -> None:
        if not self._is_done:
            self.start()

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
        if self._resend_timer is not None:
            self._resend_timer.cancel()
