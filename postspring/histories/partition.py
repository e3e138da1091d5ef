"""One partition as this VM sees it: its fold, and appends to it.

Appends are not conditional. The answer holds the offset; if other VMs have
appended in between, their records are read and folded first, and the fold
decides what counts. While one VM alone appends to a partition, that takes one
call.
"""

from collections.abc import Callable
import dataclasses
import functools
import logging
import math
from typing import Any

from postspring.histories import errors
from postspring.histories import hedged_append
from postspring.histories import reachability
from postspring.histories import size_limits
from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["Partition"]

LOG = logging.getLogger(__name__)

# Pause when the log rejects a call as beyond its rate, in seconds: many VMs
# share the rate, and immediate retries would keep exceeding it.
BUSY_RETRY_SECONDS = 0.5
# With a longer timeout than this no caller waits, in seconds: callers wait for
# some seconds, but records that have to be appended can wait for minutes.
MAX_CALLER_WAIT_SECONDS = 30.0


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A pending append, or a pending read to the end of the partition."""

    entry: keyedlog.LogEntry | None
    on_done: Callable[[Any], None]
    on_error: Callable[[errors.HistoryError], None]
    expiry: timers_module.TimerHandle | None = None
    caller_waits_until: float = 0.0


class Partition:
    """Appends to a partition and folds it, one step at a time.

    Parameters
    ==========

    fold_type : type
        Creates the fold, and a new one when the records have to be read from
        the start.
    log_health : LogHealth
        State of the log, by the calls to all partitions.
    on_recovered : callable
        Called when a call succeeds after others have failed.
    is_ordered : bool
        Whether the effect of an entry depends on those before it, so that an
        append is done only when they are folded. Otherwise it is done when the
        entry is in the log, and other VMs' entries are read on request.
    pace_retry : callable
        Returns the pause until this partition's retry, given the least one.
    call_bytes : int
        Most bytes of one call: the log rejects a larger call for good.
    """

    def __init__(
        self,
        log: keyedlog.KeyedLog,
        timers: timers_module.Timers,
        place: keyedlog.LogPlace,
        fold_type: type,
        log_health: reachability.LogHealth,
        on_recovered: Callable[[], None] = lambda: None,
        is_ordered: bool = True,
        pace_retry: Callable[[float], float] = lambda seconds: seconds,
        call_bytes: int = size_limits.SizeLimits().call,
    ):
        self._call_bytes = call_bytes
        self._pace_retry = pace_retry
        self._is_ordered = is_ordered
        self._on_recovered = on_recovered
        self._log = log
        self._timers = timers
        self._place = place
        self._fold_type = fold_type
        self.fold: Any = fold_type()
        self.next_offset: int | None = None
        self.last_used_at = timers.now()
        self._commits: list[_Waiter] = []
        self._refreshes: list[_Waiter] = []
        self._is_step_open = False
        self._log_health = log_health
        self._reachability = reachability.Reachability(timers, log_health)
        self._sent_at = math.inf
        self._retry: Callable[[], None] | None = None
        self._retry_at = math.inf
        self._retry_timer: timers_module.TimerHandle | None = None

    @property
    def is_unavailable(self) -> bool:
        """Whether the partition fails, as far as known."""
        return self._reachability.is_unavailable

    @property
    def is_unresponsive(self) -> bool:
        """Whether it is unavailable, or an append has no answer for long."""
        waited = self._timers.now() - self._sent_at
        return (
            self.is_unavailable
            or waited > self._log_health.unresponsive_seconds
        )

    @property
    def is_waiting(self) -> bool:
        """Whether a retry is scheduled."""
        return self._retry is not None

    @property
    def has_waiting_caller(self) -> bool:
        """Whether a caller waits for it now."""
        now = self._timers.now()
        return any(
            waiter.caller_waits_until > now
            for waiter in self._commits + self._refreshes
        )

    @property
    def had_waiting_caller(self) -> bool:
        """Whether a caller waits, or has waited, for a pending append."""
        return any(waiter.caller_waits_until > 0 for waiter in self._commits)

    @property
    def is_idle(self) -> bool:
        """Whether no call is under way or pending."""
        return not (self._is_step_open or self._commits or self._refreshes)

    def commit(
        self,
        entry: keyedlog.LogEntry,
        timeout: float,
        on_done: Callable[[Any], None],
        on_error: Callable[[errors.HistoryError], None],
        caller_wait: float = 0.0,
    ) -> None:
        """Append an entry; call ``on_done`` with the fold.

        The fold includes the entry if the partition is ordered.

        Parameters
        ----------
        timeout : float
            Seconds after which to give up; the entry may be appended
            nevertheless. A timeout that is short enough for a caller to wait
            for it also has a pending retry expedited.
        caller_wait : float
            Seconds for which a caller waits, if the timeout is longer.
        """
        waiter = _Waiter(entry, on_done, on_error)
        self._wait(self._commits, waiter, timeout, caller_wait)

    def refresh(
        self,
        timeout: float,
        on_done: Callable[[Any], None],
        on_error: Callable[[errors.HistoryError], None],
    ) -> None:
        """Fold all records that are in the partition now."""
        waiter = _Waiter(None, on_done, on_error)
        self._wait(self._refreshes, waiter, timeout)

    # -- own ------------------------------------------------------------------

    def _wait(
        self,
        waiters: list[_Waiter],
        waiter: _Waiter,
        timeout: float,
        caller_wait: float = 0.0,
    ) -> None:
        waiters.append(waiter)
        waiter.expiry = self._timers.call_later(
            timeout, self._expire, waiters, waiter
        )
        if timeout <= MAX_CALLER_WAIT_SECONDS:
            caller_wait = timeout
        if caller_wait:
            waiter.caller_waits_until = self._timers.now() + caller_wait
        self._start_step()
        if caller_wait:
            self.expedite_retry()

    def _expire(self, waiters: list[_Waiter], waiter: _Waiter) -> None:
        if waiter in waiters:
            waiters.remove(waiter)
            waiter.on_error(errors.JournalUnavailable("timeout"))

    def _release(self, waiters: list[_Waiter], done: list[_Waiter]) -> None:
        try:
            for waiter in done:
                if waiter in waiters:
                    waiters.remove(waiter)
                    waiter.expiry.cancel()
                    waiter.on_done(self.fold)
        finally:
            self._end_step()

    def _start_step(self) -> None:
        self.last_used_at = self._timers.now()
        if self._is_step_open:
            return
        if self._commits:
            self._is_step_open = True
            self._reachability.note_call()
            self._sent_at = self.last_used_at
            self._append()
        elif self._refreshes:
            self._is_step_open = True
            self._reachability.note_call()
            waiting = self._refreshes[:]
            self._read_to(
                None, lambda: self._release(self._refreshes, waiting)
            )

    def _append(self) -> None:
        entries = [commit.entry for commit in self._commits]
        count = size_limits.first_batch_length(entries, self._call_bytes)
        hedged_append.HedgedAppend(
            functools.partial(self._log.append, self._place, entries[:count]),
            self._timers,
            self._log_health.resend_pauses,
            lambda: self._reachability.may_resend,
            functools.partial(self._appended, self._commits[:count]),
            self._not_appended,
        ).start()

    def _appended(
        self, commits: list[_Waiter], first: int, seconds: float
    ) -> None:
        """Handle the answer that a batch is in the log."""
        self._note_success()
        self._log_health.note_append(seconds)
        self._sent_at = math.inf
        end = first + len(commits)
        if (
            self.next_offset is None
            and first == 0
            or self.next_offset == first
        ):
            for commit in commits:
                self.fold.apply(commit.entry.value)
            self.next_offset = end
            self._release(self._commits, commits)
        elif not self._is_ordered:
            self._release(self._commits, commits)
        else:
            self._read_to(end, lambda: self._release(self._commits, commits))

    def _not_appended(self, error: keyedlog.KeyedLogError) -> None:
        """Handle a failed append; schedule its retry."""
        self._note_failure("append failed", error)
        self._sent_at = math.inf
        is_busy = isinstance(error, keyedlog.LogBusy)
        self._retry_after_pause(
            self._end_step, BUSY_RETRY_SECONDS if is_busy else 0.0
        )

    def schedule_retry(self, seconds: float) -> None:
        """Schedule the pending retry after so many seconds, not before."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._retry_at = self._timers.now() + seconds
        self._retry_timer = self._timers.call_later(seconds, self._retry_now)

    def expedite_retry(self) -> None:
        """Retry before the allotted slot if the log answers again.

        The slots are for retries that no caller waits for: a turn timed out
        before its slot while the log answered other calls.
        """
        if self._retry is None or not self._reachability.can_expedite_retry:
            return
        pause = self._reachability.caller_retry_pause
        if self._timers.now() + pause < self._retry_at:
            self.schedule_retry(pause)

    def _retry_now(self) -> None:
        retry, self._retry = self._retry, None
        if retry is not None:
            self._reachability.note_call()
            retry()

    def _retry_after_pause(
        self, function: Callable[[], None], minimum: float = 0.0
    ) -> None:
        # With the pause alone, many partitions retried in each second.
        self._retry = function
        self.schedule_retry(
            self._pace_retry(self._reachability.next_pause(minimum))
        )

    def _note_success(self) -> None:
        if self._reachability.note_success():
            self._on_recovered()

    def _note_failure(self, text: str, error: keyedlog.KeyedLogError) -> None:
        """Note a failed call; log the first in a row if the call was made."""
        if isinstance(error, keyedlog.LogBusy):
            self._reachability.note_throttled()
            return
        is_first = not self._reachability.has_failed
        if is_first and not isinstance(error, keyedlog.LogDown):
            extra = {"place": str(self._place), "reason": str(error)}
            LOG.info(text, extra=extra)
        self._reachability.note_failure()

    def _end_step(self) -> None:
        self._is_step_open = False
        self._start_step()

    # -- reading --------------------------------------------------------------

    def _read_to(self, end: int | None, on_read: Callable[[], None]) -> None:
        """Read until ``end``, or until the partition's end as of now."""

        def on_page(page: keyedlog.LogPage) -> None:
            self._note_success()
            for entry in page.entries:
                self.fold.apply(entry.value)
            self.next_offset = page.next
            target = page.end if end is None else end
            if self.next_offset >= target:
                on_read()
            else:
                self._read_to(target, on_read)

        def on_error(error: keyedlog.KeyedLogError) -> None:
            if isinstance(error, keyedlog.LogExpired):
                self._read_newest(end, on_read)
            else:
                self._read_failed(error, end, on_read)

        self._log.read(self._place, self.next_offset or 0, on_page, on_error)

    def _read_newest(self, end: int | None, on_read: Callable) -> None:
        def on_page(page: keyedlog.LogPage) -> None:
            # Compaction may have dropped records before those that are left,
            # so nothing may be decided by their order.
            self.fold = self._fold_type()
            for entry in page.entries:
                self.fold.apply(entry.value, is_ordered=False)
            self.next_offset = page.next
            self._read_to(end, on_read)

        self._log.read_newest(
            self._place,
            on_page,
            lambda error: self._read_failed(error, end, on_read),
        )

    def _read_failed(self, error, end, on_read) -> None:
        self._note_failure("read failed", error)
        if self._commits or self._refreshes:
            self._retry_after_pause(lambda: self._read_to(end, on_read))
        else:
            self._timers.call_later(0, self._end_step)
