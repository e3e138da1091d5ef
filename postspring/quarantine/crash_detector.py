"""Tells a crash of an upstream from a connection that broke."""

from collections.abc import Callable
import dataclasses

from postspring.quarantine import fingerprint as fingerprint_module
from postspring import upstreams

__all__ = ["CrashDetector", "Probe"]

# How long a broken connection is remembered, in seconds: an upstream that is
# back at once under its old address is told by its entry, which it writes
# every second or so, and one that is not by the loss of its entry.
SUSPICION_SECONDS = 6.0

# Opens a connection to an address; calls back with whether it was refused.
Probe = Callable[[tuple[str, int], Callable[[bool], None]], None]
OnCrash = Callable[
    [fingerprint_module.Fingerprint, upstreams.IncarnationId], None
]


@dataclasses.dataclass(slots=True)
class _Suspicion:
    """Calls whose connection to an upstream broke."""

    upstream: upstreams.Upstream
    broken_at: float
    has_crashed: bool = False
    is_probed: bool = False
    fingerprints: set[fingerprint_module.Fingerprint] = dataclasses.field(
        default_factory=set
    )
    waiting: list[Callable[[], None]] = dataclasses.field(default_factory=list)

    @property
    def is_contradicted(self) -> bool:
        """Whether the upstream has sent data since."""
        return self.upstream.answered_at > self.broken_at


class CrashDetector:
    """Finds out whether an upstream crashed when a call broke there.

    Explanation
    ===========

    An upstream has crashed if its address refuses connections right after a
    call broke, or if its entry is gone or that of another start within some
    seconds.  An upstream that has announced to leave does not count, nor does
    one that is silent, which may be cut off.

    Parameters
    ==========

    now : callable
        Monotonic time in seconds.
    probe : callable
        Opens a connection to an address.
    on_crash : callable
        Called with each request that an upstream ran when it crashed.
    """

    def __init__(
        self, now: Callable[[], float], probe: Probe, on_crash: OnCrash
    ):
        self._now = now
        self._probe = probe
        self._on_crash = on_crash
        self._suspicion_by_upstream: dict[
            upstreams.IncarnationId, _Suspicion
        ] = {}

    def note_broken(
        self,
        fingerprint: fingerprint_module.Fingerprint,
        upstream: upstreams.Upstream,
        on_result: Callable[[], None],
    ) -> None:
        """Note that the connection of a running call broke.

        Parameters
        ----------
        on_result : callable
            Called once it is known whether the address refuses connections.
        """
        self._discard_expired()
        if upstream.leaving:
            on_result()
            return
        suspicion = self._suspicion_by_upstream.get(upstream.incarnation)
        if suspicion is None:
            suspicion = _Suspicion(upstream, self._now())
            self._suspicion_by_upstream[upstream.incarnation] = suspicion
        suspicion.fingerprints.add(fingerprint)
        suspicion.broken_at = self._now()
        if suspicion.has_crashed:
            self._on_crash(fingerprint, upstream.incarnation)
            on_result()
            return
        suspicion.waiting.append(on_result)
        if not suspicion.is_probed:
            suspicion.is_probed = True
            self._probe(
                upstream.address,
                lambda is_refused: self._probed(suspicion, is_refused),
            )

    def note_gone(self, upstream: upstreams.Upstream) -> None:
        """Note that an upstream's entry is gone or that of another start."""
        self._discard_expired()
        suspicion = self._suspicion_by_upstream.get(upstream.incarnation)
        if suspicion is not None:
            self._note_crash(suspicion)

    def unconfirmed(self, fingerprint: fingerprint_module.Fingerprint) -> int:
        """Return the upstreams that may have crashed under a request."""
        self._discard_expired()
        return sum(
            fingerprint in suspicion.fingerprints
            and not suspicion.has_crashed
            and not suspicion.is_contradicted
            for suspicion in self._suspicion_by_upstream.values()
        )

    # -- own ------------------------------------------------------------------

    def _probed(self, suspicion: _Suspicion, is_refused: bool) -> None:
        suspicion.is_probed = False
        if is_refused:
            self._note_crash(suspicion)
        waiting, suspicion.waiting = suspicion.waiting, []
        for on_result in waiting:
            on_result()

    def _note_crash(self, suspicion: _Suspicion) -> None:
        if suspicion.has_crashed:
            return
        suspicion.has_crashed = True
        for fingerprint in sorted(suspicion.fingerprints):
            self._on_crash(fingerprint, suspicion.upstream.incarnation)

    def _discard_expired(self) -> None:
        oldest = self._now() - SUSPICION_SECONDS
        self._suspicion_by_upstream = {
            incarnation: suspicion
            for incarnation, suspicion in self._suspicion_by_upstream.items()
            if suspicion.broken_at > oldest or suspicion.waiting
        }
