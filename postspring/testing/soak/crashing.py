"""Requests under which upstreams crash, and what is judged of them."""

import asyncio
import collections
from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import time

from postspring.testing.soak import callers
from postspring.testing.soak import records

__all__ = ["CRASHED", "crashes_by_work", "is_crashing", "send_crashing"]

# How a run's line tells that it has crashed its upstream.
CRASHED = "crashed"
PATH = "crash"
# How often a request is sent again, with new ids, and after how long.
SENDS = 6
AGAIN_SECONDS = (0.0, 0.4)
# Before this VMs may not have read of each other; they list each other every
# five seconds.
CALM_SECONDS = 6.0
DEADLINE_SECONDS = 2.0
_numbers = itertools.count(1)


def is_crashing(target: str) -> bool:
    """Return whether a request crashes the upstream that runs it."""
    return target.endswith(f"/{PATH}")


async def send_crashing(
    caller: callers.Caller, places: list[str], mean: float, until: float
) -> None:
    """Send one request that crashes upstreams after another, each often.

    Parameters
    ----------
    mean : float
        Seconds from one request to the next, in the mean.
    """
    draw = caller.draw
    await asyncio.sleep(CALM_SECONDS)
    while True:
        await asyncio.sleep(draw.expovariate(1 / mean))
        if time.monotonic() > until:
            return
        is_safe = draw.random() < 0.5
        work = f"crash-{next(_numbers)}"
        for _ in range(SENDS):
            request = callers.Request(
                work=work,
                kind=records.Kind.SAFE if is_safe else records.Kind.UNSAFE,
                method="POST",
                target=f"/{'safe' if is_safe else 'once'}/{PATH}",
                headers={},
                deadline=DEADLINE_SECONDS,
                body=work.encode(),
            )
            await caller.make(request, draw.choice(places))
            await asyncio.sleep(draw.uniform(*AGAIN_SECONDS))


def crashes_by_work(
    attempts: Iterable[records.Attempt], runs: Iterable[records.Run]
) -> Iterator[tuple[str, list[str]]]:
    """Return each request with the upstreams that have crashed under it."""
    work_by_id = {attempt.id: attempt.work for attempt in attempts}
    found = collections.defaultdict(set)
    for run in runs:
        if run.end == CRASHED and run.id in work_by_id:
            found[work_by_id[run.id]].add(run.upstream)
    for work, crashed in found.items():
        yield work, sorted(crashed)
