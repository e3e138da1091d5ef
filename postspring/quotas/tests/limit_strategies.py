"""Three strategies to enforce a limit on many VMs, with the same calls."""

import abc
import collections
import dataclasses
import random

from postspring import quotas
from postspring import workspaces

__all__ = [
    "STRATEGIES",
    "AllocatedPermits",
    "EqualShares",
    "ExchangedCounts",
    "Load",
    "play",
]

SPAN_SECONDS = 5.0
DURATION_SECONDS = 30.0
DATA_CENTERS = 3
START_TIME = 100.0
TICK_SECONDS = 0.2
# Delay of counts in the exchange of loads among VMs.
EXCHANGE_DELAY_SECONDS = 0.4


@dataclasses.dataclass(frozen=True)
class Load:
    """Calls of one workspace.

    Parameters
    ==========

    rate : float
        Rate of the limit in requests per second, and its burst in requests.
    share : float
        Average rate of calls, as a share of the limit's rate.
    burst_size : int
        Calls that arrive at the same time at one VM.
    """

    rate: float
    share: float
    burst_size: int = 3

    @property
    def limit(self):
        """The workspace's limit."""
        return workspaces.RateLimit(self.rate, self.rate)

    @property
    def max_permits(self):
        """Maximum number of requests in a span."""
        return self.rate * (SPAN_SECONDS + 1.0)


class LimitStrategy(abc.ABC):
    """Decides at each of many VMs whether a call may run."""

    # Messages for all decisions so far.
    messages = 0

    def __init__(self, load, vms):
        self.load = load
        self.vms = vms

    @abc.abstractmethod
    def allows(self, vm, now):
        """Return whether a call may run."""


class EqualShares(LimitStrategy):
    """Each VM has the same part of the limit, without messages."""

    def __init__(self, load, vms):
        super().__init__(load, vms)
        self._windows = [
            quotas.SlidingWindow(SPAN_SECONDS) for _ in range(vms)
        ]

    def allows(self, vm, now):
        """Compare the VM's own calls with its part."""
        window = self._windows[vm]
        if window.count(now) + 1 > max(1, self.load.max_permits // self.vms):
            return False
        window.add([now])
        return True


class ExchangedCounts(LimitStrategy):
    """Each VM counts its own calls, and those of others with a delay."""

    def __init__(self, load, vms):
        super().__init__(load, vms)
        self._own = [quotas.SlidingWindow(SPAN_SECONDS) for _ in range(vms)]
        self._reported = quotas.SlidingWindow(SPAN_SECONDS)
        self._unreported = collections.deque()

    def allows(self, vm, now):
        """Compare the counts known so far with the whole limit."""
        while (
            self._unreported
            and self._unreported[0] <= now - EXCHANGE_DELAY_SECONDS
        ):
            self._reported.add([self._unreported.popleft()])
        known = self._reported.count(now)
        own = sum(
            at > now - EXCHANGE_DELAY_SECONDS for at in self._own[vm]._times
        )
        if known + own + 1 > self.load.max_permits:
            return False
        self._own[vm].add([now])
        self._unreported.append(now)
        return True


class AllocatedPermits(LimitStrategy):
    """One allocator for each data centre, asked in turn for a permit."""

    def __init__(self, load, vms):
        super().__init__(load, vms)
        self._now = START_TIME
        self._allocators = [
            quotas.QuotaAllocator(
                DATA_CENTERS, SPAN_SECONDS, lambda: self._now, lambda: 60.0
            )
            for _ in range(DATA_CENTERS)
        ]
        name = workspaces.WorkspaceName("w")
        self._workspace = workspaces.Workspace(name, None, load.limit)

    def allows(self, vm, now):
        """Ask the allocator of the VM's own data centre first."""
        self._run_until(now)
        for offset in range(DATA_CENTERS):
            allocator = self._allocators[(vm + offset) % DATA_CENTERS]
            self.messages += 1
            decision = allocator.request_permit(
                self._workspace, quotas.PermitUse.PLAIN_CALL, is_first=True
            )
            if decision.state is quotas.PermitState.GRANTED:
                return True
        return False

    def _run_until(self, now):
        while self._now < now:
            self._now = min(now, self._now + TICK_SECONDS)
            for allocator in self._allocators:
                allocator.tick()


STRATEGIES = (EqualShares, ExchangedCounts, AllocatedPermits)


@dataclasses.dataclass
class Outcome:
    """The result of a strategy.

    Parameters
    ==========

    stranded : float
        Share of refused calls among those that fitted the limit.
    excess : float
        Calls in the fullest span, as a multiple of the maximum.
    messages : float
        Messages for each call.
    """

    stranded: float
    excess: float
    messages: float


def play(strategy_type, load, vms=66, seed=1):
    """Return the outcome of a strategy under a load."""
    rng = random.Random(seed)
    strategy = strategy_type(load, vms)
    granted = quotas.SlidingWindow(SPAN_SECONDS)
    now, calls, grantable, stranded, fullest = START_TIME, 0, 0, 0, 0
    bursts_per_second = load.rate * load.share / load.burst_size
    end = START_TIME + DURATION_SECONDS
    while now < end:
        now += rng.expovariate(bursts_per_second)
        vm = rng.randrange(vms)
        for _ in range(load.burst_size):
            calls += 1
            fits = granted.count(now) + 1 <= load.max_permits
            grantable += fits
            if strategy.allows(vm, now):
                granted.add([now])
            else:
                stranded += fits
            fullest = max(fullest, granted.count(now))
    return Outcome(
        stranded / max(1, grantable),
        fullest / load.max_permits,
        strategy.messages / calls,
    )
