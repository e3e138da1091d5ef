"""Deals out a data centre's part of workspaces' limits.

The parts of all data centres add up to the limit, so nothing has to be agreed
on among them, and behind a cut each one goes on with its own.  Within a data
centre one VM deals a workspace's part out, one permit a call.  Which VM that
is follows from the list of VMs; when it changes, the next one starts with
nothing in hand.
"""

from collections.abc import Callable
import dataclasses
import enum

from postspring.quotas import bucket as bucket_module
from postspring import workspaces

__all__ = ["Deal", "DealState", "Dealer"]

# A VM that has just started is not on all VMs' lists yet, which they read
# every 5 s: until then whoever dealt before goes on, or both would.
SETTLE_SECONDS = 7.0
# One that stood still for longer than this was given up by others, and is not
# asked by them for about as long as SUSPENDED_SECONDS; seconds.
PAUSE_SECONDS = 0.4
SUSPENDED_SECONDS = 1.5
TICK_SECONDS = 0.2
# What a VM that stands in for another has left over is dropped when nobody
# has asked for it for this long, in seconds.
IDLE_SECONDS = 1.0
# Part of what fits into a bucket that is left to programs under way: one that
# is stopped halfway has used its requests in vain.
RESERVED_SHARE = 0.35


class DealState(enum.Enum):
    """What became of a request for a permit."""

    GRANTED = "granted"
    REFUSED = "refused"
    # Another VM deals now, as far as this one knows.
    NOT_READY = "not_ready"


@dataclasses.dataclass(frozen=True, slots=True)
class Deal:
    """The answer to a request for a permit.

    Parameters
    ==========

    wait : float
        Seconds until there may be one.
    """

    state: DealState
    wait: float = 0.0


class Dealer:
    """What this VM deals out; no clock of its own, no network.

    Parameters
    ==========

    parts : int
        Data centres that there are.
    now : callable
        Monotonic time in seconds.
    listed_seconds : callable
        Returns for how long this VM has been on the list of VMs.

    Examples
    ========

    >>> limit = workspaces.RateLimit(rate=6.0, burst=6.0)
    >>> acme = workspaces.Workspace("acme", limit=limit)
    >>> clock = [100.0]
    >>> dealer = Dealer(3, lambda: clock[0], lambda: 60.0)
    >>> dealer.ask(acme, False, is_first=True, insists=False).state
    <DealState.REFUSED: 'refused'>
    >>> clock[0] += 0.4
    >>> dealer.tick()
    >>> clock[0] += 0.3
    >>> dealer.ask(acme, False, is_first=True, insists=False).state
    <DealState.GRANTED: 'granted'>
    """

    def __init__(
        self,
        parts: int,
        now: Callable[[], float],
        listed_seconds: Callable[[], float],
    ):
        self._parts = max(1, parts)
        self._now = now
        self._listed_seconds = listed_seconds
        self._bucket_by_name: dict[str, bucket_module.TokenBucket] = {}
        self._asked_at_by_name: dict[str, float] = {}
        self._ticked_at = now()
        self._suspended_until = 0.0

    def tick(self) -> None:
        """Show that this VM runs; to be called every TICK_SECONDS."""
        self._notice_pause()
        self._ticked_at = self._now()

    def ask(
        self,
        workspace: workspaces.Workspace,
        begins_program: bool,
        is_first: bool,
        insists: bool,
    ) -> Deal:
        """Take a permit for one request.

        Parameters
        ----------
        is_first : bool
            No other VM comes before this one, as far as it knows.
        insists : bool
            No VM that may deal is ready: who asks takes any.
        """
        self._notice_pause()
        now = self._now()
        if not insists and not self._is_ready(now):
            return Deal(DealState.NOT_READY)
        if workspace.limit is None:
            return Deal(DealState.GRANTED)
        bucket = self._bucket(workspace, is_first, now)
        least = 1.0
        if begins_program:
            most = bucket.capacity
            least = max(1.0, min(most, 1.0 + RESERVED_SHARE * most))
        if bucket.take(least, now):
            return Deal(DealState.GRANTED)
        return Deal(DealState.REFUSED, bucket.seconds_until(least, now))

    # -- own ------------------------------------------------------------------

    def _is_ready(self, now: float) -> bool:
        if now < self._suspended_until:
            return False
        return self._listed_seconds() >= SETTLE_SECONDS

    def _bucket(
        self, workspace: workspaces.Workspace, is_first: bool, now: float
    ) -> bucket_module.TokenBucket:
        name = workspace.name
        idle = now - self._asked_at_by_name.get(name, now)
        self._asked_at_by_name[name] = now
        rate = workspace.limit.rate / self._parts
        capacity = max(1.0, workspace.limit.burst / self._parts)
        bucket = self._bucket_by_name.get(name)
        if bucket is None or (not is_first and idle > IDLE_SECONDS):
            bucket = bucket_module.TokenBucket(rate, capacity, now)
            self._bucket_by_name[name] = bucket
        elif (bucket.rate, bucket.capacity) != (rate, capacity):
            bucket.change(rate, capacity, now)
        return bucket

    def _notice_pause(self) -> None:
        """Start anew after a pause: others have dealt meanwhile."""
        now = self._now()
        if now - self._ticked_at <= TICK_SECONDS + PAUSE_SECONDS:
            return
        self._ticked_at = now
        self._suspended_until = now + SUSPENDED_SECONDS
        self._bucket_by_name.clear()
        self._asked_at_by_name.clear()
