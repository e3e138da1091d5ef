"""What is done with requests under which upstreams crash."""

import abc
from collections.abc import Callable
import logging
import math
from typing import TypeVar

from postspring.quarantine import crash_detector
from postspring.quarantine import crash_registry
from postspring.quarantine import fingerprint as fingerprint_module
from postspring import registry
from postspring import upstreams

__all__ = [
    "CrashQuarantine",
    "NoQuarantine",
    "Quarantine",
    "quarantine_by_name",
]

LOG = logging.getLogger(__name__)

# Upstreams that may crash under a request before it is rejected.  One crash
# says little of a request, and a rack that fails may take two upstreams of it.
MAX_CRASHES = 3
# A request that has run to its end within this time is no suspect, in seconds:
# many callers may send the same one, and a rack that fails runs some copies.
COMPLETED_SECONDS = 60.0
# Most requests that are remembered for that; about 200 bytes each.
MAX_COMPLETED = 2000

Fingerprint = fingerprint_module.Fingerprint
Candidate = TypeVar("Candidate", bound=upstreams.Upstream)
# Tells other VMs what is known of a request; calls back once they know it, or
# after a short time.
Publish = Callable[[crash_registry.RequestCrashes, Callable[[], None]], None]

quarantine_by_name: registry.Registry = registry.Registry("quarantine")


