"""Bounds and delays of an owner, and when to come back."""

import dataclasses

from postspring.coordination import refusals

__all__ = ["OwnerLimits", "retry_for"]

Reason = refusals.RefusalReason


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerLimits:
    """Bounds and delays of an owner; times in seconds.

    Parameters
    ==========

    queue_window : int
        How many steps ahead of the tip a call may wait.
    max_attempts : int
        Attempts of one call, the first included.
    hold_after : float
        A turn that is not in the log by then is answered as held.
    log_timeout : float
        A call that waits for the log that long is refused as not run.
    outcome_grace : float
        How long after a claim a former owner's outcome may still come in
        before its open intent is closed as unknown.
    held_bytes : int
        Bytes of turns that may be pending before calls are refused.
    """

    queue_window: int = 8
    max_attempts: int = 3
    hold_after: float = 1.0
    log_timeout: float = 1.0
    outcome_grace: float = 1.0
    held_bytes: int = 8 * 1024 * 1024


RETRY_AFTER_MS_BY_REASON = {
    Reason.DEADLINE_EXCEEDED: 1000,
    Reason.HELD_TURNS_FULL: 2000,
    Reason.LOG_UNAVAILABLE: 1000,
    Reason.NO_UPSTREAM: 1000,
    Reason.OVERLOADED: 1000,
    Reason.QUEUE_FULL: 500,
    Reason.STEP_GAP: 200,
    Reason.SUPERSEDED: 100,
    Reason.TOO_MANY_PROGRAMS: 5000,
    Reason.UPSTREAM_FAILED: 1000,
}


def retry_for(reason: Reason) -> int | None:
    """Return when to come back after that refusal, in milliseconds."""
    return RETRY_AFTER_MS_BY_REASON.get(reason)
