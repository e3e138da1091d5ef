"""Urgency and admission policies under more load than engines can carry."""

import dataclasses
import statistics

from postspring.measuring import burst
from postspring import scheduling
from postspring.testing import load

__all__ = ["LOADS", "measure_overload", "play_overload"]

VMS = 21
ENGINES = 8
# Rate of programs as a share of that for the 23 engines of burst.KINDS.
SCALE = ENGINES / burst.ENGINES
# Share of the programs by rank.
SHARE_BY_RANK = {0: 0.3, 1: 0.7}
WORKSPACES = 24
# Settings of each load, and how many times as many programs there are.
LOADS: dict[str, tuple[dict, float]] = {
    "burst": ({"burst": (2.0, 8.0, 2.3)}, 1.0),
    "hot_workspace": ({"burst": (0, 0, 1), "hot": (2.0, 8.0, 1.3)}, 1.0),
    "both": ({"burst": (2.0, 8.0, 1.7), "hot": (2.0, 8.0, 1.0)}, 1.0),
    "power_loss": (
        {"burst": (0, 0, 1), "power_loss": (4.0, 1.0), "seconds": 65.0},
        1.4,
    ),
}
POLICIES = (
    ("none", "none"),
    ("rank", "none"),
    ("slack", "none"),
    ("none", "deadline"),
    ("slack", "deadline"),
)


def play_overload(
    name: str,
    seed: int,
    urgency: str = "none",
    admission: str = "none",
    retry_moves: float = 0.5,
) -> load.LoadReport:
    """Play one of the loads.

    Parameters
    ----------
    retry_moves : float
        Share of refused first turns that come again through another VM.
    """
    settings, rate = LOADS[name]
    shape = load.WorldShape(
        VMS,
        ENGINES,
        exchange=0.2,
        shares=burst.SHARES,
        workspaces=WORKSPACES,
        urgency=urgency,
        admission=admission,
        retry_moves=retry_moves,
        **settings,
    )
    kinds = [
        dataclasses.replace(
            kind,
            name=f"{kind.name}{rank}",
            per_second=kind.per_second * SCALE * rate * share,
            rank=rank,
        )
        for rank, share in SHARE_BY_RANK.items()
        for kind in burst.KINDS
    ]
    make = scheduling.placement_by_name["shared_affinity"]
    return load.LoadWorld(shape, kinds, make, seed).play()


def measure_overload(
    name: str = "", seeds: int = 5, retry_moves: float = 0.5
) -> None:
    """Print how each pair of policies does under each load.

    Parameters
    ----------
    name : str
        The only load to play; all if empty.
    retry_moves : float
        Share of refused first turns that come again through another VM.
    """
    print("load, urgency, admission: programs on time (each seed; mean)")
    for load_name in [name] if name else LOADS:
        for urgency, admission in POLICIES:
            reports = [
                play_overload(
                    load_name, seed + 1, urgency, admission, retry_moves
                )
                for seed in range(seeds)
            ]
            _print(f"{load_name}, {urgency}, {admission}", reports)


def _print(title: str, reports: list[load.LoadReport]) -> None:
    on_time = [report.on_time for report in reports]

    def mean(name: str) -> float:
        return statistics.mean(getattr(report, name) for report in reports)

    print(
        f"{title}:",
        *(f"{share:.3f}" for share in on_time),
        f"; {statistics.mean(on_time):.3f}, ended {mean('ended'):.3f},"
        f" p95 {mean('worst_latency'):.2f},"
        f" refused {mean('refused'):.0f},"
        f" preempted {mean('preempted'):.0f}",
        flush=True,
    )
