"""Upstreams that leave and come back as new ones, and what is judged of it."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import random
from typing import TextIO

from postspring import keyedlog
from postspring.testing.soak import events as events_module
from postspring.testing.soak import records
from postspring.testing.soak import world as world_module

__all__ = ["Beats", "EntryLeases", "Leave", "late_runs"]

PLACE = keyedlog.LogPlace(keyedlog.Subject.UPSTREAMS, 0)
RETRY_SECONDS = 0.3
# An entry lapses after so many heartbeats of silence.
HEARTBEATS_TO_LAPSE = 3
LEASE_TICK_SECONDS = 0.1
# An upstream that leaves serves for the bound, and for this much longer.
LINGER_SECONDS = (0.5, 4.0)
# Share of those that leave without saying so: their entry is removed.
UNTOLD_SHARE = 0.3


@dataclasses.dataclass(slots=True)
class Leave:
    """An upstream that leaves; monotonic seconds.

    Parameters
    ==========

    said_at : float
        When it first told the store.
    acknowledged_at : float
        When the store's answer had come.
    """

    id: str
    said_at: float
    acknowledged_at: float


class Beats:
    """Writes an upstream's entry, and lets it leave now and then.

    Parameters
    ==========

    upstream : SoakUpstream
        Gets a new id when it comes back.
    mean : float
        Seconds after which it leaves, in the mean; 0 for never.
    lines : file
        Takes a line for each time that it leaves.
    """

    def __init__(
        self, timers, store, upstream, mean: float, lines: TextIO, seed: int
    ):
        self._timers = timers
        self._store = store
        self._upstream = upstream
        self._mean = mean
        self._lines = lines
        self._draw = random.Random(f"{seed} leaves {upstream.id}")
        self._under_way = 0
        self._is_leaving = False
        self._starts = 1

    def start(self) -> None:
        """Begin to write, and to leave."""
        self._plan_leave()
        self._timers.call_every(world_module.HEARTBEAT_SECONDS, self._beat)
        self._beat()

    def _plan_leave(self) -> None:
        if self._mean:
            seconds = self._draw.expovariate(1 / self._mean)
            self._timers.call_later(seconds, self._leave)

    def _beat(self) -> None:
        if not self._is_leaving:
            self._write(self._upstream.fresh_entry())

    def _write(self, value: bytes, on_end=lambda is_done: None) -> None:
        entry = keyedlog.LogEntry(self._upstream.id, value)
        self._under_way += 1

        def ended(is_done: bool) -> None:
            self._under_way -= 1
            on_end(is_done)

        self._store.append(
            PLACE,
            [entry],
            lambda first: ended(True),
            lambda error: ended(False),
        )

    def _leave(self) -> None:
        self._is_leaving = True
        is_told = self._draw.random() >= UNTOLD_SHARE
        value = self._upstream.fresh_entry("draining") if is_told else b""
        self._say(value, self._timers.now())

    def _say(self, value: bytes, said_at: float) -> None:
        """Tell the store, once no heartbeat can come behind it."""
        if self._under_way:
            self._timers.call_later(RETRY_SECONDS, self._say, value, said_at)
            return

        def said(is_done: bool) -> None:
            if is_done:
                self._acknowledged(said_at)
            else:
                self._timers.call_later(
                    RETRY_SECONDS, self._say, value, said_at
                )

        self._write(value, said)

    def _acknowledged(self, said_at: float) -> None:
        leave = Leave(self._upstream.id, said_at, self._timers.now())
        records.write_record(self._lines, leave)
        drain = world_module.BOUNDS["drain_ms"] / 1000
        seconds = drain + self._draw.uniform(*LINGER_SECONDS)
        self._timers.call_later(seconds, self._come_back)

    def crash(self, seconds: float) -> None:
        """Be silent for some time, and come back as another start."""
        self._is_leaving = True
        self._timers.call_later(seconds, self._start_again)

    def _start_again(self) -> None:
        self._upstream.restart()
        self._come_back()

    def _come_back(self) -> None:
        """Be another start of the upstream, under an id of its own."""
        self._write(b"")
        self._starts += 1
        self._upstream.id = f"{self._upstream.place.id}.{self._starts}"
        self._is_leaving = False
        self._beat()
        self._plan_leave()


class EntryLeases:
    """Lets the entries of upstreams lapse that have fallen silent.

    Parameters
    ==========

    topic : str
        Where the entries stand.
    service : StoreService
        Holds them.
    """

    def __init__(self, timers, topic: str, service):
        self._timers = timers
        self._topic = topic
        self._service = service
        self._read = 0
        self._written_at_by_key: dict[str, float] = {}

    def start(self) -> None:
        """Begin to look."""
        self._timers.call_every(LEASE_TICK_SECONDS, self._look)

    def _look(self) -> None:
        place = (self._topic, 0)
        records_there = self._service.data.records_by_place.get(place, [])
        now = self._timers.now()
        for entry in records_there[self._read :]:
            if entry.value:
                self._written_at_by_key[entry.key] = now
            else:
                self._written_at_by_key.pop(entry.key, None)
        self._read = len(records_there)
        longest = HEARTBEATS_TO_LAPSE * world_module.HEARTBEAT_SECONDS
        for key, written_at in list(self._written_at_by_key.items()):
            if now - written_at > longest:
                del self._written_at_by_key[key]
                self._service.put(self._topic, key, None)


def late_runs(
    leaves: Iterable[Leave],
    runs: Iterable[records.Run],
    history: events_module.History,
    drain: float,
) -> Iterator[tuple[records.Run, float]]:
    """Return runs at upstreams that left, with how late they were.

    Not counted are those before which anything unplanned went on since the
    acknowledgement: a VM that the store does not answer can't know of it.

    Parameters
    ----------
    drain : float
        Seconds that VMs have to leave the upstream alone.
    """
    left_at = {leave.id: leave.acknowledged_at for leave in leaves}
    for run in runs:
        if not run.ran or run.upstream not in left_at:
            continue
        acknowledged_at = left_at[run.upstream]
        late = run.began - acknowledged_at
        if late > drain and not history.is_disturbed(
            acknowledged_at, run.began, stability=0.0
        ):
            yield run, late
