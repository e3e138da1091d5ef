"""One partition as this VM sees it: what it folded, what it appends.

Appends are not conditional.  The answer tells the offset; if others
appended in between, what they wrote is read and folded first, and the fold
says what counts.  With one VM at work on a partition that is one call.
"""

from collections.abc import Callable
import dataclasses
import functools
import logging
import math
from typing import Any

from postspring.histories import appending
from postspring.histories import errors
from postspring.histories import reachability
from postspring.histories import sizes
from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["Partition"]

LOG = logging.getLogger(__name__)

# Pause when the log is busy, in seconds: many VMs share its rate, and calls
# that come again at once would keep it busy.
BUSY_RETRY_SECONDS = 0.5
# A longer timeout than this keeps nobody waiting, in seconds: callers
# wait for some seconds, what has to be recorded can wait for minutes.
LONGEST_AWAITED_SECONDS = 30.0


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """Somebody who waits for an append, or for a read to the end."""

    entry: keyedlog.LogEntry | None
    on_done: Callable[[Any], None]
    on_error: Callable[[errors.HistoryError], None]
    expiry: timers_module.TimerHandle | None = None
    awaited_until: float = 0.0


class Partition:
    """Appends to a partition and folds it, one step at a time.

    Parameters
    ==========

    fold_type : type
        Makes the fold, anew when the records have to be read from the
        start.
    answers : LogAnswers
        What the calls of all partitions tell of the log.
    on_back : callable
        Called when a call succeeds after others have failed.
    is_ordered : bool
        What an entry comes to depends on those before it, so an append is
        done only when they are folded.  Otherwise it is done when it stands
        in the log, and what others wrote is read when somebody asks.
    spread : callable
        Makes of a pause the one after which this partition's turn comes.
    call_bytes : int
        Most that is sent in one call: a larger one is refused for good.
    """

    def __init__(
        self,
        log: keyedlog.KeyedLog,
        timers: timers_module.Timers,
        place: keyedlog.LogPlace,
        fold_type: type,
        answers: reachability.LogAnswers,
        on_back: Callable[[], None] = lambda: None,
        is_ordered: bool = True,
        spread: Callable[[float], float] = lambda seconds: seconds,
        call_bytes: int = sizes.Sizes().call,
    ):
        self._call_bytes = call_bytes
        self._spread = spread
        self._is_ordered = is_ordered
        self._on_back = on_back
        self._log = log
        self._timers = timers
        self._place = place
        self._fold_type = fold_type
        self.fold: Any = fold_type()
        self.end: int | None = None
        self.used_at = timers.now()
        self._commits: list[_Waiter] = []
        self._refreshes: list[_Waiter] = []
        self._busy = False
        self._answers = answers
        self._reach = reachability.Reachability(timers, answers)
        self._sent_at = math.inf
        self._retry: Callable[[], None] | None = None
        self._retry_at = math.inf
        self._retry_timer: timers_module.TimerHandle | None = None

    @property
    def is_away(self) -> bool:
        """Whether its last call failed, as far as known."""
        return self._reach.is_failing

    @property
    def is_failing(self) -> bool:
        """Whether it can't be reached, or has not answered for long."""
        waited = self._timers.now() - self._sent_at
        return self.is_away or waited > self._answers.slow_seconds

    @property
    def is_waiting(self) -> bool:
        """Whether something waits for its next try."""
        return self._retry is not None

    @property
    def is_awaited(self) -> bool:
        """Whether somebody waits for it now."""
        now = self._timers.now()
        return any(
            waiter.awaited_until > now
            for waiter in self._commits + self._refreshes
        )

    @property
    def was_awaited(self) -> bool:
        """Whether it holds something that a caller has relied on since."""
        return any(waiter.awaited_until > 0 for waiter in self._commits)

    @property
    def idle(self) -> bool:
        """Whether nobody waits for this partition."""
        return not (self._busy or self._commits or self._refreshes)

    def commit(
        self,
        entry: keyedlog.LogEntry,
        timeout: float,
        on_done: Callable[[Any], None],
        on_error: Callable[[errors.HistoryError], None],
        awaited: float = 0.0,
    ) -> None:
        """Append an entry; ``on_done`` gets the fold that includes it.

        Parameters
        ----------
        timeout : float
            Seconds after which to give up; the entry may be appended all
            the same.  With the timeout of somebody who waits now, it
            doesn't wait for its turn in the queue of retries.
        awaited : float
            Seconds for which somebody waits, if the timeout is longer.
        """
        waiter = _Waiter(entry, on_done, on_error)
        self._wait(self._commits, waiter, timeout, awaited)

    def refresh(
        self,
        timeout: float,
        on_done: Callable[[Any], None],
        on_error: Callable[[errors.HistoryError], None],
    ) -> None:
        """Fold all that is in the partition now."""
        waiter = _Waiter(None, on_done, on_error)
        self._wait(self._refreshes, waiter, timeout)

    # -- own ------------------------------------------------------------------

    def _wait(
        self,
        waiters: list[_Waiter],
        waiter: _Waiter,
        timeout: float,
        awaited: float = 0.0,
    ) -> None:
        waiters.append(waiter)
        waiter.expiry = self._timers.call_later(
            timeout, self._expire, waiters, waiter
        )
        if timeout <= LONGEST_AWAITED_SECONDS:
            awaited = timeout
        if awaited:
            waiter.awaited_until = self._timers.now() + awaited
        self._work()
        if awaited:
            self.hurry()

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
            self._go_on()

    def _work(self) -> None:
        self.used_at = self._timers.now()
        if self._busy:
            return
        if self._commits:
            self._busy = True
            self._reach.note_try()
            self._sent_at = self.used_at
            self._append()
        elif self._refreshes:
            self._busy = True
            self._reach.note_try()
            waiting = self._refreshes[:]
            self._read_to(
                None, lambda: self._release(self._refreshes, waiting)
            )

    def _append(self) -> None:
        entries = [commit.entry for commit in self._commits]
        count = sizes.first_batch(entries, self._call_bytes)
        appending.Append(
            functools.partial(self._log.append, self._place, entries[:count]),
            self._timers,
            self._answers.resend_seconds,
            lambda: self._reach.may_answer,
            functools.partial(self._appended, self._commits[:count]),
            self._not_appended,
        ).start()

    def _appended(
        self, commits: list[_Waiter], first: int, seconds: float
    ) -> None:
        """Take note that a batch stands in the log."""
        self._note_success()
        self._answers.note_append(seconds)
        self._sent_at = math.inf
        end = first + len(commits)
        if self.end is None and first == 0 or self.end == first:
            for commit in commits:
                self.fold.apply(commit.entry.value)
            self.end = end
            self._release(self._commits, commits)
        elif not self._is_ordered:
            self._release(self._commits, commits)
        else:
            self._read_to(end, lambda: self._release(self._commits, commits))

    def _not_appended(self, error: keyedlog.KeyedLogError) -> None:
        """Take note that a batch was not accepted; try again."""
        self._note_failure("append failed", error)
        self._sent_at = math.inf
        is_busy = isinstance(error, keyedlog.LogBusy)
        self._retry_later(self._go_on, BUSY_RETRY_SECONDS if is_busy else 0.0)

    def retry_in(self, seconds: float) -> None:
        """Do what waits for its next try after some time, and not before."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._retry_at = self._timers.now() + seconds
        self._retry_timer = self._timers.call_later(seconds, self._retry_now)

    def hurry(self) -> None:
        """Don't wait for a turn in the queue if the log is back.

        The queue is for what nobody waits for: a turn timed out in it while
        the log answered others.
        """
        if self._retry is None or not self._reach.is_unread:
            return
        pause = self._reach.awaited_pause
        if self._timers.now() + pause < self._retry_at:
            self.retry_in(pause)

    def _retry_now(self) -> None:
        retry, self._retry = self._retry, None
        if retry is not None:
            self._reach.note_try()
            retry()

    def _retry_later(
        self, function: Callable[[], None], least: float = 0.0
    ) -> None:
        # The pause alone let many partitions come again each second.
        self._retry = function
        self.retry_in(self._spread(self._reach.next_pause(least)))

    def _note_success(self) -> None:
        if self._reach.note_success():
            self._on_back()

    def _note_failure(self, text: str, error: keyedlog.KeyedLogError) -> None:
        """Log the first failure in a row, unless no call was made."""
        if isinstance(error, keyedlog.LogBusy):
            self._reach.note_busy()
            return
        is_first = not self._reach.has_failed
        if is_first and not isinstance(error, keyedlog.LogDown):
            extra = {"place": str(self._place), "reason": str(error)}
            LOG.info(text, extra=extra)
        self._reach.note_failure()

    def _go_on(self) -> None:
        self._busy = False
        self._work()

    # -- reading --------------------------------------------------------------

    def _read_to(self, end: int | None, then: Callable[[], None]) -> None:
        """Read until ``end``, or until the partition's end as of now."""

        def on_page(page: keyedlog.LogPage) -> None:
            self._note_success()
            for entry in page.entries:
                self.fold.apply(entry.value)
            self.end = page.next
            target = page.end if end is None else end
            if self.end >= target:
                then()
            else:
                self._read_to(target, then)

        def on_error(error: keyedlog.KeyedLogError) -> None:
            if isinstance(error, keyedlog.LogExpired):
                self._read_newest(end, then)
            else:
                self._read_failed(error, end, then)

        self._log.read(self._place, self.end or 0, on_page, on_error)

    def _read_newest(self, end: int | None, then: Callable) -> None:
        def on_page(page: keyedlog.LogPage) -> None:
            # What stood before a record may have been dropped: nothing that
            # depends on the order may be concluded from what is left.
            self.fold = self._fold_type()
            for entry in page.entries:
                self.fold.apply(entry.value, is_ordered=False)
            self.end = page.next
            self._read_to(end, then)

        self._log.read_newest(
            self._place,
            on_page,
            lambda error: self._read_failed(error, end, then),
        )

    def _read_failed(self, error, end, then) -> None:
        self._note_failure("read failed", error)
        if self._commits or self._refreshes:
            self._retry_later(lambda: self._read_to(end, then))
        else:
            self._timers.call_later(0, self._go_on)
