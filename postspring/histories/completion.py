"""When a whole turn is safe: in the log, or kept by other VMs."""

from collections.abc import Callable

from postspring.histories import ports
from postspring.transport import timers as timers_module

__all__ = [
    "HELD",
    "LOGGED",
    "NOWHERE",
    "TIMEOUT_SECONDS",
    "Both",
    "Completion",
]

# The log's usual answer takes 4 ms; if it is known to be away by then, a turn
# that is not recorded is given to other VMs.  In seconds.
HOLD_AFTER_SECONDS = 0.1
# Else the log may be slow: other VMs keep the turn, and the log is waited for
# all the same.  In seconds.
HOLD_SLOW_AFTER_SECONDS = 0.35
# So long the log is waited for unless it is known to be away, though others
# keep the turn: what VMs keep is lost if all lose power, and of a log that
# takes 0.15 s they kept every turn.  Callers leave a stream that is silent
# for 2 s.  In seconds.
LONGEST_WAIT_SECONDS = 1.2
LOOK_SECONDS = 0.05
# Pause before other VMs are asked again, in seconds.
AGAIN_SECONDS = 0.25
# How long a caller waits that has named no deadline, in seconds.
TIMEOUT_SECONDS = 15.0
# How a turn is kept.
LOGGED = "logged"
HELD = "held"
NOWHERE = "nowhere"

HaveRecorded = Callable[[float, Callable[[bool], None]], None]


class Both:
    """Calls a function when two things are done.

    Examples
    ========

    >>> both = Both(lambda: print("done"))
    >>> both.one_done()
    >>> both.one_done()
    done
    """

    def __init__(self, on_done: Callable[[], None]):
        self._on_done = on_done
        self._left = 2

    def one_done(self) -> None:
        """Take note that one of them is."""
        self._left -= 1
        if not self._left:
            self._on_done()


class Completion:
    """Waits until a turn is recorded, or copies of it are kept.

    Parameters
    ==========

    record : bytes
        The record of the whole turn.
    is_away : callable
        Returns whether the log is known to be away.
    timeout : float
        Seconds after which its caller is told, if nobody keeps it, so.
    is_late : callable
        Returns whether the log takes longer than usual, or is away.
    have_recorded : callable
        Asks VMs that reach the log to record the turn; takes for how many
        seconds, and who is told whether one has.
    """

    def __init__(
        self,
        timers: timers_module.Timers,
        replica_holders: ports.ReplicaHolders,
        record: bytes,
        is_away: Callable[[], bool],
        timeout: float,
        is_late: Callable[[], bool],
        have_recorded: HaveRecorded,
    ):
        self._timers = timers
        self._replica_holders = replica_holders
        self._record = record
        self._on_done: Callable[[str], None] | None = None
        self._is_logged = False
        self._is_kept = False
        self._timer: timers_module.TimerHandle | None = None
        self._is_away = is_away
        self._began = timers.now()
        self._timeout = timeout
        self._is_late = is_late
        self._have_recorded = have_recorded
        self._has_asked_others = False
        self._did_others_refuse = False
        self._expiry: timers_module.TimerHandle | None = None

    def start(self, on_done: Callable[[str], None]) -> None:
        """Report to ``on_done``; ask other VMs at once, or after a while."""
        if self._is_logged:
            on_done(LOGGED)
            return
        self._on_done = on_done
        self._expiry = self._timers.call_later(self._timeout, self.end_now)
        seconds = 0.0 if self._is_away() else HOLD_AFTER_SECONDS
        self._timer = self._timers.call_later(seconds, self._hold_if_away)

    def logged(self) -> None:
        """Take note that the turn stands in the log."""
        self._is_logged = True
        self._finish(LOGGED)

    def end_now(self) -> None:
        """End at the caller's deadline, or as this VM is about to end.

        What others keep can be gone on from: broken off, it would run again.
        """
        self._finish(HELD if self._is_kept else NOWHERE)

    # -- own ------------------------------------------------------------------

    def _hold_if_away(self) -> None:
        if self._is_away():
            self._hold()
            return
        seconds = HOLD_SLOW_AFTER_SECONDS - HOLD_AFTER_SECONDS
        self._timer = self._timers.call_later(seconds, self._hold)

    def _hold(self) -> None:
        if self._on_done is not None:
            self._replica_holders.keep(
                self._record, self._kept, self._is_away()
            )

    def _kept(self, copies: int) -> None:
        if copies:
            self._is_kept = True
            self._wait_for_log()
        elif self._on_done is not None:
            self._timer = self._timers.call_later(AGAIN_SECONDS, self._hold)

    def _wait_for_log(self) -> None:
        """End by copies if the log is away for all, or too slow for callers.

        What only VMs keep is lost if all lose power, so as long as any of
        them reaches the log the turn waits to be recorded.
        """
        if self._on_done is None:
            return
        left = self._began + LONGEST_WAIT_SECONDS - self._timers.now()
        is_away = self._is_away()
        if left <= 0 or is_away and self._did_others_refuse:
            self._finish(HELD)
            return
        if not self._has_asked_others and self._is_late():
            self._has_asked_others = True
            self._have_recorded(left, self._recorded_by_others)
        self._timer = self._timers.call_later(LOOK_SECONDS, self._wait_for_log)

    def _recorded_by_others(self, is_recorded: bool) -> None:
        if is_recorded:
            self.logged()
            return
        self._did_others_refuse = True
        if self._is_kept and self._is_away():
            self._finish(HELD)

    def _finish(self, how: str) -> None:
        on_done, self._on_done = self._on_done, None
        if on_done is None:
            return
        for timer in (self._timer, self._expiry):
            if timer is not None:
                timer.cancel()
        on_done(how)
