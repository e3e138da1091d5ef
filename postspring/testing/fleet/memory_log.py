"""A keyed log in memory, with the faults that the platform's store has."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math
import random

from postspring import keyedlog

__all__ = ["LogData", "LogFaults", "MemoryLog"]

LATENCY_SECONDS = 0.004
# A partition rejects appends while more than this is waiting, in seconds.
MAX_QUEUE_SECONDS = 2.0


@dataclasses.dataclass(slots=True)
class LogFaults:
    """What goes wrong; times in seconds, counts are used up.

    Parameters
    ==========

    down : bool
        Calls fail and nothing is done.
    silent : bool
        Calls are neither done nor answered.
    gives_up_after : float
        Seconds after which the client gives up a call without an answer;
        0 for never.
    lose_answers : int
        So many appends are done and not answered.
    lost_share : float
        This share of the appends is not answered, and done
        ``lost_seconds`` (from, to) after.
    late_appends : int
        So many appends fail now and are done ``late_seconds`` after.
    down_places : set
        Partitions that fail while the others work.
    busy : int
        So many calls are one too many.
    busy_places : set
        Partitions of which every call is one too many.
    """

    down: bool = False
    silent: bool = False
    gives_up_after: float = 0.0
    lose_answers: int = 0
    lost_share: float = 0.0
    lost_seconds: tuple[float, float] = (1.0, 6.0)
    late_appends: int = 0
    late_seconds: float = 3.0
    latency: float = LATENCY_SECONDS
    down_places: set = dataclasses.field(default_factory=set)
    busy: int = 0
    busy_places: set = dataclasses.field(default_factory=set)


class LogData:
    """What the log holds; many clients share it.

    ``expire`` forgets the history and keeps the newest record of each key.

    Parameters
    ==========

    writes, reads : float
        Calls a second that it takes from all clients together.

    Attributes
    ==========

    append_seconds : float
        Duration of an append; a partition does one at a time.
    offered : list of (float, LogPlace, tuple of str)
        Time, partition and keys of each append that a client sent.
    """

    def __init__(self, writes: float = math.inf, reads: float = math.inf):
        self.writes = writes
        self.reads = reads
        self.append_seconds = 0.0
        self.offered: list[
            tuple[float, keyedlog.LogPlace, tuple[str, ...]]
        ] = []
        self._free_at: dict[keyedlog.LogPlace, float] = {}
        self.called_at: list[float] = []
        self._taken: dict[tuple[bool, int], int] = {}
        self.records_by_place: dict[
            keyedlog.LogPlace, list[keyedlog.LogEntry]
        ] = {}
        self.first_by_place: dict[keyedlog.LogPlace, int] = {}
        self.waiting_by_place: dict[keyedlog.LogPlace, list[Callable]] = {}

    def append(
        self,
        place: keyedlog.LogPlace,
        entries: Sequence[keyedlog.LogEntry],
    ) -> int:
        """Add records; return the first one's offset."""
        records = self.records_by_place.setdefault(place, [])
        records.extend(entries)
        for function in self.waiting_by_place.pop(place, ()):
            function()
        return len(records) - len(entries)

    def takes_call(self, now: float, is_append: bool) -> bool:
        """Count a call; return whether it is within the rate.

        A second is counted in tenths, as a store that is evenly loaded.
        """
        self.called_at.append(now)
        slice_of_time = (is_append, int(now * 10))
        taken = self._taken.get(slice_of_time, 0)
        rate = self.writes if is_append else self.reads
        if taken >= rate / 10:
            return False
        self._taken[slice_of_time] = taken + 1
        return True

    def queue_seconds(self, place: keyedlog.LogPlace, now: float) -> float:
        """Return how long an append waits before the partition does it."""
        return max(0.0, self._free_at.get(place, 0.0) - now)

    def enqueue(self, place: keyedlog.LogPlace, now: float) -> float | None:
        """Queue an append; return its total seconds, None if rejected."""
        queue = self.queue_seconds(place, now)
        if queue > MAX_QUEUE_SECONDS:
            return None
        seconds = queue + self.append_seconds
        self._free_at[place] = now + seconds
        return seconds

    def wait(self, place: keyedlog.LogPlace, function: Callable) -> None:
        """Call a function when the next record is added."""
        self.waiting_by_place.setdefault(place, []).append(function)

    def expire(self, place: keyedlog.LogPlace) -> None:
        """Forget the history of a partition."""
        count = len(self.records_by_place.get(place, ()))
        self.first_by_place[place] = count

    def newest(
        self, place: keyedlog.LogPlace
    ) -> list[tuple[int, keyedlog.LogEntry]]:
        """Return offset and record of each key that was not dropped."""
        newest = {}
        for offset, entry in enumerate(self.records_by_place.get(place, ())):
            newest.pop(entry.key, None)
            if entry.value:
                newest[entry.key] = (offset, entry)
        return list(newest.values())


