"""Plans of a run: what is done to whom and when, drawn from a seed."""

import dataclasses
import enum
import random

__all__ = ["Action", "PROFILES", "Profile", "Step", "draw_plan"]


class Action(enum.StrEnum):
    """What a step does."""

    STOP = "stop"
    RELOAD = "reload"
    CONFIGURE = "configure"
    KILL = "kill"
    PAUSE = "pause"
    STORE = "store"


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One step of a plan; times in seconds from the beginning.

    Parameters
    ==========

    vm : int
        Number of the VM, for steps that concern one.
    seconds : float
        How long it lasts, where it lasts.
    faults : dict
        What the store is told, for its steps.
    """

    at: float
    action: Action
    vm: int = 0
    seconds: float = 0.0
    faults: dict = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Profile:
    """How often what happens; means in seconds, 0 for never.

    Parameters
    ==========

    stops : float
        From the end of one series of stops to the beginning of the next.
    final : float
        So long before the end all VMs are killed at once; nothing is done
        after that.
    leaves : float
        From an upstream's start until it leaves.
    crashes : float
        From one request that crashes upstreams to the next.
    breaks : float
        From one burst of requests whose answers are broken off to the next.
    endless : float
        From one burst of requests whose answers have no end to the next.
    """

    stops: float = 0.0
    reloads: float = 0.0
    configures: float = 0.0
    kills: float = 0.0
    pauses: float = 0.0
    store: float = 0.0
    final: float = 0.0
    leaves: float = 0.0
    crashes: float = 0.0
    breaks: float = 0.0
    endless: float = 0.0


PROFILES = {
    "quiet": Profile(),
    "stops": Profile(stops=3.0, reloads=15.0, configures=20.0),
    "outages": Profile(stops=4.0, store=6.0),
    "mixed": Profile(
        stops=6.0,
        reloads=20.0,
        configures=25.0,
        kills=12.0,
        pauses=10.0,
        store=12.0,
    ),
    "herds": Profile(kills=6.0, store=8.0),
    "leaves": Profile(stops=12.0, store=5.0, leaves=10.0),
    "crashes": Profile(reloads=10.0, configures=15.0, crashes=4.0),
    "breaks": Profile(stops=6.0, kills=15.0, pauses=10.0, breaks=0.7),
    "endless": Profile(stops=8.0, kills=20.0, reloads=8.0, endless=3.0),
    "final": Profile(stops=6.0, store=8.0, final=25.0),
}
# Nothing is done before this, nor in the last seconds.
CALM_SECONDS = 4.0
LAST_SECONDS = 10.0
# Pauses between the stops of a series: one after the other, overlapping, at
# once; seconds.
SERIES_PAUSES = ((4.5, 6.0), (0.5, 3.5), (0.0, 0.1))
# The final fault comes right after the acknowledgement of a configuration.
ACKNOWLEDGED_SECONDS = 0.05
PAUSE_SECONDS = (0.3, 3.0)
STORE_SECONDS = (0.5, 8.0)
STORE_FAULTS = (
    {"slow": 60.0},
    {"slow": 10.0, "tail": True},
    {"refuse": 503},
    {"silent": True},
    {"lose_answers": 40},
)


def draw_plan(
    seed: int, profile: Profile, seconds: float, vms: int
) -> list[Step]:
    """Return the steps in their order."""
    draw = random.Random(seed)
    last = seconds - max(LAST_SECONDS, profile.final)
    steps = _series(draw, profile.stops, last, vms)
    for action, mean in (
        (Action.RELOAD, profile.reloads),
        (Action.CONFIGURE, profile.configures),
        (Action.KILL, profile.kills),
        (Action.PAUSE, profile.pauses),
        (Action.STORE, profile.store),
    ):
        at = CALM_SECONDS
        while mean and (at := at + draw.expovariate(1 / mean)) < last:
            steps.extend(_single(draw, action, at, vms))
    if profile.final:
        steps = [step for step in steps if step.at < last - STORE_SECONDS[1]]
        steps.append(Step(last - ACKNOWLEDGED_SECONDS, Action.CONFIGURE))
        steps.extend(Step(last, Action.KILL, vm) for vm in range(vms))
    return sorted(steps, key=lambda step: step.at)


def _series(draw, mean: float, last: float, vms: int) -> list[Step]:
    """Return series of stops: single ones, rolls, overlapping ones."""
    steps = []
    at = CALM_SECONDS
    while mean and (at := at + draw.expovariate(1 / mean)) < last:
        count = draw.choice((1, 2, 3, vms // 2, vms))
        pauses = draw.choice(SERIES_PAUSES)
        order = draw.sample(range(vms), max(1, min(count, vms)))
        if pauses == SERIES_PAUSES[-1]:
            # More at once would leave callers nobody to turn to.
            order = order[: max(1, vms // 3)]
        for vm in order:
            if at < last:
                steps.append(Step(at, Action.STOP, vm))
            at += draw.uniform(*pauses)
    return steps


def _single(draw, action: Action, at: float, vms: int) -> list[Step]:
    if action is Action.PAUSE:
        seconds = draw.uniform(*PAUSE_SECONDS)
        return [Step(at, action, draw.randrange(vms), seconds)]
    if action is Action.STORE:
        faults = draw.choice(STORE_FAULTS)
        return [Step(at, action, 0, draw.uniform(*STORE_SECONDS), faults)]
    count = 1
    if action is Action.KILL:
        # one alone most often, or many at the same moment
        count = draw.choice((1, 1, 2, max(1, vms // 2), vms))
    return [Step(at, action, vm) for vm in draw.sample(range(vms), count)]
