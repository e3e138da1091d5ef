"""The upstreams that announced themselves, by id and by service.

An upstream may start again under its id.  It holds and knows nothing of what
was before, so whatever a VM observed belongs to one incarnation of it: an id
and the time of a start.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import logging
import math
import random
from typing import NamedTuple
from typing import NewType

from postspring.upstreams import load as load_module

__all__ = [
    "Announcement",
    "Directory",
    "IncarnationId",
    "Upstream",
    "UpstreamId",
]

LOG = logging.getLogger(__name__)

UpstreamId = NewType("UpstreamId", str)
# One start of an upstream.
IncarnationId = NewType("IncarnationId", str)

# An upstream whose machine does not acknowledge is left alone for this
# long; when two of a data centre are, all of it is, in seconds.
UNREACHABLE_SECONDS = 1.5
UNREACHABLE_UPSTREAMS = 2
# How often one of them is tried all the same, in seconds.
PROBE_SECONDS = 0.5
# An entry of an earlier start that was written late changes nothing for this
# long after the last entry of a later one, in seconds.  Late writes take
# effect within 6 s; after that the later start is silent and the earlier one
# is not, which is what a clock that was set back looks like.
LATE_ENTRY_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an upstream says of itself.

    Parameters
    ==========

    address : tuple of (str, int)
        IP number and port; may be another upstream's later.
    slots : int
        Calls that it runs at once.
    leaving : bool
        It will exit soon and gets no more work.
    warm_up : float
        Seconds for which it stays slow after its start.
    born : int or None
        When it was started, in milliseconds of Unix time; None where starts
        are told apart by their ids.
    """

    id: UpstreamId
    service: str
    address: tuple[str, int]
    data_center: str = ""
    slots: int = 1
    leaving: bool = False
    warm_up: float = 0.0
    born: int | None = None


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Upstream(load_module.UpstreamLoad):
    """One start of an upstream: what it announced, what was observed.

    Parameters
    ==========

    missing_until : float
        It has no entry any more, and may be alive all the same: until then
        it gets new work; without end while it has one.  Seconds.
    unreadable : bool
        Its entry is none that it can have written: it gets no new work.

    Examples
    ========

    >>> def make(born):
    ...     return Upstream(
    ...         id=UpstreamId("u"),
    ...         service="s",
    ...         address=("10.0.0.1", 80),
    ...         data_center="",
    ...         concurrency=1,
    ...         born=born,
    ...     )
    >>> make(None).incarnation, make(17).incarnation
    ('u', 'u@17')
    """

    id: UpstreamId
    service: str
    address: tuple[str, int]
    data_center: str
    warm_at: float = 0.0
    unreachable_at: float = -math.inf
    born: int | None = None
    missing_until: float = math.inf
    unreadable: bool = False

    @property
    def incarnation(self) -> IncarnationId:
        """What places and loads are known by; no other start has it."""
        if self.born is None:
            return IncarnationId(self.id)
        return IncarnationId(f"{self.id}@{self.born}")

    @property
    def has_entry(self) -> bool:
        """Whether the log has an entry of it, as far as is known here."""
        return self.missing_until == math.inf

    def is_gone(self, now: float) -> bool:
        """Return whether it has had no entry for too long."""
        return now >= self.missing_until

    def is_unreachable(self, now: float) -> bool:
        """Return whether the machine did not acknowledge lately."""
        return now - self.unreachable_at < UNREACHABLE_SECONDS


class _LatestStart(NamedTuple):
    """When an upstream was started last, and when it said so.

    Parameters
    ==========

    born : int
        Milliseconds of Unix time.
    read_at : float
        Seconds on this VM's own clock.
    """

    born: int
    read_at: float


def _is_same_start(upstream: Upstream, entry: Announcement) -> bool:
    told = (entry.born, entry.service, entry.address)
    return told == (upstream.born, upstream.service, upstream.address)


