"""Deals out a data centre's part of workspaces' limits.

The parts of all data centres add up to the limit, so nothing has to be agreed
on among them, and behind a cut each one goes on with its own.  Within a data
centre one VM deals a workspace's part out, one permit a call.  Which VM that
is follows from the list of VMs.  When it changes, the next one hears from
whoever asks what that VM was granted before.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
import math

from postspring.quotas import window as window_module
from postspring import workspaces

__all__ = ["Deal", "DealState", "Dealer", "Use"]

# A VM that has just started is not on all VMs' lists yet, which they read
# every 5 s: until then whoever dealt before goes on, or both would.
SETTLE_SECONDS = 7.0
# One that stood still for longer than this was given up by others, and is not
# asked by them for about as long as SUSPENDED_SECONDS; seconds.
PAUSE_SECONDS = 0.4
SUSPENDED_SECONDS = 1.5
TICK_SECONDS = 0.2
# So long a dealer that follows another one grants no more than the limit's
# rate: VMs that were granted much before ask, and tell, within this time.
LEARNING_SECONDS = 1.0
# A VM that stands in for another and is not asked for this long learns anew,
# in seconds.
IDLE_SECONDS = 1.0


class Use(enum.Enum):
    """What a request is for; its value goes over the wire."""

    BEGINS_PROGRAM = "begins_program"
    GOES_ON = "goes_on"
    PLAIN_CALL = "plain_call"


# Part of a limit that is left to other uses.  A program that is stopped
# halfway has used its requests in vain; turns are tried again for longer than
# calls of tools, which end their program when they are refused twice.
RESERVED_SHARE_BY_USE = {
    Use.BEGINS_PROGRAM: 0.2,
    Use.GOES_ON: 0.1,
    Use.PLAIN_CALL: 0.0,
}


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


@dataclasses.dataclass(slots=True)
class _Account:
    """What is known of one workspace's permits here."""

    window: window_module.SlidingWindow
    since: float
    asked_at: float
    has_predecessor: bool
    granted: int = 0


class Dealer:
    """What this VM deals out; no clock of its own, no network.

    Parameters
    ==========

    parts : int
        Data centres that there are.
    span : float
        Seconds over which requests are counted.
    now : callable
        Monotonic time in seconds.
    listed_seconds : callable
        Returns for how long this VM has been on the list of VMs.

    Examples
    ========

    >>> limit = workspaces.RateLimit(rate=1.0, burst=1.0)
    >>> acme = workspaces.Workspace("acme", limit=limit)
    >>> dealer = Dealer(3, 5.0, lambda: 100.0, lambda: 60.0)
    >>> dealer.ask(acme, Use.PLAIN_CALL, is_first=True, ages=[0.5]).state
    <DealState.GRANTED: 'granted'>
    >>> dealer.ask(acme, Use.PLAIN_CALL, is_first=True)
    Deal(state=<DealState.REFUSED: 'refused'>, wait=4.5)
    """

    def __init__(
        self,
        parts: int,
        span: float,
        now: Callable[[], float],
        listed_seconds: Callable[[], float],
    ):
        self._parts = max(1, parts)
        self._span = span
        self._now = now
        self._listed_seconds = listed_seconds
        self._account_by_name: dict[str, _Account] = {}
        self._started_at = now()
        self._ticked_at = now()
        self._suspended_until = 0.0

    def tick(self) -> None:
        """Show that this VM runs; to be called every TICK_SECONDS."""
        self._notice_pause()
        self._ticked_at = self._now()

    def ask(
        self,
        workspace: workspaces.Workspace,
        use: Use,
        is_first: bool,
        insists: bool = False,
        ages: Sequence[float] = (),
    ) -> Deal:
        """Take a permit for one request.

        Parameters
        ----------
        is_first : bool
            No other VM comes before this one, as far as it knows.
        insists : bool
            No VM that may deal is ready: who asks takes any.
        ages : sequence of float
            Seconds since who asks was granted others by other dealers of
            this data centre.
        """
        self._notice_pause()
        now = self._now()
        is_ready = self._is_ready(now)
        if not insists and not is_ready:
            return Deal(DealState.NOT_READY)
        if workspace.limit is None:
            return Deal(DealState.GRANTED)
        account = self._account(workspace.name, is_first, now)
        account.window.add(now - max(0.0, age) for age in ages)
        most = self._part(workspace.limit)
        if not is_ready:
            most = self._after_start(most, now)
        most = max(1, math.floor(most * (1.0 - RESERVED_SHARE_BY_USE[use])))
        if account.window.count(now) + 1 > most:
            wait = account.window.seconds_until(most, now)
            return Deal(DealState.REFUSED, wait)
        if self._is_learning(account, workspace.limit, now):
            return Deal(DealState.REFUSED, self._parts / workspace.limit.rate)
        account.window.add([now])
        account.granted += 1
        return Deal(DealState.GRANTED)

    def take_back(self, workspace: str) -> None:
        """Take a permit back by which nothing ran, and nothing will."""
        account = self._account_by_name.get(workspace)
        if account is not None:
            account.window.remove_newest()

    # -- own ------------------------------------------------------------------

    def _part(self, limit: workspaces.RateLimit) -> int:
        """Return the most requests in a span, of this data centre's part."""
        whole = limit.rate * self._span + limit.burst
        return max(1, math.floor(whole / self._parts))

    def _after_start(self, most: int, now: float) -> int:
        """Return the most that a VM grants that has started lately.

        All VMs may have lost power, and what they granted before is lost.
        """
        uptime = now - self._started_at
        return max(1, math.floor(most * min(1.0, uptime / self._span)))

    def _is_learning(self, account, limit, now: float) -> bool:
        age = now - account.since
        allowed = 1.0 + age * limit.rate / self._parts
        is_new = age < LEARNING_SECONDS and account.granted + 1 > allowed
        return is_new and account.has_predecessor

    def _is_ready(self, now: float) -> bool:
        if now < self._suspended_until:
            return False
        return self._listed_seconds() >= SETTLE_SECONDS

    def _has_dealt_long(self, now: float) -> bool:
        """Whether nobody dealt for this VM in the last span."""
        listed = self._listed_seconds()
        ready = min(
            listed - SETTLE_SECONDS,
            now - self._suspended_until,
        )
        return ready > self._span

    def _account(self, name: str, is_first: bool, now: float) -> _Account:
        account = self._account_by_name.get(name)
        is_known = account is not None and (
            is_first or now - account.asked_at <= IDLE_SECONDS
        )
        if not is_known:
            window = window_module.SlidingWindow(self._span)
            if account is not None:
                window = account.window
            has_predecessor = not (is_first and self._has_dealt_long(now))
            account = _Account(window, now, now, has_predecessor)
            self._account_by_name[name] = account
        account.asked_at = now
        return account

    def _notice_pause(self) -> None:
        """Stand back after a pause: others have dealt meanwhile."""
        now = self._now()
        if now - self._ticked_at <= TICK_SECONDS + PAUSE_SECONDS:
            return
        self._ticked_at = now
        self._suspended_until = now + SUSPENDED_SECONDS
        self._account_by_name.clear()
