"""Placement policies before uneven and even engines, in virtual time."""

import dataclasses
import statistics

from postspring.measuring import burst
from postspring import scheduling
from postspring.testing import load

__all__ = ["measure_uneven", "play_even", "play_silent", "play_uneven"]

VMS = 27
ENGINES = 24
EXCHANGE_SECONDS = 0.2
# A data centre's share of the programs varies by this part around its mean.
SWING = 0.55
# Load of the comparison with even engines, as a multiple of the usual one: at
# the usual one nearly all programs are on time with either policy.
EVEN_LOAD = 1.4
# From when to when one engine stands still, in seconds.
SILENCE = (2.0, 5.0)


def play_uneven(policy: str, seed: int, scale: float = 1.0) -> load.LoadReport:
    """Play 12 s before engines of different speed with slow periods."""
    return _play(
        policy,
        seed,
        scale,
        unevenness=load.Unevenness(),
        swing=load.DemandSwing(SWING),
    )


def play_even(
    policy: str, seed: int, scale: float = EVEN_LOAD
) -> load.LoadReport:
    """Play 12 s before engines of the same speed."""
    return _play(policy, seed, scale)


def play_silent(policy: str, seed: int, scale: float = 1.0) -> load.LoadReport:
    """Play 12 s in which an engine falls silent in the middle of streams.

    The exchange of loads among the VMs ends at the same time.
    """
    unevenness = load.Unevenness(
        factor=1.0, slow_share=0.0, silent={0: SILENCE}
    )
    return _play(
        policy,
        seed,
        scale,
        unevenness=unevenness,
        exchange_ends=SILENCE[0],
    )


PLAYS = {"uneven": play_uneven, "even": play_even, "silent": play_silent}


def measure_uneven(
    seeds: int = 5,
    scale: float | None = None,
    policies: str = "shared_affinity,least_load,expected_wait",
    plays: str = "uneven,even,silent",
) -> None:
    """Print the share of programs on time of each policy and load.

    Parameters
    ----------
    seeds : int
        Plays of each policy.
    scale : float, optional
        Load as a multiple of the usual one; each play has a default.
    policies, plays : str
        Names, separated by commas.
    """
    print("load, policy, on time by seed, mean, latency over idle time")
    options = {} if scale is None else {"scale": scale}
    for name in _names(plays):
        for policy in _names(policies):
            reports = [
                PLAYS[name](policy, seed + 1, **options)
                for seed in range(seeds)
            ]
            on_time = [report.on_time for report in reports]
            median = statistics.mean(report.latency for report in reports)
            worst = statistics.mean(report.worst_latency for report in reports)
            read = statistics.mean(report.read for report in reports)
            print(
                f"{name:7} {policy:16}",
                " ".join(f"{share:.3f}" for share in on_time),
                f" mean {statistics.mean(on_time):.3f}  {median:.2f},",
                f"p95 {worst:.2f}; {read / 1e6:.2f} M tokens read",
                flush=True,
            )


def _names(text: str | tuple[str, ...]) -> list[str]:
    """Return names; the command line turns a list into a tuple."""
    return text.split(",") if isinstance(text, str) else list(text)


def _play(policy: str, seed: int, scale: float, **traits) -> load.LoadReport:
    kinds = [
        dataclasses.replace(kind, per_second=kind.per_second * scale)
        for kind in burst.KINDS
    ]
    shape = load.WorldShape(
        VMS,
        ENGINES,
        exchange=EXCHANGE_SECONDS,
        burst=(0.0, 0.0, 1.0),
        **traits,
    )
    make = scheduling.placement_by_name[policy]
    return load.LoadWorld(shape, kinds, make, seed).play()
