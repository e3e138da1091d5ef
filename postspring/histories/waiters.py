"""Pending operations on a partition, and the functions that wait for them."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Any

from postspring.histories import errors
from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["Waiter", "Waiters"]

# With a longer timeout than this no caller waits, in seconds: callers wait for
# some seconds, but records that have to be appended can wait for minutes.
MAX_CALLER_WAIT_SECONDS = 30.0


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A pending append, or a pending read to the end of a partition.

    Parameters
    ==========

    may_be_there : bool
        Whether the log may have the entry: it is appended only if a read shows
        that it does not.
    on_appended : callable
        Called once when the entry is in the log, maybe before it is folded.

    Attributes
    ==========

    is_sent : bool
        Whether an append of the entry is under way, or was answered.
    is_appended : bool
        Whether the entry is known to be in the log.
    """

    entry: keyedlog.LogEntry | None
    on_done: Callable[[Any], None]
    on_error: Callable[[errors.HistoryError], None]
    may_be_there: bool = False
    on_appended: Callable[[], None] = lambda: None
    expiry: timers_module.TimerHandle | None = None
    caller_waits_until: float = 0.0
    is_sent: bool = False
    is_appended: bool = False

    def note_appended(self) -> None:
        """Report once that the entry is in the log."""
        if not self.is_appended:
            self.is_appended = True
            self.on_appended()


class Waiters(list[Waiter]):
    """Pending operations of one kind, in the order of their submission."""

    def __init__(self, timers: timers_module.Timers):
        super().__init__()
        self._timers = timers

    @property
    def has_waiting_caller(self) -> bool:
        """Whether a caller waits for one of them now."""
        now = self._timers.now()
        return any(waiter.caller_waits_until > now for waiter in self)

    @property
    def unsent(self) -> "Waiters":
        """Those whose entries are neither in the log nor on their way."""
        found = Waiters(self._timers)
        found.extend(waiter for waiter in self if not waiter.is_sent)
        return found

    @property
    def unfolded(self) -> list[Waiter]:
        """Those whose entries are in the log, and have to be folded."""
        return [waiter for waiter in self if waiter.is_appended]

    @property
    def had_waiting_caller(self) -> bool:
        """Whether a caller waits, or has waited, for one of them."""
        return any(waiter.caller_waits_until > 0 for waiter in self)

    def add(
        self, waiter: Waiter, timeout: float, caller_wait: float = 0.0
    ) -> bool:
        """Add one that fails after a timeout; return if a caller waits."""
        self.append(waiter)
        waiter.expiry = self._timers.call_later(timeout, self._expire, waiter)
        if timeout <= MAX_CALLER_WAIT_SECONDS:
            caller_wait = timeout
        if caller_wait:
            waiter.caller_waits_until = self._timers.now() + caller_wait
        return caller_wait > 0

    def note_appended(self, appended: Iterable[Waiter]) -> None:
        """Report to those that have not failed that they are in the log."""
        for waiter in appended:
            if waiter in self:
                waiter.note_appended()

    def complete(self, done: Iterable[Waiter], result: Any) -> None:
        """Remove those that have not failed yet, and report that to them."""
        for waiter in done:
            if waiter in self:
                self.remove(waiter)
                waiter.expiry.cancel()
                waiter.note_appended()
                waiter.on_done(result)

    def complete_found(
        self, entries: Iterable[keyedlog.LogEntry], result: Any
    ) -> None:
        """Complete appends that may have been done before, if they were."""
        doubtful = [item for item in self if item.may_be_there or item.is_sent]
        if doubtful:
            known = set(entries)
            found = [item for item in doubtful if item.entry in known]
            self.complete(found, result)

    # -- own ------------------------------------------------------------------

    def _expire(self, waiter: Waiter) -> None:
        if waiter in self:
            self.remove(waiter)
            waiter.on_error(errors.JournalUnavailable("timeout"))
