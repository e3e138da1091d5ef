"""A keyed log in memory, with the faults that the platform's store has."""

from collections.abc import Sequence
import dataclasses

from postspring import keyedlog

__all__ = ["LogData", "LogFaults", "MemoryLog"]

LATENCY_SECONDS = 0.004


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
    late_appends : int
        So many appends fail now and are done ``late_seconds`` after.
    down_places : set
        Partitions that fail while the others work.
    busy : int
        So many calls are one too many.
    """

    down: bool = False
    silent: bool = False
    gives_up_after: float = 0.0
    lose_answers: int = 0
    late_appends: int = 0
    late_seconds: float = 3.0
    latency: float = LATENCY_SECONDS
    down_places: set = dataclasses.field(default_factory=set)
    busy: int = 0


class LogData:
    """What the log holds; many clients share it.

    ``expire`` forgets the history and keeps the newest record of each key.
    """

    def __init__(self):
        self.records_by_place: dict[
            keyedlog.LogPlace, list[keyedlog.LogEntry]
        ] = {}
        self.first_by_place: dict[keyedlog.LogPlace, int] = {}

    def append(
        self,
        place: keyedlog.LogPlace,
        entries: Sequence[keyedlog.LogEntry],
    ) -> int:
        """Add records; return the first one's offset."""
        records = self.records_by_place.setdefault(place, [])
        records.extend(entries)
        return len(records) - len(entries)

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
    """

    def __init__(self, data: LogData, timers):
        self.data = data
        self.faults = LogFaults()
        self.calls: list[str] = []
        self._timers = timers

    def append(self, place, entries, on_done, on_error) -> None:
        """Append records, or what the faults make of it."""
        self.calls.append("append")
        faults = self.faults
        if self._fails(place, on_error):
            return
        if faults.late_appends:
            faults.late_appends -= 1
            self._timers.call_later(
                faults.late_seconds, self.data.append, place, list(entries)
            )
            self._fail(on_error)
            return
        first = self.data.append(place, entries)
        if faults.lose_answers:
            faults.lose_answers -= 1
            self._give_up(on_error)
            return
        self._timers.call_later(faults.latency, on_done, first)

    def read(self, place, start, on_page, on_error, wait=0.0) -> None:
        """Read records from an offset."""
        self.calls.append("read")
        if self._fails(place, on_error):
            return
        if start < self.data.first_by_place.get(place, 0):
            error = keyedlog.LogExpired("expired")
            self._timers.call_later(self.faults.latency, on_error, error)
            return
        records = self.data.records_by_place.get(place, [])
        entries = records[start:]
        delay = self.faults.latency if entries else wait
        page = keyedlog.LogPage(entries, start + len(entries), len(records))
        self._timers.call_later(max(delay, self.faults.latency), on_page, page)

    def read_newest(self, place, on_page, on_error) -> None:
        """Read the newest record of each key."""
        self.calls.append("newest")
        if self._fails(place, on_error):
            return
        entries = [entry for offset, entry in self.data.newest(place)]
        end = len(self.data.records_by_place.get(place, ()))
        page = keyedlog.LogPage(entries, end, end)
        self._timers.call_later(self.faults.latency, on_page, page)

    def _fails(self, place, on_error) -> bool:
        if self.faults.silent:
            self._give_up(on_error)
            return True
        if self.faults.down or place in self.faults.down_places:
            self._fail(on_error)
            return True
        if self.faults.busy:
            self.faults.busy -= 1
            self._fail(on_error, keyedlog.LogBusy("busy"))
            return True
        return False

    def _give_up(self, on_error) -> None:
        """Let the client give up a call without an answer, if it does."""
        if self.faults.gives_up_after:
            error = keyedlog.LogUnavailable("no_answer")
            seconds = self.faults.gives_up_after
            self._timers.call_later(seconds, on_error, error)

    def _fail(self, on_error, error=None) -> None:
        error = error or keyedlog.LogUnavailable("down")
        self._timers.call_later(self.faults.latency, on_error, error)