class Quarantine(abc.ABC):
    """Decides whether and where a request may run, by crashes under it."""

    @abc.abstractmethod
    def fingerprint_of(self, parts) -> Fingerprint:
        """Return the identity of a request, or an empty string."""

    @abc.abstractmethod
    def is_blocked(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request is rejected."""

    @abc.abstractmethod
    def allows_retry(self, fingerprint: Fingerprint) -> bool:
        """Return whether a call that broke may be sent once more."""

    @abc.abstractmethod
    def crashed(
        self, fingerprint: Fingerprint
    ) -> list[upstreams.IncarnationId]:
        """Return the upstreams that have crashed under a request."""

    @abc.abstractmethod
    def candidates(
        self, fingerprint: Fingerprint, found: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the upstreams, of those found, that may run a request."""

    @abc.abstractmethod
    def note_broken(
        self,
        fingerprint: Fingerprint,
        upstream: upstreams.Upstream,
        on_result: Callable[[], None],
    ) -> None:
        """Note that the connection of a running call broke.

        ``on_result`` is called once the decision on a retry can be taken.
        """

    @abc.abstractmethod
    def note_completed(self, fingerprint: Fingerprint) -> None:
        """Note that an upstream has run a request to its end."""

    @abc.abstractmethod
    def note_gone(self, upstream: upstreams.Upstream) -> None:
        """Note that an upstream's entry is gone or that of another start."""

    @abc.abstractmethod
    def merge(self, report: crash_registry.RequestCrashes) -> None:
        """Add what another VM knows of a request."""

    @property
    @abc.abstractmethod
    def blocked_requests(self) -> int:
        """Number of requests that are rejected."""


@quarantine_by_name.register("none")
class NoQuarantine(Quarantine):
    """Lets all requests run."""

    def __init__(self, *arguments):
        pass

    def fingerprint_of(self, parts) -> Fingerprint:
        """Return an empty string."""
        return Fingerprint("")

    def is_blocked(self, fingerprint) -> bool:
        """Return False."""
        return False

    def allows_retry(self, fingerprint) -> bool:
        """Return True."""
        return True

    def crashed(self, fingerprint) -> list[upstreams.IncarnationId]:
        """Return none."""
        return []

    def candidates(self, fingerprint, found, now) -> list:
        """Return all."""
        return found

    def note_broken(self, fingerprint, upstream, on_result) -> None:
        """Continue at once."""
        on_result()

    def note_completed(self, fingerprint) -> None:
        """Do nothing."""

    def note_gone(self, upstream) -> None:
        """Do nothing."""

    def merge(self, report) -> None:
        """Do nothing."""

    @property
    def blocked_requests(self) -> int:
        """Return none."""
        return 0


@quarantine_by_name.register("crashes")
class CrashQuarantine(Quarantine):
    """Rejects a request once some upstreams have crashed under it.

    Explanation
    ===========

    All requests that an upstream runs when it crashes are suspects.  A suspect
    of one crash runs like any other request; one of several crashes runs at
    the least busy upstream, with as few requests beside it as there can be.  A
    request that runs to its end, or has done so lately, is no suspect.

    Parameters
    ==========

    now : callable
        Monotonic time in seconds.
    probe : callable
        Opens a connection to an address.
    publish : callable
        Tells other VMs what is known of a request.
    """

    def __init__(
        self,
        now: Callable[[], float],
        probe: crash_detector.Probe,
        publish: Publish = lambda report, on_told: on_told(),
    ):
        self._publish = publish
        self._now = now
        self._completed_at: dict[Fingerprint, float] = {}
        self._registry = crash_registry.CrashRegistry(now)
        self._detector = crash_detector.CrashDetector(
            now, probe, self._note_crash
        )

    @property
    def blocked_requests(self) -> int:
        """Number of requests that are rejected."""
        return self._registry.count_with(MAX_CRASHES)

    def fingerprint_of(self, parts) -> Fingerprint:
        """Return a digest of the parts."""
        return fingerprint_module.fingerprint_of(parts)

    def is_blocked(self, fingerprint: Fingerprint) -> bool:
        """Return whether too many upstreams have crashed under a request."""
        return self._registry.crashes(fingerprint) >= MAX_CRASHES

    def allows_retry(self, fingerprint: Fingerprint) -> bool:
        """Return whether too many have crashed or may have."""
        crashes = self._registry.crashes(fingerprint)
        return crashes + self._detector.unconfirmed(fingerprint) < MAX_CRASHES

    def crashed(
        self, fingerprint: Fingerprint
    ) -> list[upstreams.IncarnationId]:
        """Return the upstreams that have crashed under a request."""
        return self._registry.crashed(fingerprint)

    def candidates(
        self, fingerprint: Fingerprint, found: list[Candidate], now: float
    ) -> list[Candidate]:
        """Return the least busy upstreams for a request that may crash one."""
        if self._registry.crashes(fingerprint) < MAX_CRASHES - 1 or not found:
            return found
        least = min(item.total_calls(now) for item in found)
        return [item for item in found if item.total_calls(now) == least]

    def note_broken(
        self,
        fingerprint: Fingerprint,
        upstream: upstreams.Upstream,
        on_result: Callable[[], None],
    ) -> None:
        """Find out whether the upstream has crashed.

        A caller that is answered before other VMs know of a crash sends the
        request to one of them.
        """

        def probed() -> None:
            if upstream.incarnation in self.crashed(fingerprint):
                self._publish(self._registry.report(fingerprint), on_result)
            else:
                on_result()

        self._detector.note_broken(fingerprint, upstream, probed)

    def note_completed(self, fingerprint: Fingerprint) -> None:
        """Clear a request that an upstream has run to its end."""
        self._completed_at.pop(fingerprint, None)
        self._completed_at[fingerprint] = self._now()
        if len(self._completed_at) > MAX_COMPLETED:
            del self._completed_at[next(iter(self._completed_at))]
        if self._registry.note_completed(fingerprint):
            self._tell(fingerprint)

    def note_gone(self, upstream: upstreams.Upstream) -> None:
        """Put the crash down to the requests that broke there."""
        self._detector.note_gone(upstream)

    def merge(self, report: crash_registry.RequestCrashes) -> None:
        """Add what another VM knows of a request."""
        self._registry.merge(report)
        if self._has_completed_lately(report.fingerprint):
            self._registry.note_completed(report.fingerprint)

    # -- own ------------------------------------------------------------------

    def _note_crash(
        self, fingerprint: Fingerprint, upstream: upstreams.IncarnationId
    ) -> None:
        if self._has_completed_lately(fingerprint):
            return
        if not self._registry.note_crash(fingerprint, upstream):
            return
        LOG.warning(
            "upstream crashed under a request",
            extra={
                "fingerprint": fingerprint,
                "upstream": upstream,
                "crashes": self._registry.crashes(fingerprint),
            },
        )
        self._tell(fingerprint)

    def _has_completed_lately(self, fingerprint: Fingerprint) -> bool:
        completed_at = self._completed_at.get(fingerprint, -math.inf)
        return self._now() - completed_at < COMPLETED_SECONDS

    def _tell(self, fingerprint: Fingerprint) -> None:
        self._publish(self._registry.report(fingerprint), lambda: None)
