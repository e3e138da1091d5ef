"""The upstreams that have crashed under each request."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from postspring.quarantine import fingerprint as fingerprint_module
from postspring import upstreams

__all__ = ["CrashRegistry", "RequestCrashes"]

# How long crashes are remembered, in seconds: longer than callers, and the
# people behind them, send the same request again.
RETENTION_SECONDS = 300.0
# Most requests that are remembered; about 300 bytes each.
MAX_REQUESTS = 2000
# Most upstreams that are remembered of one request.
MAX_UPSTREAMS = 16


@dataclasses.dataclass(frozen=True, slots=True)
class RequestCrashes:
    """What is known of one request, to be told to other VMs.

    Parameters
    ==========

    crashed : tuple of IncarnationId
        Upstreams that have crashed while they ran the request.
    cleared : tuple of IncarnationId
        Those of them whose crash is not put down to the request any more, as
        another upstream has run it to its end since.
    """

    fingerprint: fingerprint_module.Fingerprint
    crashed: tuple[upstreams.IncarnationId, ...]
    cleared: tuple[upstreams.IncarnationId, ...] = ()


@dataclasses.dataclass(slots=True)
class _Record:
    changed_at: float
    crashed: set[upstreams.IncarnationId] = dataclasses.field(
        default_factory=set
    )
    cleared: set[upstreams.IncarnationId] = dataclasses.field(
        default_factory=set
    )

    @property
    def count(self) -> int:
        return len(self.crashed - self.cleared)


class CrashRegistry:
    """Counts the upstreams that have crashed under each request.

    Explanation
    ===========

    Both sets of a request only grow, so reports of VMs can be merged in any
    order, and repeated.

    Parameters
    ==========

    now : callable
        Monotonic time in seconds.

    Examples
    ========

    >>> registry = CrashRegistry(lambda: 0.0)
    >>> registry.note_crash("f", "u1"), registry.note_crash("f", "u1")
    (True, False)
    >>> registry.note_crash("f", "u2"), registry.crashes("f")
    (True, 2)
    >>> registry.note_completed("f"), registry.crashes("f")
    (True, 0)
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._record_by_fingerprint: dict[
            fingerprint_module.Fingerprint, _Record
        ] = {}

    def __len__(self) -> int:
        return len(self._record_by_fingerprint)

    def crashes(self, fingerprint: fingerprint_module.Fingerprint) -> int:
        """Return how many upstreams have crashed under a request."""
        record = self._record(fingerprint)
        return 0 if record is None else record.count

    def crashed(
        self, fingerprint: fingerprint_module.Fingerprint
    ) -> list[upstreams.IncarnationId]:
        """Return these upstreams, in alphabetical order."""
        record = self._record(fingerprint)
        return sorted(record.crashed - record.cleared) if record else []

    def count_with(self, crashes: int) -> int:
        """Return the number of requests with so many crashes or more."""
        self._discard_expired()
        records = self._record_by_fingerprint.values()
        return sum(record.count >= crashes for record in records)

    def note_crash(
        self,
        fingerprint: fingerprint_module.Fingerprint,
        upstream: upstreams.IncarnationId,
    ) -> bool:
        """Add a crash; return whether it was not known."""
        return self.merge(RequestCrashes(fingerprint, (upstream,)))

    def note_completed(
        self, fingerprint: fingerprint_module.Fingerprint
    ) -> bool:
        """Clear a request that ran to its end; return if it had crashes."""
        record = self._record(fingerprint)
        if record is None or not record.count:
            return False
        record.cleared |= record.crashed
        return True

    def report(
        self, fingerprint: fingerprint_module.Fingerprint
    ) -> RequestCrashes:
        """Return what is known of a request."""
        record = self._record(fingerprint) or _Record(self._now())
        return RequestCrashes(
            fingerprint,
            tuple(sorted(record.crashed)),
            tuple(sorted(record.cleared)),
        )

    def merge(self, report: RequestCrashes) -> bool:
        """Add what another VM knows; return whether anything was new."""
        record = self._record(report.fingerprint) or _Record(self._now())
        is_new = _add(record.crashed, report.crashed)
        is_new = _add(record.cleared, report.cleared) or is_new
        if is_new:
            record.changed_at = self._now()
            self._store(report.fingerprint, record)
        return is_new

    # -- own ------------------------------------------------------------------

    def _record(
        self, fingerprint: fingerprint_module.Fingerprint
    ) -> _Record | None:
        record = self._record_by_fingerprint.get(fingerprint)
        if record is None or self._is_expired(record):
            return None
        return record

    def _is_expired(self, record: _Record) -> bool:
        return self._now() - record.changed_at > RETENTION_SECONDS

    def _store(
        self, fingerprint: fingerprint_module.Fingerprint, record: _Record
    ) -> None:
        """Store a record as the latest one; the least important may go."""
        self._record_by_fingerprint.pop(fingerprint, None)
        self._record_by_fingerprint[fingerprint] = record
        if len(self._record_by_fingerprint) <= MAX_REQUESTS:
            return
        self._discard_expired()
        if len(self._record_by_fingerprint) > MAX_REQUESTS:
            # Requests beside which an upstream crashed are many; those under
            # which several have crashed are few.
            least = min(
                self._record_by_fingerprint,
                key=lambda item: self._record_by_fingerprint[item].count,
            )
            del self._record_by_fingerprint[least]

    def _discard_expired(self) -> None:
        self._record_by_fingerprint = {
            fingerprint: record
            for fingerprint, record in self._record_by_fingerprint.items()
            if not self._is_expired(record)
        }


def _add(
    known: set[upstreams.IncarnationId],
    added: Iterable[upstreams.IncarnationId],
) -> bool:
    """Add upstreams to a bounded set; return whether it has grown."""
    before = len(known)
    for upstream in added:
        if len(known) < MAX_UPSTREAMS:
            known.add(upstream)
    return len(known) > before
