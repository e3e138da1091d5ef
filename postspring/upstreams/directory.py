"""The upstreams that have announced themselves, by id and by service.

An upstream may restart under the same id.  It loses all its state then, so
what a VM has observed belongs to one incarnation: an id and a start time.
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
# Identifies one run of an upstream, from its start to its exit.
IncarnationId = NewType("IncarnationId", str)

# How long an upstream whose machine does not acknowledge packets gets no work,
# in seconds; with so many of them in a data centre, none there gets work.
UNREACHABLE_SECONDS = 1.5
MIN_UNREACHABLE_UPSTREAMS = 2
# Interval between probes of a service whose upstreams are all unreachable, in
# seconds.
PROBE_SECONDS = 0.5
# How long an entry of an earlier incarnation is ignored after the last entry
# of a later one, in seconds.  A delayed write takes effect within 6 s.  If the
# earlier start time still appears after this, the machine's clock was set back
# between the two starts.
STALE_ENTRY_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """An upstream's entry in the log, decoded.

    Parameters
    ==========

    address : tuple of (str, int)
        IP address and port; another upstream may reuse them later.
    slots : int
        Calls that it runs at once.
    leaving : bool
        It will exit soon and gets no new work.
    warm_up : float
        Seconds for which it is still slow after its start.
    born : int or None
        Start time in milliseconds of Unix time; None if each start has an id
        of its own.
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
    """One incarnation of an upstream: announced attributes and load.

    Parameters
    ==========

    expires_at : float
        Time until which it gets new work although its entry is gone, as it
        may still run; infinite while it has an entry.  Seconds.
    unreadable : bool
        Its current entry is not a valid one of this upstream: it gets no
        new work.

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
    expires_at: float = math.inf
    unreadable: bool = False

    @property
    def incarnation(self) -> IncarnationId:
        """Key of placement and load; each start has another one."""
        if self.born is None:
            return IncarnationId(self.id)
        return IncarnationId(f"{self.id}@{self.born}")

    @property
    def has_entry(self) -> bool:
        """Whether the log has an entry of it, by what was read last."""
        return self.expires_at == math.inf

    def is_expired(self, now: float) -> bool:
        """Return whether its entry has been missing for too long."""
        return now >= self.expires_at

    def is_unreachable(self, now: float) -> bool:
        """Return whether it, or its data centre, failed to respond lately."""
        return now - self.unreachable_at < UNREACHABLE_SECONDS


class _LatestIncarnation(NamedTuple):
    """Start time of the incarnation whose entry was applied last.

    Parameters
    ==========

    born : int
        Start time in milliseconds of Unix time.
    read_at : float
        When this VM read the entry; monotonic seconds.
    """

    born: int
    read_at: float


def _is_same_incarnation(upstream: Upstream, entry: Announcement) -> bool:
    announced = (entry.born, entry.service, entry.address)
    return announced == (upstream.born, upstream.service, upstream.address)


class Directory:
    """Upstreams by id, kept up to date from their entries in the log.

    Parameters
    ==========

    now : callable
        Monotonic time in seconds.
    on_retired : callable
        Called with an upstream that is leaving, was removed or restarted,
        and gets no more work.

    Attributes
    ==========

    revision : int
        Increases when :meth:`eligible` may return other upstreams.
    """

    def __init__(
        self,
        now: Callable[[], float],
        on_retired: Callable[[Upstream], None] = lambda upstream: None,
    ):
        self._now = now
        self._on_retired = on_retired
        self.by_id: dict[UpstreamId, Upstream] = {}
        self.revision = 0
        self._grace_ends_at = 0.0
        self._probed_at_by_service: dict[str, float] = {}
        self._latest_by_id: dict[UpstreamId, _LatestIncarnation] = {}

    def announce(self, entry: Announcement) -> None:
        """Add or update an upstream according to its entry."""
        upstream = self.by_id.get(entry.id)
        if upstream is not None and upstream.born and entry.born is None:
            # Not written by this upstream: its entries have a start time.
            self.mark_unreadable(entry.id)
            return
        if self._is_stale(entry):
            return
        self._note_incarnation(entry)
        if upstream is not None and not _is_same_incarnation(upstream, entry):
            self._drop(upstream, "upstream started again")
            upstream = None
        if upstream is None:
            upstream = self._add(entry)
        self.revision += upstream.unreadable
        upstream.expires_at = math.inf
        upstream.unreadable = False
        upstream.concurrency = entry.slots
        upstream.warm_at = self._now() + entry.warm_up
        if entry.leaving and not upstream.leaving:
            upstream.leaving = True
            self.revision += 1
            self._log("upstream leaving", upstream)
            self._on_retired(upstream)

    def mark_unreadable(self, upstream_id: UpstreamId) -> None:
        """Give an upstream no new work, as its entry is invalid.

        Calls in flight continue; the next valid entry makes it usable again.
        """
        upstream = self.by_id.get(upstream_id)
        if upstream is not None and not upstream.unreadable:
            upstream.unreadable = True
            self.revision += 1
            self._log("upstream held back", upstream)

    def withdraw(self, upstream_id: UpstreamId) -> None:
        """Remove an upstream whose entry was removed from the log.

        During the grace period after an outage it expires later.
        """
        upstream = self.by_id.get(upstream_id)
        if upstream is None:
            return
        if self._now() < self._grace_ends_at:
            upstream.expires_at = self._grace_ends_at
            self._log("upstream missing", upstream)
        else:
            self._drop(upstream)

    def replace_all(
        self,
        entries: Iterable[Announcement],
        unreadable: Iterable[UpstreamId] = (),
    ) -> None:
        """Apply all current entries; withdraw upstreams without one."""
        entries = list(entries)
        for entry in entries:
            self.announce(entry)
        unreadable = set(unreadable)
        for upstream_id in unreadable:
            self.mark_unreadable(upstream_id)
        present = unreadable | {entry.id for entry in entries}
        for upstream_id in list(self.by_id):
            if upstream_id not in present:
                self.withdraw(upstream_id)

    def tolerate_missing(self, until: float) -> None:
        """Begin a grace period after an outage of the log.

        Entries may have expired in the outage.  An upstream that still runs
        writes its entry again; meanwhile it gets work without one.

        Parameters
        ----------
        until : float
            End of the grace period; monotonic seconds.
        """
        self._grace_ends_at = until

    def drop_missing(self) -> None:
        """Remove the upstreams whose entry has been missing for too long."""
        self._discard_old_incarnations()
        now = self._now()
        for upstream in list(self.by_id.values()):
            if upstream.is_expired(now):
                self._drop(upstream)

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may get new work."""
        now = self._now()
        return [
            upstream
            for upstream in self.eligible(service)
            if upstream.accepts(now)
        ]

    def last_resort(self, service: str) -> list[Upstream]:
        """Return the candidates when no upstream of a service is usable.

        These are its reachable upstreams, although they failed lately.  If
        all are unreachable, it is a random one, once per probe interval.
        """
        now = self._now()
        eligible = self.eligible(service)
        reachable = [item for item in eligible if not item.is_unreachable(now)]
        if reachable or not eligible:
            return reachable
        probed_at = self._probed_at_by_service.get(service, -math.inf)
        if now - probed_at < PROBE_SECONDS:
            return []
        self._probed_at_by_service[service] = now
        return [random.choice(eligible)]

    def is_service_unreachable(self, service: str) -> bool:
        """Return whether a service has upstreams and none is reachable."""
        now = self._now()
        eligible = self.eligible(service)
        return bool(eligible) and all(
            item.is_unreachable(now) for item in eligible
        )

    def note_unreachable(self, upstream: Upstream) -> None:
        """Suspend an upstream whose machine does not acknowledge packets.

        Several of them in a data centre mean that it is cut off, so all its
        upstreams are suspended without being tried one by one.
        """
        now = self._now()
        upstream.suspend(now, UNREACHABLE_SECONDS)
        upstream.unreachable_at = now
        same_data_center = [
            other
            for other in self.by_id.values()
            if other.data_center == upstream.data_center
        ]
        unreachable = sum(
            other.is_unreachable(now) for other in same_data_center
        )
        if unreachable >= MIN_UNREACHABLE_UPSTREAMS:
            for other in same_data_center:
                other.suspend(now, UNREACHABLE_SECONDS)
                other.unreachable_at = now

    def eligible(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that stay, usable or not."""
        now = self._now()
        return [
            upstream
            for upstream in self.by_id.values()
            if upstream.service == service
            and not upstream.leaving
            and not upstream.unreadable
            and not upstream.is_expired(now)
        ]

    # -- own ------------------------------------------------------------------

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
        self.revision += 1
        self._log("upstream announced", upstream)
        return upstream

    def _drop(self, upstream: Upstream, text: str = "upstream gone") -> None:
        del self.by_id[upstream.id]
        upstream.leaving = True
        self.revision += 1
        self._log(text, upstream)
        self._on_retired(upstream)

    def _is_stale(self, entry: Announcement) -> bool:
        """Return whether a later incarnation has written an entry lately."""
        latest = self._latest_by_id.get(entry.id)
        if latest is None or entry.born is None:
            return False
        age = self._now() - latest.read_at
        return entry.born < latest.born and age < STALE_ENTRY_SECONDS

    def _note_incarnation(self, entry: Announcement) -> None:
        if entry.born is not None:
            latest = _LatestIncarnation(entry.born, self._now())
            self._latest_by_id[entry.id] = latest

    def _discard_old_incarnations(self) -> None:
        """Discard the incarnations of upstreams removed some time ago."""
        oldest = self._now() - STALE_ENTRY_SECONDS
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
