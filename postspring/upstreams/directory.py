"""The upstreams that announced themselves, by id and by service."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import logging
import math
import random
from typing import NewType

from postspring.upstreams import load as load_module

__all__ = ["Announcement", "Directory", "Upstream", "UpstreamId"]

LOG = logging.getLogger(__name__)

UpstreamId = NewType("UpstreamId", str)

# Entries that lapsed while the log was away come back within about 2 s of
# its return (the platform's page); one still missing then is gone.
RETURN_SECONDS = 2.3
# An upstream whose machine does not acknowledge is left alone for this
# long; when two of a data centre are, all of it is, in seconds.
UNREACHABLE_SECONDS = 1.5
UNREACHABLE_UPSTREAMS = 2
# How often one of them is tried all the same, in seconds.
PROBE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an upstream says of itself; each start has a new id.

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
    """

    id: UpstreamId
    service: str
    address: tuple[str, int]
    data_center: str = ""
    slots: int = 1
    leaving: bool = False
    warm_up: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Upstream(load_module.UpstreamLoad):
    """An upstream: what it announced, and what was observed of it.

    ``missing`` ones have no entry any more, while it is too early to say
    that they are gone.
    """

    id: UpstreamId
    service: str
    address: tuple[str, int]
    data_center: str
    warm_at: float = 0.0
    unreachable_at: float = -math.inf
    missing: bool = False

    def is_unreachable(self, now: float) -> bool:
        """Return whether the machine did not acknowledge lately."""
        return now - self.unreachable_at < UNREACHABLE_SECONDS


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

    def announce(self, entry: Announcement) -> None:
        """Take an upstream's entry, a first one or a changed one."""
        upstream = self.by_id.get(entry.id)
        if upstream is None:
            upstream = Upstream(
                id=entry.id,
                service=entry.service,
                address=entry.address,
                data_center=entry.data_center,
                concurrency=entry.slots,
            )
            self.by_id[entry.id] = upstream
            self._log("upstream announced", upstream)
        upstream.missing = False
        upstream.concurrency = entry.slots
        upstream.warm_at = self._now() + entry.warm_up
        if entry.leaving and not upstream.leaving:
            upstream.leaving = True
            self._log("upstream leaving", upstream)
            self._on_gone(upstream)

    def withdraw(self, upstream_id: UpstreamId) -> None:
        """Take note that an entry was removed."""
        upstream = self.by_id.get(upstream_id)
        if upstream is None:
            return
        if self._now() < self._tolerant_until:
            upstream.missing = True
            self._log("upstream missing", upstream)
        else:
            self._drop(upstream)

    def replace_all(self, entries: Iterable[Announcement]) -> None:
        """Take all entries that there are; others were removed."""
        entries = list(entries)
        for entry in entries:
            self.announce(entry)
        announced = {entry.id for entry in entries}
        for upstream_id in list(self.by_id):
            if upstream_id not in announced:
                self.withdraw(upstream_id)

    def tolerate_missing(self) -> None:
        """The log has just come back: entries may have lapsed meanwhile."""
        self._tolerant_until = self._now() + RETURN_SECONDS

    def drop_missing(self) -> None:
        """Drop what is still missing some time after the log's return."""
        if self._now() < self._tolerant_until:
            return
        for upstream in list(self.by_id.values()):
            if upstream.missing:
                self._drop(upstream)

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that may get new work."""
        now = self._now()
        return [
            upstream
            for upstream in self.by_id.values()
            if upstream.service == service and upstream.accepts(now)
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
        return [
            upstream
            for upstream in self.by_id.values()
            if upstream.service == service and not upstream.leaving
        ]

    def _drop(self, upstream: Upstream) -> None:
        del self.by_id[upstream.id]
        upstream.leaving = True
        self._log("upstream gone", upstream)
        self._on_gone(upstream)

    @staticmethod
    def _log(text: str, upstream: Upstream) -> None:
        LOG.info(
            text,
            extra={"upstream": upstream.id, "service": upstream.service},
        )
