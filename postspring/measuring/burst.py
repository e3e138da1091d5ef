"""Placement policies in a burst of agent programs, in virtual time."""

import statistics

from postspring import scheduling
from postspring.testing import load

__all__ = ["measure_burst"]

# Short programs that carry their conversation, and long ones, before 23
# engines of 8 places: the load that the policies are compared on.
KINDS = [
    load.ProgramKind("short", 32.8, 3, 654, 73, 0.05, 1.4, 0.253),
    load.ProgramKind("long", 8.45, 9, 327, 73, 0.15, 1.5, 0.253),
]
SHARES = (10.5, 11.5, 8.5)
ENGINES = 23


def play_burst(
    policy: str,
    seed: int,
    vms: int = 66,
    exchange: float | None = 0.2,
    burst: float = 1.7,
) -> load.LoadReport:
    """Play one burst of 6 s in 12 s.

    Parameters
    ----------
    exchange : float or None
        Seconds between two exchanges of loads among the VMs.
    burst : float
        How many times as many programs come.
    """
    shape = load.WorldShape(
        vms,
        ENGINES,
        exchange=exchange,
        burst=(2.0, 8.0, burst),
        shares=SHARES,
    )
    make = scheduling.placement_by_name[policy]
    return load.LoadWorld(shape, KINDS, make, seed).play()


def measure_burst(
    vms: int = 66,
    burst: float = 1.7,
    seeds: int = 4,
    exchange: float | None = 0.2,
) -> None:
    """Print how each policy does: programs on time, latency, tokens read.

    Parameters
    ----------
    seeds : int
        Plays of each policy.
    """
    print("policy, programs on time (least, mean), latency over idle time")
    for policy in scheduling.placement_by_name:
        reports = [
            play_burst(policy, seed + 1, vms, exchange, burst)
            for seed in range(seeds)
        ]
        on_time = [report.on_time for report in reports]
        median = statistics.mean(report.latency for report in reports)
        worst = statistics.mean(report.worst_latency for report in reports)
        read = statistics.mean(report.read for report in reports)
        print(
            f"{policy:16} {min(on_time):.3f} {statistics.mean(on_time):.3f}"
            f"  {median:.2f}, p95 {worst:.2f}; {read / 1e6:.2f} M tokens read",
            flush=True,
        )
