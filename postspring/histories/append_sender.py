"""Sends batches of a partition's pending appends, few at the same time."""

from collections.abc import Callable
from collections.abc import Sequence
import functools

from postspring.histories import append_timing
from postspring.histories import hedged_append
from postspring.histories import partition_reader
from postspring.histories import reachability
from postspring.histories import size_limits
from postspring.histories import waiters
from postspring import keyedlog
from postspring.transport import timers as timers_module

__all__ = ["MAX_UNDER_WAY", "AppendSender", "Commits", "OnFailed"]

# Most appends of one VM to a partition under way at the same time if the log
# is slow: the opening of a turn that no longer waits for it, that of a turn of
# another program, and the end of a turn.  Each takes a place in the
# partition's queue, so this is not for partitions that all programs share.
MAX_UNDER_WAY = 3

Commits = list[waiters.Waiter]
OnFailed = Callable[[Commits, keyedlog.KeyedLogError], None]


class AppendSender:
    """Sends batches of pending appends to one partition.

    Parameters
    ==========

    reader : PartitionReader
        Reads the partition, to look up a batch that is late.
    log_health : LogHealth
        State of the log, by the calls to all partitions.
    call_bytes : int
        Most bytes of one call.
    max_under_way : int
        Most batches under way if the log is slow; otherwise one is.
    """

    def __init__(
        self,
        log: keyedlog.KeyedLog,
        timers: timers_module.Timers,
        place: keyedlog.LogPlace,
        reader: partition_reader.PartitionReader,
        log_health: reachability.LogHealth,
        call_bytes: int,
        max_under_way: int,
    ):
        self._log = log
        self._timers = timers
        self._place = place
        self._reader = reader
        self._log_health = log_health
        self._call_bytes = call_bytes
        self._max_under_way = max_under_way
        self.timing = append_timing.AppendTiming(timers, log_health)

    @property
    def may_send(self) -> bool:
        """Whether one more batch may be sent now."""
        limit = self._max_under_way if self._log_health.is_slow else 1
        return self.timing.under_way < limit

    def send(
        self,
        pending: Commits,
        on_appended: Callable[[Commits, int], None],
        on_found: Callable[[Commits], None],
        on_failed: OnFailed,
    ) -> None:
        """Send the first pending entries that fit one call.

        Parameters
        ----------
        on_appended : callable
            Called with the batch and the offset of its first entry.
        on_found : callable
            Called instead if the batch was found in the log.
        on_failed : callable
            Called instead with the batch and the error.
        """
        entries = [commit.entry for commit in pending]
        count = size_limits.first_batch_length(entries, self._call_bytes)
        commits, entries = pending[:count], entries[:count]
        for commit in commits:
            commit.is_sent = True
        sent_at = self.timing.start()

        def appended(first: int, seconds: float) -> None:
            self.timing.note_answer(sent_at, seconds)
            on_appended(commits, first)

        def found() -> None:
            self.timing.end(sent_at)
            on_found(commits)

        def failed(error: keyedlog.KeyedLogError) -> None:
            self._note_failure(commits, sent_at, error)
            on_failed(commits, error)

        hedged_append.HedgedAppend(
            functools.partial(self._log.append, self._place, entries),
            self._timers,
            self._log_health,
            lambda: self.timing.is_fast,
            functools.partial(
                self._look_up, set(entries), self._reader.known_end
            ),
            appended,
            found,
            failed,
        ).start()

    # -- own ------------------------------------------------------------------

    def _note_failure(
        self, commits: Commits, sent_at: float, error: keyedlog.KeyedLogError
    ) -> None:
        if isinstance(error, keyedlog.LogLate):
            self.timing.note_late(sent_at)
        else:
            self.timing.end(sent_at)
        has_no_effect = isinstance(
            error, (keyedlog.LogBusy, keyedlog.LogDown, keyedlog.LogOverloaded)
        )
        for commit in commits:
            commit.is_sent = False
            commit.may_be_there |= not has_no_effect

    def _look_up(
        self,
        batch: set[keyedlog.LogEntry],
        start: int,
        on_done: Callable[[hedged_append.LookUp], None],
    ) -> None:
        """Report whether a batch is in the log, from an offset on."""
        if not self._log_health.needs_look_up:
            on_done(hedged_append.LookUp.UNKNOWN)
            return

        def on_entries(entries: Sequence[keyedlog.LogEntry]) -> None:
            self._log_health.note_answer()
            is_there = batch.issubset(entries)
            result = hedged_append.LookUp.ABSENT
            on_done(hedged_append.LookUp.FOUND if is_there else result)

        def on_error(error: keyedlog.KeyedLogError) -> None:
            # What has expired holds no record that was sent a moment ago.
            is_absent = isinstance(error, keyedlog.LogExpired)
            result = hedged_append.LookUp.UNKNOWN
            on_done(hedged_append.LookUp.ABSENT if is_absent else result)

        self._reader.look_up(start, on_entries, on_error)
