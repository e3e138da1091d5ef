"""Three ways to keep a limit over many VMs, under the same calls."""

import abc
import collections
import dataclasses
import random

from postspring import quotas
from postspring import workspaces

__all__ = ["WAYS", "DealtPermits", "EqualShares", "Load", "ToldCounts", "play"]

SPAN = 5.0
SECONDS = 30.0
PLACES = 3
START = 100.0
TICK = 0.2
# The loads' exchange tells counts this late, in seconds.
TOLD_AFTER = 0.4


@dataclasses.dataclass(frozen=True)
class Load:
    """Calls of one workspace.

    Parameters
    ==========

    rate : float
        Limit, requests a second; as many on top.
    share : float
        Of the limit's rate that callers send in the mean.
    lump : int
        Calls that come together, at one VM.
    """

    rate: float
    share: float
    lump: int = 3

    @property
    def limit(self):
        """The workspace's limit."""
        return workspaces.RateLimit(self.rate, self.rate)

    @property
    def most(self):
        """Most requests in a span."""
        return self.rate * (SPAN + 1.0)


class Way(abc.ABC):
    """Decides on calls at many VMs."""

    # Messages that a decision costs in the mean.
    messages = 0

    def __init__(self, load, vms):
        self.load = load
        self.vms = vms

    @abc.abstractmethod
    def allows(self, vm, now):
        """Return whether a call may run."""


class EqualShares(Way):
    """Each VM has the same part of the limit; nothing is told."""

    def __init__(self, load, vms):
        super().__init__(load, vms)
        self._windows = [quotas.SlidingWindow(SPAN) for _ in range(vms)]

    def allows(self, vm, now):
        """Look at this VM's own calls."""
        window = self._windows[vm]
        if window.count(now) + 1 > max(1, self.load.most // self.vms):
            return False
        window.add([now])
        return True


class ToldCounts(Way):
    """Each VM knows its own calls, and those of the others a little later."""

    def __init__(self, load, vms):
        super().__init__(load, vms)
        self._own = [quotas.SlidingWindow(SPAN) for _ in range(vms)]
        self._told = quotas.SlidingWindow(SPAN)
        self._late = collections.deque()

    def allows(self, vm, now):
        """Look at what was told until now."""
        while self._late and self._late[0] <= now - TOLD_AFTER:
            self._told.add([self._late.popleft()])
        known = self._told.count(now)
        own = sum(at > now - TOLD_AFTER for at in self._own[vm]._times)
        if known + own + 1 > self.load.most:
            return False
        self._own[vm].add([now])
        self._late.append(now)
        return True


class DealtPermits(Way):
    """A dealer of each data centre; the others if that one has none."""

    def __init__(self, load, vms):
        super().__init__(load, vms)
        self._now = START
        self._dealers = [
            quotas.Dealer(PLACES, SPAN, lambda: self._now, lambda: 60.0)
            for _ in range(PLACES)
        ]
        name = workspaces.WorkspaceName("w")
        self._workspace = workspaces.Workspace(name, None, load.limit)

    def allows(self, vm, now):
        """Ask the own data centre's dealer first."""
        self._run_until(now)
        for step in range(PLACES):
            dealer = self._dealers[(vm + step) % PLACES]
            self.messages += 1
            deal = dealer.ask(
                self._workspace, quotas.Use.PLAIN_CALL, is_first=True
            )
            if deal.state is quotas.DealState.GRANTED:
                return True
        return False

    def _run_until(self, now):
        while self._now < now:
            self._now = min(now, self._now + TICK)
            for dealer in self._dealers:
                dealer.tick()


WAYS = (EqualShares, ToldCounts, DealtPermits)


@dataclasses.dataclass
class Outcome:
    """What came of a way.

    Parameters
    ==========

    stranded : float
        Calls that were refused below the limit, of all that were below it.
    excess : float
        Calls in the fullest span, of the most that are allowed.
    """

    stranded: float
    excess: float
    messages: float


def play(way_type, load, vms=66, seed=1):
    """Return what a way makes of a load."""
    draw = random.Random(seed)
    way = way_type(load, vms)
    granted = quotas.SlidingWindow(SPAN)
    now, calls, owed, stranded, fullest = START, 0, 0, 0, 0
    lumps_a_second = load.rate * load.share / load.lump
    end = START + SECONDS
    while now < end:
        now += draw.expovariate(lumps_a_second)
        vm = draw.randrange(vms)
        for _ in range(load.lump):
            calls += 1
            below = granted.count(now) + 1 <= load.most
            owed += below
            if way.allows(vm, now):
                granted.add([now])
            else:
                stranded += below
            fullest = max(fullest, granted.count(now))
    return Outcome(
        stranded / max(1, owed), fullest / load.most, way.messages / calls
    )
