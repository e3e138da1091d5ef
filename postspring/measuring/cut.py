"""What a data centre that is cut off goes on serving, in virtual time."""

import collections
import logging

from postspring.testing import virtual

__all__ = ["measure_cut"]


def measure_cut(
    programs: int = 10,
    seconds: float = 60.0,
    seeds: int = 5,
    ahead: tuple = (2, 4, 8, 16),
) -> None:
    """Share of calls that are answered at once in a cut-off data centre.

    Each program issues model and tool calls in turn, each asked once, for
    that many virtual seconds after its data centre was cut from the
    platform and from the others.
    """
    logging.disable(logging.CRITICAL)
    for calls_ahead in ahead:
        print(f"calls_ahead {calls_ahead}:")
        _measure(programs, seconds, seeds, calls_ahead)


def _measure(
    programs: int, seconds: float, seeds: int, calls_ahead: int
) -> None:
    told: dict[str, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    for seed in range(1, seeds + 1):
        world = virtual.World({"rimac": 2, "surco": 2}, seed)
        document = world.document(["rimac", "surco"], calls_ahead)
        world.platform.publish("ahead", document)
        world.run_for(3)
        callers = [
            world.create(f"p{number}", "surco-1") for number in range(programs)
        ]
        for caller in callers:
            caller.call("model", f"first-{caller.program}")
        world.run_until(
            lambda: all(caller.idle for caller in callers), 60, "first calls"
        )
        for side in ("platform", "rimac"):
            world.network.cut("surco", side)
        world.network.cut("callers", "rimac")
        world.run_for(3)
        end = world.clock.now + seconds
        before = [len(caller.outcomes) for caller in callers]
        while world.clock.now < end:
            for caller in callers:
                if caller.idle:
                    number = len(caller.outcomes)
                    kind = "model" if number % 2 else "tool"
                    caller.call(kind, f"{caller.program}-{number}", once=True)
            world.run_for(2)
        for caller, first in zip(callers, before):
            for outcome in caller.outcomes[first:]:
                told[outcome.kind][outcome.told + _held(outcome)] += 1
    for kind, counts in sorted(told.items()):
        total = sum(counts.values())
        shares = ", ".join(
            f"{name} {100 * count / total:.0f}%"
            for name, count in counts.most_common()
        )
        print(f"  {kind}: {total} calls: {shares}")


def _held(outcome) -> str:
    return " (held)" if outcome.held else ""
