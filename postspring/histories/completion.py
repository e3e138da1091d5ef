"""When a whole turn is safe: in the log, or kept by other VMs."""

from collections.abc import Callable

from postspring.histories import ports
from postspring.transport import timers as timers_module

__all__ = [
    "DEFAULT_TIMEOUT_SECONDS",
    "HELD",
    "LOGGED",
    "NOWHERE",
    "DurabilityWait",
    "PairLatch",
]

# The log's usual answer takes 4 ms; if it is known to be away by then, a turn
# that is not recorded is given to other VMs.  In seconds.
REPLICATE_AFTER_SECONDS = 0.1
# Else the log may be slow: other VMs keep the turn, and the log is waited for
# all the same.  In seconds.
REPLICATE_SLOW_AFTER_SECONDS = 0.35
# So long the log is waited for unless it is known to be away, though others
# keep the turn: what VMs keep is lost if all lose power, and of a log that
# takes 0.15 s they kept every turn.  Callers leave a stream that is silent
# for 2 s.  In seconds.
MAX_LOG_WAIT_SECONDS = 1.2
POLL_SECONDS = 0.05
# Pause before other VMs are asked again, in seconds.
REPLICATE_RETRY_SECONDS = 0.25
# How long a caller waits that has named no deadline, in seconds.
DEFAULT_TIMEOUT_SECONDS = 15.0
# How a turn is kept.
LOGGED = "logged"
HELD = "held"
NOWHERE = "nowhere"

RecordElsewhere = Callable[[float, Callable[[bool], None]], None]


class PairLatch:
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

    def count_down(self) -> None:
        """Take note that one of them is."""
        self._left -= 1
        if not self._left:
            self._on_done()


class DurabilityWait:
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
        is_unavailable: Callable[[], bool],
        timeout: float,
        is_late: Callable[[], bool],
        record_elsewhere: RecordElsewhere,
    ):
        self._timers = timers
        self._replica_holders = replica_holders
        self._record = record
        self._on_done: Callable[[str], None] | None = None
        self._is_logged = False
        self._is_replicated = False
        self._timer: timers_module.TimerHandle | None = None
        self._is_unavailable = is_unavailable
        self._started_at = timers.now()
        self._timeout = timeout
        self._is_late = is_late
        self._record_elsewhere = record_elsewhere
        self._has_asked_peers = False
        self._did_peers_fail = False
        self._expiry: timers_module.TimerHandle | None = None

    def start(self, on_done: Callable[[str], None]) -> None:
        """Report to ``on_done``; ask other VMs at once, or after a while."""
        if self._is_logged:
            on_done(LOGGED)
            return
        self._on_done = on_done
        self._expiry = self._timers.call_later(self._timeout, self.finish_now)
        seconds = 0.0 if self._is_unavailable() else REPLICATE_AFTER_SECONDS
        self._timer = self._timers.call_later(
            seconds, self._replicate_if_unavailable
        )

    def logged(self) -> None:
        """Take note that the turn stands in the log."""
        self._is_logged = True
        self._finish(LOGGED)

    def finish_now(self) -> None:
        """End at the caller's deadline, or as this VM is about to end.

        What others keep can be gone on from: broken off, it would run again.
        """
        self._finish(HELD if self._is_replicated else NOWHERE)

    # -- own ------------------------------------------------------------------

    def _replicate_if_unavailable(self) -> None:
        if self._is_unavailable():
            self._replicate()
            return
        seconds = REPLICATE_SLOW_AFTER_SECONDS - REPLICATE_AFTER_SECONDS
        self._timer = self._timers.call_later(seconds, self._replicate)

    def _replicate(self) -> None:
        if self._on_done is not None:
            self._replica_holders.keep(
                self._record, self._replicated, self._is_unavailable()
            )

    def _replicated(self, copies: int) -> None:
        if copies:
            self._is_replicated = True
            self._wait_for_log()
        elif self._on_done is not None:
            self._timer = self._timers.call_later(
                REPLICATE_RETRY_SECONDS, self._replicate
            )

    def _wait_for_log(self) -> None:
        """End by copies if the log is away for all, or too slow for callers.

        What only VMs keep is lost if all lose power, so as long as any of
        them reaches the log the turn waits to be recorded.
        """
        if self._on_done is None:
            return
        remaining = (
            self._started_at + MAX_LOG_WAIT_SECONDS - self._timers.now()
        )
        is_unavailable = self._is_unavailable()
        if remaining <= 0 or is_unavailable and self._did_peers_fail:
            self._finish(HELD)
            return
        if not self._has_asked_peers and self._is_late():
            self._has_asked_peers = True
            self._record_elsewhere(remaining, self._peers_answered)
        self._timer = self._timers.call_later(POLL_SECONDS, self._wait_for_log)

    def _peers_answered(self, is_recorded: bool) -> None:
        if is_recorded:
            self.logged()
            return
        self._did_peers_fail = True
        if self._is_replicated and self._is_unavailable():
            self._finish(HELD)

    def _finish(self, storage: str) -> None:
        on_done, self._on_done = self._on_done, None
        if on_done is None:
            return
        for timer in (self._timer, self._expiry):
            if timer is not None:
                timer.cancel()
        on_done(storage)
