"""What a load world consists of, and what came of it."""

import dataclasses
import math

from postspring.testing.load import engine as engine_module
from postspring.testing.load import unevenness as unevenness_module

__all__ = ["LoadReport", "WorldShape"]


@dataclasses.dataclass(frozen=True, slots=True)
class WorldShape:
    """How many of what, and for how long.

    Parameters
    ==========

    moves : float
        Share of turns that come through another VM than the one before.
    crosses : float
        Share of turns that come through another data centre.
    shares : tuple of float
        Share of the programs that begin in each data centre; evenly if
        there are none.
    slow : dict
        Number of an engine that is slow, and how many times.
    burst : tuple of (float, float, float)
        From when to when there are how many times as many programs.
    exchange : float or None
        Seconds between two exchanges of loads among the VMs.
    urgency, admission : str
        Names of the VMs' policies.
    workspaces : int
        Workspaces of the callers.
    hot : tuple of (float, float, float)
        From when to when one workspace has, in addition, how many times as
        many programs as all others have on average.
    power_loss : tuple of (float, float) or None
        When all VMs lose power, and for how many seconds.
    retry_moves : float
        Share of refused first turns that come again through another VM.
    exchange_ends : float
        When the VMs stop to exchange loads.
    unevenness : Unevenness
        How the speed of engines differs, beside ``slow``.
    swing : DemandSwing
        How the demand of data centres swings.
    """

    vms: int
    engines: int
    data_centers: int = 3
    engine: engine_module.EngineShape = engine_module.EngineShape()
    moves: float = 0.5
    crosses: float = 0.1
    shares: tuple[float, ...] = ()
    slow: dict[int, float] = dataclasses.field(default_factory=dict)
    seconds: float = 12.0
    burst: tuple[float, float, float] = (2.0, 8.0, 2.0)
    exchange: float | None = None
    urgency: str = "none"
    admission: str = "none"
    workspaces: int = 1
    hot: tuple[float, float, float] = (0.0, 0.0, 0.0)
    power_loss: tuple[float, float] | None = None
    retry_moves: float = 0.5
    exchange_ends: float = math.inf
    unevenness: unevenness_module.Unevenness = unevenness_module.Unevenness(
        factor=1.0, slow_share=0.0
    )
    swing: unevenness_module.DemandSwing = unevenness_module.DemandSwing()


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What came of the programs.

    Parameters
    ==========

    on_time : float
        Share of programs within their aim, weighted by kind.
    latency : float
        Median of latency over time on idle engines.
    worst_latency : float
        Its 95th percentile.
    read : int
        Prompt tokens that engines read.
    turned_away : int
        Requests that met a full queue.
    ended : float
        Share of programs that ended at all, late ones included, weighted.
    refused : int
        First turns that admission control refused.
    preempted : int
        Requests that made room for more urgent ones.
    """

    on_time: float
    latency: float
    worst_latency: float
    read: int
    turned_away: int
    ended: float = 1.0
    refused: int = 0
    preempted: int = 0
