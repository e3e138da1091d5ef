"""One batch of records on its way to the log."""

from collections.abc import Callable

from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["Append"]

# An append without an answer is sent once more after these many seconds:
# behind a usual answer (4 ms) and a slow one (0.25 s), see docs/PLATFORM.md.
# But not before so many times what appends take of late, on a slow disk.
RESEND_SECONDS = (0.15, 0.5)
RESEND_TIMES = 2.5


class Append:
    """Sent again while no answer has come.

    What reads the log ignores what stands there twice.

    Parameters
    ==========

    send : callable
        Makes the call; takes who hears the offset, and who the failure.
    usual_seconds : float
        What appends take of late.
    may_resend : callable
        Returns whether the log is known not to fail.
    on_done : callable
        Told the offset of the first record, once.
    on_error : callable
        Told the last failure, once no call is open any more.
    """

    def __init__(
        self,
        send: Callable[
            [Callable[[int], None], Callable[[keyedlog.KeyedLogError], None]],
            None,
        ],
        timers: timers_module.Timers,
        usual_seconds: float,
        may_resend: Callable[[], bool],
        on_done: Callable[[int], None],
        on_error: Callable[[keyedlog.KeyedLogError], None],
    ):
        self._send = send
        self._timers = timers
        self._usual_seconds = usual_seconds
        self._may_resend = may_resend
        self._on_done = on_done
        self._on_error = on_error
        self._open = 0
        self._done = False
        self._sent = 0
        self._resend: timers_module.TimerHandle | None = None

    def start(self) -> None:
        """Send the batch, and plan to send it again."""
        self._open += 1
        if self._sent < len(RESEND_SECONDS) and self._may_resend():
            usual = RESEND_TIMES * self._usual_seconds
            seconds = max(RESEND_SECONDS[self._sent], usual)
            self._resend = self._timers.call_later(seconds, self._again)
        self._sent += 1
        self._send(self._appended, self._failed)

    # -- own ------------------------------------------------------------------

    def _again(self) -> None:
        if not self._done:
            self.start()

    def _appended(self, first: int) -> None:
        if self._done:
            return
        self._finish()
        self._on_done(first)

    def _failed(self, error: keyedlog.KeyedLogError) -> None:
        self._open -= 1
        if self._done or self._open:
            return
        self._finish()
        self._on_error(error)

    def _finish(self) -> None:
        self._done = True
        if self._resend is not None:
            self._resend.cancel()
