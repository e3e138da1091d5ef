"""What was done in a run, and when each thing was under way."""

import dataclasses
import json
import pathlib

from postspring.testing.soak import plan as plan_module

__all__ = ["Event", "History", "load_events"]


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A step that was done; times are monotonic seconds.

    Parameters
    ==========

    action : str
        Of the plan, or ``own_end`` for a process that ended by itself.
    until : float
        When it was over, or acknowledged; the same as ``at`` if at once.
    status : int
        Exit status, where a process ended.
    """

    at: float
    action: str
    vm: str = ""
    until: float = 0.0
    status: int | None = None


def load_events(path: pathlib.Path) -> list[Event]:
    """Read the events of a run."""
    lines = path.read_text().splitlines()
    return [Event(**json.loads(line)) for line in lines]


_UNPLANNED = frozenset(
    {
        plan_module.Action.KILL.value,
        plan_module.Action.PAUSE.value,
        plan_module.Action.STORE.value,
        "own_end",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """Answers what was under way; bounds in seconds.

    Parameters
    ==========

    grace : float
        From SIGTERM to SIGKILL.
    stability : float
        For so long after a disruption nothing is judged.
    configuration : float
        Within this a configuration, or new settings, are in force.
    recovery : float
        Within this all is served again after the final fault.
    """

    events: list[Event]
    grace: float = 8.0
    stability: float = 3.0
    configuration: float = 2.0
    recovery: float = 12.0

    def stop_of(self, vm: str, at: float) -> Event | None:
        """Return the stop that was under way at a VM."""
        for event in self.events:
            if event.action != plan_module.Action.STOP or event.vm != vm:
                continue
            if event.at <= at <= event.at + self.grace + 1:
                return event
        return None

    def stop_seconds(self) -> list[float]:
        """Return how long each stop took, from the signal to the end."""
        return [
            event.at - max(self._stops_before(event))
            for event in self.events
            if event.action == "stopped"
        ]

    def _stops_before(self, ended: Event) -> list[float]:
        return [
            event.at
            for event in self.events
            if event.action == plan_module.Action.STOP
            and event.vm == ended.vm
            and event.at <= ended.at
        ]

    def planned_work(self, vm: str, sent: float, ended: float) -> str:
        """Name the planned work around a request that ended, or nothing."""
        if self.stop_of(vm, ended) is not None:
            return "stop"
        for event in self.events:
            if event.action == plan_module.Action.RELOAD and event.vm == vm:
                is_sent = sent <= event.at + self.configuration
                if is_sent and event.at <= ended:
                    return "reload"
            elif event.action == plan_module.Action.CONFIGURE:
                over = event.until + self.configuration + 1
                if event.at <= ended <= over:
                    return "configuration"
        return ""

    def final_fault(self) -> float:
        """Return when all VMs were killed for the last time; 0 for never."""
        kills = [e for e in self.events if e.action == plan_module.Action.KILL]
        names = {e.vm for e in self.events if e.vm}
        for event in reversed(kills):
            together = {
                kill.vm for kill in kills if 0 <= event.at - kill.at < 1
            }
            if together == names:
                return event.at
        return 0.0

    def is_disturbed(
        self, begin: float, end: float, stability: float | None = None
    ) -> bool:
        """Whether anything unplanned was going on, or had been lately.

        Parameters
        ----------
        stability : float, optional
            In place of the deployment's; seconds.
        """
        if stability is None:
            stability = self.stability
        return any(
            event.at <= end and max(event.at, event.until) + stability >= begin
            for event in self.events
            if event.action in _UNPLANNED
        )

    def is_in_touch(self, vm: str, at: float) -> bool:
        """Whether rules with a time bound hold for a VM."""
        if self.is_disturbed(at, at):
            return False
        return not any(
            event.at <= at <= max(event.at, event.until) + self.stability
            for event in self.events
            if event.vm == vm
        )
