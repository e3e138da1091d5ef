"""Waits until a completed turn is in the log or held by other VMs."""

from collections.abc import Callable

from postspring.histories import ports
from postspring.transport import timers as timers_module

__all__ = [
    "DEFAULT_TIMEOUT_SECONDS",
    "HELD",
    "LOGGED",
    "LOCAL_ONLY",
    "DurabilityWait",
    "PairLatch",
]

# The log usually answers in 4 ms. If it is known to be unavailable by then, a
# turn that is not recorded is replicated to other VMs. In seconds.
REPLICATE_AFTER_SECONDS = 0.1
# Otherwise the log may be slow: other VMs hold replicas from then on, and the
# turn still waits for the log. In seconds.
REPLICATE_SLOW_AFTER_SECONDS = 0.35
# The same while the log answers this VM: an append that only waits needs no
# replica, so these are made in time for the longest wait. In seconds.
REPLICATE_ANSWERING_AFTER_SECONDS = 0.8
# Longest wait for the log, in seconds, unless it is known to be unavailable,
# even if other VMs hold the turn: replicas are lost if all VMs lose power, and
# with a log that takes 0.15 s every turn ended as held. Callers leave a stream
# that is silent for 2 s.
MAX_LOG_WAIT_SECONDS = 1.2
POLL_SECONDS = 0.05
# Pause before the turn is replicated again if no VM holds it, in seconds.
REPLICATE_RETRY_SECONDS = 0.25
# How long a caller waits that has set no deadline, in seconds.
DEFAULT_TIMEOUT_SECONDS = 15.0
# Where a turn is stored when the wait ends.
LOGGED = "logged"
HELD = "held"
LOCAL_ONLY = "nowhere"

RecordElsewhere = Callable[[float, Callable[[bool], None]], None]


class PairLatch:
    """Calls a function when two operations are done.

    Examples
    ========

    >>> latch = PairLatch(lambda: print("done"))
    >>> latch.count_down()
    >>> latch.count_down()
    done
    """

    def __init__(self, on_done: Callable[[], None]):
        self._on_done = on_done
        self._left = 2

    def count_down(self) -> None:
        """Note that one of the operations is done."""
        self._left -= 1
        if not self._left:
            self._on_done()


class DurabilityWait:
    """Waits until a turn is recorded, or other VMs hold replicas of it.

    Parameters
    ==========

    record : bytes
        The record of the completed turn.
    is_unavailable : callable
        Returns whether the log is known to be unavailable.
    timeout : float
        Seconds after which the wait ends even if no VM holds the turn.
    is_late : callable
        Returns whether the log is unavailable or takes longer than usual.
    record_elsewhere : callable
        Has a VM that reaches the log record the turn; takes a timeout in
        seconds and a function to call with whether one has.
    patience : callable
        Returns how long to wait for the log at present, given the usual time.
    can_retry_elsewhere : callable
        Returns whether VMs that reach the log may serve the caller, if this
        one does not.
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
        patience: Callable[[float], float] = lambda usual: usual,
        can_retry_elsewhere: Callable[[], bool] = lambda: False,
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
        self._patience = patience
        self._can_retry_elsewhere = can_retry_elsewhere
        self._has_asked_peers = False
        self._did_peers_fail = False
        self._expiry: timers_module.TimerHandle | None = None

    def start(self, on_done: Callable[[str], None]) -> None:
        """Call ``on_done`` once with where the turn is stored.

        Other VMs get replicas at once if the log is unavailable, else after a
        delay.
        """
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
        """Note that the turn is in the log."""
        self._is_logged = True
        self._finish(LOGGED)

    def finish_now(self) -> None:
        """End the wait, at the caller's deadline or because this VM stops.

        A turn that other VMs hold counts as held, since it can be continued:
        if its answer were cut off, the turn would run again.
        """
        self._finish(HELD if self._is_held else LOCAL_ONLY)

    @property
    def _is_held(self) -> bool:
        """Whether VMs hold the turn from which its program can go on.

        Behind a cut only VMs of this data centre hold it, which may all lose
        power, and VMs elsewhere can't continue the program. If these can serve
        the caller, the turn is to run again there instead.
        """
        if not self._is_replicated:
            return False
        return (
            self._replica_holders.is_held_elsewhere(self._record)
            or not self._can_retry_elsewhere()
        )

    # -- own ------------------------------------------------------------------

    def _replicate_if_unavailable(self) -> None:
        if self._is_unavailable():
            self._replicate()
            return
        seconds = REPLICATE_SLOW_AFTER_SECONDS - REPLICATE_AFTER_SECONDS
        self._timer = self._timers.call_later(seconds, self._replicate)

    def _replicate(self) -> None:
        waited = self._timers.now() - self._started_at
        if not self._is_late() and waited < REPLICATE_ANSWERING_AFTER_SECONDS:
            self._timer = self._timers.call_later(
                POLL_SECONDS, self._replicate
            )
            return
        if self._on_done is not None:
            self._replica_holders.replicate(
                self._record, self._replicated, self._is_unavailable()
            )

    def _replicated(self, replica_count: int) -> None:
        if replica_count:
            self._is_replicated = True
            if self._timers.now() - self._started_at > MAX_LOG_WAIT_SECONDS:
                # VMs that reach the log may just have come within reach.
                self._started_at = self._timers.now()
            self._wait_for_log()
        elif self._on_done is not None:
            self._timer = self._timers.call_later(
                REPLICATE_RETRY_SECONDS, self._replicate
            )

    def _wait_for_log(self) -> None:
        """Finish as held if no VM reaches the log, or after the longest wait.

        Replicas are lost if all VMs lose power, so the turn waits to be
        recorded as long as any VM reaches the log.
        """
        if self._on_done is None:
            return
        limit = self._patience(MAX_LOG_WAIT_SECONDS)
        remaining = self._started_at + limit - self._timers.now()
        is_unavailable = self._is_unavailable()
        if remaining <= 0:
            self.finish_now()
            return
        if is_unavailable and self._did_peers_fail and self._is_held:
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
        if self._is_held and self._is_unavailable():
            self._finish(HELD)

    def _finish(self, storage: str) -> None:
        on_done, self._on_done = self._on_done, None
        if on_done is None:
            return
        for timer in (self._timer, self._expiry):
            if timer is not None:
                timer.cancel()
        on_done(storage)
