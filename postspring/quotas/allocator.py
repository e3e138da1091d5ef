"""Quota allocator: grants permits from a data centre's part of the limits.

The parts of all data centres add up to a workspace's limit, so data centres
need no agreement, and each one keeps its part in a network partition.  Within
a data centre, one VM allocates the part of a workspace, one permit for each
call.  The list of VMs determines which VM that is.  When it changes, VMs that
request permits report to the new allocator what they were granted before.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
import math

from postspring.quotas import window as window_module
from postspring import workspaces

__all__ = ["PermitDecision", "PermitState", "PermitUse", "QuotaAllocator"]

# For this long after a VM joined the list of VMs, it grants permits only if no
# allocator is ready.  VMs read the list every 5 s: until all of them have,
# some still use its predecessor, and both VMs would grant permits.
SETTLE_SECONDS = 7.0
# A process that was paused for longer than this did not answer other VMs.
# They ask other allocators for about as long as SUSPENDED_SECONDS.
PAUSE_SECONDS = 0.4
SUSPENDED_SECONDS = 1.5
TICK_SECONDS = 0.2
# A new allocator with a predecessor grants permits only at the limit's rate
# for this long: VMs with many permits request another one in this time, and
# report the earlier ones.
LEARNING_SECONDS = 1.0
# A substitute allocator without requests for this long starts over as a new
# one.
IDLE_SECONDS = 1.0


class PermitUse(enum.Enum):
    """The purpose of a request; its value is sent to other VMs."""

    BEGINS_PROGRAM = "begins_program"
    CONTINUES_PROGRAM = "goes_on"
    PLAIN_CALL = "plain_call"


# Share of a limit that is reserved for other uses.  The requests of a program
# that fails halfway are wasted, so running programs come before new ones.
# Callers retry turns for longer than calls of tools, which end their program
# when they are refused twice.
RESERVED_SHARE_BY_USE = {
    PermitUse.BEGINS_PROGRAM: 0.2,
    PermitUse.CONTINUES_PROGRAM: 0.1,
    PermitUse.PLAIN_CALL: 0.0,
}


class PermitState(enum.Enum):
    """The result of a request for a permit."""

    GRANTED = "granted"
    REFUSED = "refused"
    # This VM joined or was paused lately, or is about to stop: another one may
    # be the allocator.
    NOT_READY = "not_ready"


@dataclasses.dataclass(frozen=True, slots=True)
class PermitDecision:
    """Answer to a request for a permit.

    Parameters
    ==========

    wait : float
        Seconds after which a permit may be available.
    """

    state: PermitState
    wait: float = 0.0


@dataclasses.dataclass(slots=True)
class _WorkspaceUsage:
    """Permits of one workspace, as far as this VM knows them.

    Parameters
    ==========

    window : SlidingWindow
        Permits of all allocators of this data centre.
    allocator_since : float
        When this VM became the allocator for the last time.
    last_request_at : float
        When a VM last requested a permit.
    has_predecessor : bool
        Another VM may have granted permits in the last span.
    granted : int
        Permits that this VM granted since then.
    """

    window: window_module.SlidingWindow
    allocator_since: float
    last_request_at: float
    has_predecessor: bool
    granted: int = 0


class QuotaAllocator:
    """Grants the permits that this VM allocates, without I/O or a clock.

    Parameters
    ==========

    parts : int
        Number of data centres.
    span : float
        Seconds in which the limit bounds the number of requests.
    now : callable
        Monotonic time in seconds.
    listed_seconds : callable
        Returns the seconds for which this VM has been on the list of VMs.

    Examples
    ========

    >>> limit = workspaces.RateLimit(rate=1.0, burst=1.0)
    >>> acme = workspaces.Workspace("acme", limit=limit)
    >>> allocator = QuotaAllocator(3, 5.0, lambda: 100.0, lambda: 60.0)
    >>> allocator.request_permit(
    ...     acme, PermitUse.PLAIN_CALL, is_first=True, ages=[0.5]
    ... ).state
    <PermitState.GRANTED: 'granted'>
    >>> allocator.request_permit(acme, PermitUse.PLAIN_CALL, is_first=True)
    PermitDecision(state=<PermitState.REFUSED: 'refused'>, wait=4.5)
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
        self._usage_by_name: dict[str, _WorkspaceUsage] = {}
        self._started_at = now()
        self._ticked_at = now()
        self._suspended_until = 0.0

    def tick(self) -> None:
        """Detect pauses of the process; call it every TICK_SECONDS."""
        self._detect_pause()
        self._ticked_at = self._now()

    def request_permit(
        self,
        workspace: workspaces.Workspace,
        use: PermitUse,
        is_first: bool,
        ignore_readiness: bool = False,
        ages: Sequence[float] = (),
    ) -> PermitDecision:
        """Request a permit for one call.

        Parameters
        ----------
        is_first : bool
            This VM is the workspace's first allocator by its list of VMs.
        ignore_readiness : bool
            No allocator is ready: this one decides all the same.
        ages : sequence of float
            Ages in seconds of permits that other allocators of this data
            centre granted to the requesting VM.
        """
        self._detect_pause()
        now = self._now()
        is_ready = self._is_ready(now)
        if not ignore_readiness and not is_ready:
            return PermitDecision(PermitState.NOT_READY)
        if workspace.limit is None:
            return PermitDecision(PermitState.GRANTED)
        usage = self._usage_of(workspace.name, is_first, now)
        usage.window.add(now - max(0.0, age) for age in ages)
        max_permits = self._max_permits(workspace.limit)
        if not is_ready:
            max_permits = self._max_after_start(max_permits, now)
        max_permits = max(
            1, math.floor(max_permits * (1.0 - RESERVED_SHARE_BY_USE[use]))
        )
        if usage.window.count(now) + 1 > max_permits:
            wait = usage.window.seconds_until(max_permits, now)
            return PermitDecision(PermitState.REFUSED, wait)
        if self._is_learning(usage, workspace.limit, now):
            return PermitDecision(
                PermitState.REFUSED, self._parts / workspace.limit.rate
            )
        usage.window.add([now])
        usage.granted += 1
        return PermitDecision(PermitState.GRANTED)

    def release_permit(self, workspace: str) -> None:
        """Release a permit whose call did not run and never will."""
        usage = self._usage_by_name.get(workspace)
        if usage is not None:
            usage.window.remove_newest()

    # -- own ------------------------------------------------------------------

    def _max_permits(self, limit: workspaces.RateLimit) -> int:
        """Return this data centre's maximum number of requests in a span."""
        total = limit.rate * self._span + limit.burst
        return max(1, math.floor(total / self._parts))

    def _max_after_start(self, max_permits: int, now: float) -> int:
        """Return the maximum for a VM that started lately.

        It grows with the uptime: after a power loss of all VMs, no VM knows
        the permits that were granted before.
        """
        uptime = now - self._started_at
        return max(1, math.floor(max_permits * min(1.0, uptime / self._span)))

    def _is_learning(self, usage, limit, now: float) -> bool:
        age = now - usage.allocator_since
        allowed = 1.0 + age * limit.rate / self._parts
        is_new = age < LEARNING_SECONDS and usage.granted + 1 > allowed
        return is_new and usage.has_predecessor

    def _is_ready(self, now: float) -> bool:
        if now < self._suspended_until:
            return False
        return self._listed_seconds() >= SETTLE_SECONDS

    def _was_sole_allocator(self, now: float) -> bool:
        """Whether no other VM replaced this one in the last span."""
        listed_seconds = self._listed_seconds()
        ready_seconds = min(
            listed_seconds - SETTLE_SECONDS,
            now - self._suspended_until,
        )
        return ready_seconds > self._span

    def _usage_of(
        self, name: str, is_first: bool, now: float
    ) -> _WorkspaceUsage:
        usage = self._usage_by_name.get(name)
        is_current = usage is not None and (
            is_first or now - usage.last_request_at <= IDLE_SECONDS
        )
        if not is_current:
            window = window_module.SlidingWindow(self._span)
            if usage is not None:
                window = usage.window
            has_predecessor = not (is_first and self._was_sole_allocator(now))
            usage = _WorkspaceUsage(window, now, now, has_predecessor)
            self._usage_by_name[name] = usage
        usage.last_request_at = now
        return usage

    def _detect_pause(self) -> None:
        """Suspend this allocator after a pause, as others replaced it."""
        now = self._now()
        if now - self._ticked_at <= TICK_SECONDS + PAUSE_SECONDS:
            return
        self._ticked_at = now
        self._suspended_until = now + SUSPENDED_SECONDS
        self._usage_by_name.clear()