class MemoryLog(keyedlog.KeyedLog):
    """One client's view of the log.

    Parameters
    ==========

    timers : Timers
        Virtual or real ones.
    seed : int
        Decides which appends are not answered.
    """

    def __init__(self, data: LogData, timers, seed: int = 0):
        self.data = data
        self._random = random.Random(seed)
        self.faults = LogFaults()
        self.calls: list[str] = []
        self._timers = timers
        self._connection = 0

    def append(self, place, entries, on_done, on_error) -> None:
        """Append records, or what the faults make of it."""
        self.calls.append("append")
        faults = self.faults
        keys = tuple(entry.key for entry in entries)
        self.data.offered.append((self._timers.now(), place, keys))
        if self._fails(place, on_error, is_append=True):
            return
        if faults.late_appends:
            faults.late_appends -= 1
            self._timers.call_later(
                faults.late_seconds, self.data.append, place, list(entries)
            )
            self._fail(on_error)
            return
        if self._random.random() < faults.lost_share:
            seconds = self._random.uniform(*faults.lost_seconds)
            self._timers.call_later(
                seconds, self.data.append, place, list(entries)
            )
            self._give_up(on_error)
            return
        if self.data.append_seconds:
            self._append_slowly(place, entries, on_done, on_error)
            return
        self._append_now(place, entries, on_done, on_error)

    def _append_now(self, place, entries, on_done, on_error) -> None:
        first = self.data.append(place, entries)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            self._give_up(on_error)
            return
        self._timers.call_later(self.faults.latency, on_done, first)

    def _append_slowly(self, place, entries, on_done, on_error) -> None:
        """Append when the partition has done all that waits before."""
        seconds = self.data.enqueue(place, self._timers.now())
        if seconds is None:
            self._fail(on_error, keyedlog.LogOverloaded("status_503"))
            return
        gives_up_after = self.faults.gives_up_after
        is_late = 0 < gives_up_after < seconds + self.faults.latency
        if is_late:
            self._give_up(on_error)

        def append() -> None:
            if is_late:
                self.data.append(place, entries)
            else:
                self._append_now(place, entries, on_done, on_error)

        self._timers.call_later(seconds, append)

    def read(self, place, start, on_page, on_error, wait=0.0) -> None:
        """Read records from an offset."""
        self.calls.append("read")
        if self._fails(place, on_error):
            return
        if start < self.data.first_by_place.get(place, 0):
            error = keyedlog.LogExpired("expired")
            self._timers.call_later(self.faults.latency, on_error, error)
            return
        _Read(self, place, start, on_page, on_error, wait).start()

    def read_newest(self, place, on_page, on_error) -> None:
        """Read the newest record of each key."""
        self.calls.append("newest")
        if self._fails(place, on_error):
            return
        entries = [entry for offset, entry in self.data.newest(place)]
        end = len(self.data.records_by_place.get(place, ()))
        page = keyedlog.LogPage(entries, end, end)
        self._timers.call_later(self.faults.latency, on_page, page)

    def drop_under_way(self) -> None:
        """Never answer the calls under way; new ones are."""
        self._connection += 1

    def _fails(self, place, on_error, is_append=False) -> bool:
        if self._is_silent(on_error):
            return True
        if self.faults.down or place in self.faults.down_places:
            self._fail(on_error)
            return True
        if self.faults.busy or place in self.faults.busy_places:
            self.faults.busy = max(0, self.faults.busy - 1)
            self._fail(on_error, keyedlog.LogBusy("busy"))
            return True
        if not self.data.takes_call(self._timers.now(), is_append):
            self._fail(on_error, keyedlog.LogBusy("busy"))
            return True
        return False

    def _is_silent(self, on_error) -> bool:
        if self.faults.silent:
            self._give_up(on_error)
        return self.faults.silent

    def _give_up(self, on_error) -> None:
        """Let the client give up a call without an answer, if it does."""
        if self.faults.gives_up_after:
            error = keyedlog.LogUnavailable("no_answer")
            seconds = self.faults.gives_up_after
            self._timers.call_later(seconds, on_error, error)

    def _fail(self, on_error, error=None) -> None:
        error = error or keyedlog.LogUnavailable("down")
        self._timers.call_later(self.faults.latency, on_error, error)


class _Read:
    """A read that ends with the first record, or when its wait is over."""

    def __init__(self, log: MemoryLog, place, start, on_page, on_error, wait):
        self._log = log
        self._place = place
        self._from = start
        self._on_page = on_page
        self._on_error = on_error
        self._wait = wait
        self._connection = log._connection
        self._ended = False

    def start(self) -> None:
        """Answer at once if there is something, or wait."""
        records = self._log.data.records_by_place.get(self._place, [])
        if records[self._from :] or not self._wait:
            self._end()
            return
        self._log.data.wait(self._place, self._end)
        self._log._timers.call_later(self._wait, self._end)

    def _end(self) -> None:
        if self._ended:
            return
        self._ended = True
        if self._log._is_silent(self._on_error):
            return
        if self._connection != self._log._connection:
            return
        records = self._log.data.records_by_place.get(self._place, [])
        entries = records[self._from :]
        end = len(records)
        page = keyedlog.LogPage(
            entries,
            self._from + len(entries),
            end,
            0.0 if entries else self._wait,
        )
        self._log._timers.call_later(
            self._log.faults.latency, self._on_page, page
        )