class Directory:
    """Upstreams by id.

    Parameters
    ==========

    now : callable
        Monotonic time in seconds.
    on_gone : callable
        Called with an upstream that gets no more work.
    """

    def __init__(
        self,
        now: Callable[[], float],
        on_gone: Callable[[Upstream], None] = lambda upstream: None,
    ):
        self._now = now
        self._on_gone = on_gone
        self.by_id: dict[UpstreamId, Upstream] = {}
        self._tolerant_until = 0.0
        self._probed_at_by_service: dict[str, float] = {}
        self._latest_by_id: dict[UpstreamId, _LatestStart] = {}

    def announce(self, entry: Announcement) -> None:
        """Take an upstream's entry, a first one or a changed one."""
        upstream = self.by_id.get(entry.id)
        if upstream is not None and upstream.born and entry.born is None:
            # Another writer's: this upstream tells when it was started.
            self.hold_back(entry.id)
            return
        if self._is_late(entry):
            return
        self._note_start(entry)
        if upstream is not None and not _is_same_start(upstream, entry):
            self._drop(upstream, "upstream started again")
            upstream = None
        if upstream is None:
            upstream = self._add(entry)
        upstream.missing_until = math.inf
        upstream.unreadable = False
        upstream.concurrency = entry.slots
        upstream.warm_at = self._now() + entry.warm_up
        if entry.leaving and not upstream.leaving:
            upstream.leaving = True
            self._log("upstream leaving", upstream)
            self._on_gone(upstream)

    def hold_back(self, upstream_id: UpstreamId) -> None:
        """Take note that an entry names no upstream that can be used.

        Calls that run there go on; the next good entry makes it usable.
        """
        upstream = self.by_id.get(upstream_id)
        if upstream is not None and not upstream.unreadable:
            upstream.unreadable = True
            self._log("upstream held back", upstream)

    def withdraw(self, upstream_id: UpstreamId) -> None:
        """Take note that an entry was removed."""
        upstream = self.by_id.get(upstream_id)
        if upstream is None:
            return
        if self._now() < self._tolerant_until:
            upstream.missing_until = self._tolerant_until
            self._log("upstream missing", upstream)
        else:
            self._drop(upstream)

    def replace_all(
        self,
        entries: Iterable[Announcement],
        unreadable: Iterable[UpstreamId] = (),
    ) -> None:
        """Take all entries that there are; others were removed."""
        entries = list(entries)
        for entry in entries:
            self.announce(entry)
        unreadable = set(unreadable)
        for upstream_id in unreadable:
            self.hold_back(upstream_id)
        present = unreadable | {entry.id for entry in entries}
        for upstream_id in list(self.by_id):
            if upstream_id not in present:
                self.withdraw(upstream_id)

    def tolerate_missing(self, until: float) -> None:
        """Take note that entries may have lapsed while the log was away.

        An upstream that lives writes its entry again; until a moment it
        gets work without one.
        """
        self._tolerant_until = until

    def drop_missing(self) -> None:
        """Forget the upstreams that have had no entry for too long."""
        self._forget_starts()
        now = self._now()
        for upstream in list(self.by_id.values()):
            if upstream.is_gone(now):
                self._drop(upstream)

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may get new work."""
        now = self._now()
        return [
            upstream
            for upstream in self._staying(service)
            if upstream.accepts(now)
        ]

    def last_resort(self, service: str) -> list[Upstream]:
        """Return what to try when no upstream of a service is usable.

        Those that failed lately; of those that are out of reach, one is
        tried now and then.
        """
        now = self._now()
        staying = self._staying(service)
        reachable = [item for item in staying if not item.is_unreachable(now)]
        if reachable or not staying:
            return reachable
        probed_at = self._probed_at_by_service.get(service, -math.inf)
        if now - probed_at < PROBE_SECONDS:
            return []
        self._probed_at_by_service[service] = now
        return [random.choice(staying)]

    def is_out_of_reach(self, service: str) -> bool:
        """Return whether a service has upstreams, all out of reach."""
        now = self._now()
        staying = self._staying(service)
        return bool(staying) and all(
            item.is_unreachable(now) for item in staying
        )

    def note_unreachable(self, upstream: Upstream) -> None:
        """Take note that an upstream's machine does not acknowledge.

        Several in a data centre mean that it is cut off; the others there
        need not be tried one by one.
        """
        now = self._now()
        upstream.suspend(now, UNREACHABLE_SECONDS)
        upstream.unreachable_at = now
        there = [
            other
            for other in self.by_id.values()
            if other.data_center == upstream.data_center
        ]
        silent = sum(other.is_unreachable(now) for other in there)
        if silent >= UNREACHABLE_UPSTREAMS:
            for other in there:
                other.suspend(now, UNREACHABLE_SECONDS)
                other.unreachable_at = now

    # -- own ------------------------------------------------------------------

    def _staying(self, service: str) -> list[Upstream]:
        now = self._now()
        return [
            upstream
            for upstream in self.by_id.values()
            if upstream.service == service
            and not upstream.leaving
            and not upstream.unreadable
            and not upstream.is_gone(now)
        ]

    def _add(self, entry: Announcement) -> Upstream:
        upstream = Upstream(
            id=entry.id,
            service=entry.service,
            address=entry.address,
            data_center=entry.data_center,
            concurrency=entry.slots,
            born=entry.born,
        )
        self.by_id[entry.id] = upstream
        self._log("upstream announced", upstream)
        return upstream

    def _drop(self, upstream: Upstream, text: str = "upstream gone") -> None:
        del self.by_id[upstream.id]
        upstream.leaving = True
        self._log(text, upstream)
        self._on_gone(upstream)

    def _is_late(self, entry: Announcement) -> bool:
        """Return whether a later start has written an entry lately."""
        latest = self._latest_by_id.get(entry.id)
        if latest is None or entry.born is None:
            return False
        age = self._now() - latest.read_at
        return entry.born < latest.born and age < LATE_ENTRY_SECONDS

    def _note_start(self, entry: Announcement) -> None:
        if entry.born is not None:
            latest = _LatestStart(entry.born, self._now())
            self._latest_by_id[entry.id] = latest

    def _forget_starts(self) -> None:
        """Drop the starts of upstreams that nobody hears of any more."""
        oldest = self._now() - LATE_ENTRY_SECONDS
        self._latest_by_id = {
            upstream_id: latest
            for upstream_id, latest in self._latest_by_id.items()
            if upstream_id in self.by_id or latest.read_at > oldest
        }

    @staticmethod
    def _log(text: str, upstream: Upstream) -> None:
        LOG.info(
            text,
            extra={"upstream": upstream.id, "service": upstream.service},
        )
