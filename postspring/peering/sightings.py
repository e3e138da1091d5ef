"""Upstreams that are probably dead, told along with the loads.

A VM tells the collector of its data centre of calls that broke.  Collectors
tell each other, and their VMs what is suspected; a VM that has heard from a
suspected upstream since says so with its next report, 0.2 s later.
"""

from collections.abc import Callable
from collections.abc import Iterable

from postspring import upstreams

__all__ = ["Sightings"]

# Incarnation, seconds since then, broken calls; see messages.LoadsReport.
PackedSighting = tuple[str, float, int]
# Incarnation, and seconds since calls last broke there.
Suspect = tuple[str, float]


class Sightings:
    """What this VM saw of upstreams, and as collector what others saw.

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
        self._board = upstreams.SuspicionBoard()
        self._to_pass_on: list[PackedSighting] = []

    # -- of this VM -----------------------------------------------------------

    def own(self) -> list[PackedSighting]:
        """Return what this VM saw that it has not told yet."""
        now = self._now()
        found: list[PackedSighting] = []
        for upstream in self._directory.by_id.values():
            if upstream.untold_breaks:
                age = now - upstream.broken_at
                found.append(
                    (upstream.incarnation, age, upstream.untold_breaks)
                )
                upstream.untold_breaks = 0
            elif upstream.contradicts_suspicion:
                age = now - upstream.answered_at
                found.append((upstream.incarnation, age, 0))
        return found

    def heed(self, suspects: Iterable[Suspect]) -> None:
        """Leave suspected upstreams alone, and no others."""
        now = self._now()
        age_by_upstream = dict(suspects)
        for upstream in self._directory.by_id.values():
            age = age_by_upstream.get(upstream.incarnation)
            if age is not None:
                upstream.suspect(now - age)
            else:
                upstream.trust()

    # -- of the collector -----------------------------------------------------

    def collect(
        self, sightings: Iterable[PackedSighting], is_data_center: bool
    ) -> None:
        """Take what a VM saw, or what another collector passes on."""
        now = self._now()
        for packed in sightings:
            self._board.take(upstreams.Sighting(*packed), now)
            if not is_data_center:
                self._to_pass_on.append(packed)

    def suspects(self) -> list[Suspect]:
        """Return the suspected upstreams."""
        now = self._now()
        return [
            (upstream, now - broken_at)
            for upstream, broken_at in self._board.suspects(now).items()
        ]

    def to_pass_on(self) -> list[PackedSighting]:
        """Return what VMs of this data centre saw since the last time."""
        found, self._to_pass_on = self._to_pass_on, []
        return found
