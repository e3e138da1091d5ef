"""One partition as this VM sees it: its fold, and appends to it.

Appends are not conditional. The answer holds the offset; if other VMs have
appended in between, their records are read and folded first, and the fold
decides what counts. While one VM alone appends to a partition, that takes one
call.
"""

from collections.abc import Callable
from collections.abc import Sequence
import logging
from typing import Any

from postspring.histories import append_sender
from postspring.histories import errors
from postspring.histories import partition_reader
from postspring.histories import pending_retry
from postspring.histories import reachability
from postspring.histories import size_limits
from postspring.histories import waiters
from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["Partition"]

LOG = logging.getLogger(__name__)

# Pause when the log rejects a call as beyond its rate, in seconds: many VMs
# share the rate, and immediate retries would keep exceeding it.
BUSY_RETRY_SECONDS = 0.5


class Partition:
    """Appends to a partition and folds it, one step at a time.

    Beside a step of a slow log, some appends that callers wait for are sent.

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
        self._is_ordered = is_ordered
        self._on_recovered = on_recovered
        self._timers = timers
        self._place = place
        self._reader = partition_reader.PartitionReader(
            log, place, fold_type, self._entries_read
        )
        self.last_used_at = timers.now()
        self._commits = waiters.Waiters(timers)
        self._refreshes = waiters.Waiters(timers)
        self._is_step_open = False
        self._log_health = log_health
        self._reachability = reachability.Reachability(timers, log_health)
        self._sender = append_sender.AppendSender(
            log,
            timers,
            place,
            self._reader,
            log_health,
            call_bytes,
            append_sender.MAX_UNDER_WAY if is_ordered else 1,
        )
        self._timing = self._sender.timing
        self._pause_due: float | None = None
        self._retry = pending_retry.PendingRetry(
            timers, self._reachability, pace_retry
        )

    @property
    def fold(self) -> Any:
        """What the records that were read add up to."""
        return self._reader.fold

    @property
    def is_unavailable(self) -> bool:
        """Whether the partition fails, as far as known."""
        return self._reachability.is_unavailable

    @property
    def is_unresponsive(self) -> bool:
        """Whether it is unavailable, or an append has no answer for long."""
        return self.is_unavailable or self._timing.is_late

    @property
    def should_record_elsewhere(self) -> bool:
        """Whether another VM may append sooner what waits here."""
        return self.is_unavailable or self._timing.may_be_sooner_elsewhere

    @property
    def is_waiting(self) -> bool:
        """Whether a retry is scheduled."""
        return self._retry.is_waiting

    @property
    def has_waiting_caller(self) -> bool:
        """Whether a caller waits for it now."""
        return (
            self._commits.has_waiting_caller
            or self._refreshes.has_waiting_caller
        )

    @property
    def had_waiting_caller(self) -> bool:
        """Whether a caller waits, or has waited, for a pending append."""
        return self._commits.had_waiting_caller

    @property
    def is_idle(self) -> bool:
        """Whether no call is under way or pending."""
        is_calling = self._is_step_open or self._timing.under_way
        return not (is_calling or self._commits or self._refreshes)

    def commit(
        self,
        entry: keyedlog.LogEntry,
        timeout: float,
        on_done: Callable[[Any], None],
        on_error: Callable[[errors.HistoryError], None],
        caller_wait: float = 0.0,
        may_be_there: bool = False,
        on_appended: Callable[[], None] = lambda: None,
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
        may_be_there : bool
            Whether another VM may have appended it.
        on_appended : callable
            Called once the entry is in the log, before it is folded.
        """
        waiter = waiters.Waiter(
            entry, on_done, on_error, may_be_there, on_appended
        )
        self._start(self._commits.add(waiter, timeout, caller_wait))

    def refresh(
        self,
        timeout: float,
        on_done: Callable[[Any], None],
        on_error: Callable[[errors.HistoryError], None],
    ) -> None:
        """Fold all records that are in the partition now."""
        waiter = waiters.Waiter(None, on_done, on_error)
        self._start(self._refreshes.add(waiter, timeout))

    # -- own ------------------------------------------------------------------

    def _start(self, has_caller: bool) -> None:
        self._start_step()
        if has_caller:
            self.expedite_retry()

    def _release(
        self, pending: waiters.Waiters, done: append_sender.Commits
    ) -> None:
        try:
            pending.complete(done, self.fold)
        finally:
            self._end_step()

    def _start_step(self) -> None:
        self.last_used_at = self._timers.now()
        if not self._is_step_open:
            self._open_step()
        self._send_more()

    def _open_step(self) -> None:
        unfolded = self._commits.unfolded
        if unfolded:
            self._begin_step()
            self._read_to(None, lambda: self._release(self._commits, unfolded))
        elif self._commits.unsent and self._sender.may_send:
            self._begin_step()
            self._append()
        elif self._refreshes:
            self._begin_step()
            waiting = self._refreshes[:]
            self._read_to(
                None, lambda: self._release(self._refreshes, waiting)
            )

    def _begin_step(self) -> None:
        self._is_step_open = True
        self._reachability.note_call()

    def _send_more(self) -> None:
        """Send what a caller waits for beside a step of a slow log.

        It would wait for the whole answer of an append or a read, and then for
        its own.  What may stand in the log is looked up in a step.
        """
        is_slow = self._log_health.is_slow and self._reachability.has_succeeded
        waiting = self._commits.unsent
        pending = [commit for commit in waiting if not commit.may_be_there]
        may_send = is_slow and self._sender.may_send
        if may_send and pending and waiting.has_waiting_caller:
            self._send(pending, self._start_step, self._not_appended_beside)

    def _append(self) -> None:
        """Append what waits, but for entries that the log has already."""
        doubtful = [
            commit for commit in self._commits.unsent if commit.may_be_there
        ]
        if not doubtful:
            self._send_batch()
        elif self._is_ordered:
            self._read_to(None, lambda: self._append_missing(doubtful))
        else:
            # Other VMs' entries need not be folded for that.
            self._reader.look_up(
                self._reader.known_end,
                lambda entries: self._found_some(entries, doubtful),
                lambda error: self._append_missing(doubtful),
            )

    def _found_some(
        self,
        entries: Sequence[keyedlog.LogEntry],
        doubtful: append_sender.Commits,
    ) -> None:
        self._entries_read(entries)
        self._append_missing(doubtful)

    def _append_missing(self, doubtful: append_sender.Commits) -> None:
        for commit in doubtful:
            commit.may_be_there = False
        if self._commits.unsent and self._sender.may_send:
            self._send_batch()
        else:
            self._end_step()

    def _send_batch(self) -> None:
        self._send(self._commits.unsent, self._end_step, self._not_appended)

    def _send(
        self,
        pending: append_sender.Commits,
        on_done: Callable[[], None],
        on_failed: append_sender.OnFailed,
    ) -> None:
        def appended(commits: append_sender.Commits, first: int) -> None:
            entries = [commit.entry for commit in commits]
            is_folded = self._reader.add_appended(first, entries)
            self._note_appended(commits, is_folded, on_done)

        def found(commits: append_sender.Commits) -> None:
            self._note_appended(commits, False, on_done)

        self._sender.send(pending, appended, found, on_failed)

    def _note_appended(
        self,
        commits: append_sender.Commits,
        is_folded: bool,
        on_done: Callable[[], None],
    ) -> None:
        """Handle that a batch is in the log; one not folded is read next."""
        self._note_success()
        try:
            self._commits.note_appended(commits)
            if is_folded or not self._is_ordered:
                self._commits.complete(commits, self.fold)
        finally:
            on_done()

    def _not_appended(
        self, commits: append_sender.Commits, error: keyedlog.KeyedLogError
    ) -> None:
        """Handle a failed append; schedule its retry."""
        self._note_failure("append failed", error)
        self._retry.start(self._end_step, self._pause_after(error))

    def _not_appended_beside(
        self, commits: append_sender.Commits, error: keyedlog.KeyedLogError
    ) -> None:
        """Handle the same for a batch that was sent beside a step."""
        self._note_failure("append failed", error)
        if self.is_waiting:
            # The pause before the next call has begun.
            return
        self._pause_due = self._pause_after(error)
        if not self._is_step_open:
            self._is_step_open = True
            self._end_step()

    def _pause_after(self, error: keyedlog.KeyedLogError) -> float:
        """Return the least pause after a failed append, in seconds."""
        is_busy = isinstance(error, keyedlog.LogBusy) or (
            isinstance(error, keyedlog.LogLate) and not self._timing.is_fast
        )
        return BUSY_RETRY_SECONDS if is_busy else 0.0

    def schedule_retry(self, seconds: float) -> None:
        """Schedule the pending retry after so many seconds, not before."""
        self._retry.schedule(seconds)

    def expedite_retry(self) -> None:
        """Retry before the allotted slot if the log answers again."""
        self._retry.expedite()

    def _note_success(self) -> None:
        if self._reachability.note_success():
            self._on_recovered()

    def _note_failure(self, text: str, error: keyedlog.KeyedLogError) -> None:
        """Note a failed call; log the first in a row if the call was made."""
        if isinstance(error, (keyedlog.LogBusy, keyedlog.LogLate)):
            self._reachability.note_throttled()
            return
        is_first = not self._reachability.has_failed
        if is_first and not isinstance(error, keyedlog.LogDown):
            extra = {"place": str(self._place), "reason": str(error)}
            LOG.info(text, extra=extra)
        self._reachability.note_failure()

    def _end_step(self) -> None:
        pause, self._pause_due = self._pause_due, None
        if pause is not None:
            self._retry.start(self._end_step, pause)
            return
        self._is_step_open = False
        self._start_step()

    # -- reading --------------------------------------------------------------

    def _entries_read(self, entries: Sequence[keyedlog.LogEntry]) -> None:
        self._note_success()
        self._commits.complete_found(entries, self.fold)

    def _read_to(self, end: int | None, on_read: Callable[[], None]) -> None:
        """Read until ``end``, or until the partition's end as of now."""
        self._reader.read_to(
            end,
            on_read,
            lambda error: self._read_failed(error, end, on_read),
        )

    def _read_failed(
        self,
        error: keyedlog.KeyedLogError,
        end: int | None,
        on_read: Callable[[], None],
    ) -> None:
        self._note_failure("read failed", error)
        if self._commits or self._refreshes:
            self._retry.start(lambda: self._read_to(end, on_read))
        else:
            self._timers.call_later(0, self._end_step)
