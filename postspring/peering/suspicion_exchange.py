"""Exchange of suspicions against upstreams, sent along with the loads.

A VM reports broken calls to the collector of its data centre.  Collectors
forward such reports to each other and answer their VMs with the suspected
upstreams; a VM to which a suspected upstream has responded since then says so
in its next report, 0.2 s later.
"""

from collections.abc import Callable
from collections.abc import Iterable

from postspring import upstreams

__all__ = ["SuspicionExchange"]

# Incarnation, age in seconds, broken calls; see messages.LoadsReport.
PackedObservation = tuple[str, float, int]
# Incarnation, and seconds since calls last broke there.
Suspect = tuple[str, float]


class SuspicionExchange:
    """Observations of upstreams: this VM's, and those a collector gets.

    Parameters
    ==========

    directory : Directory
        The upstreams.
    now : callable
        Monotonic time in seconds.
    """

    def __init__(
        self, directory: upstreams.Directory, now: Callable[[], float]
    ):
        self._directory = directory
        self._now = now
        self._detector = upstreams.FailureDetector()
        self._unforwarded: list[PackedObservation] = []

    # -- of this VM -----------------------------------------------------------

    def take_own(self) -> list[PackedObservation]:
        """Return this VM's observations that it has not reported yet."""
        now = self._now()
        found: list[PackedObservation] = []
        for upstream in self._directory.by_id.values():
            if upstream.unreported_broken_calls:
                age = now - upstream.broken_at
                found.append(
                    (
                        upstream.incarnation,
                        age,
                        upstream.unreported_broken_calls,
                    )
                )
                upstream.unreported_broken_calls = 0
            elif upstream.contradicts_suspicion:
                age = now - upstream.answered_at
                found.append((upstream.incarnation, age, 0))
        return found

    def apply(self, suspects: Iterable[Suspect]) -> None:
        """Mark exactly these upstreams as suspected, all others as trusted."""
        now = self._now()
        age_by_upstream = dict(suspects)
        for upstream in self._directory.by_id.values():
            age = age_by_upstream.get(upstream.incarnation)
            if age is not None:
                upstream.suspect(now - age)
            else:
                upstream.clear_suspicion()

    # -- of the collector -----------------------------------------------------

    def collect(
        self, observations: Iterable[PackedObservation], is_data_center: bool
    ) -> None:
        """Add the observations of a VM, or those forwarded by a collector."""
        now = self._now()
        for packed in observations:
            self._detector.add(upstreams.UpstreamObservation(*packed), now)
            if not is_data_center:
                self._unforwarded.append(packed)

    def suspects(self) -> list[Suspect]:
        """Return the suspected upstreams."""
        now = self._now()
        return [
            (upstream, now - broken_at)
            for upstream, broken_at in self._detector.suspects(now).items()
        ]

    def take_unforwarded(self) -> list[PackedObservation]:
        """Return what VMs of this data centre reported since the last call."""
        found, self._unforwarded = self._unforwarded, []
        return found
