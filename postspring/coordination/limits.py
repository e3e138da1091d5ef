"""Limits and timeouts of an owner, and the retry delays of refusals."""

import dataclasses

from postspring.coordination import refusals

__all__ = ["OwnerLimits", "retry_after_ms"]

Reason = refusals.RefusalReason


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerLimits:
    """Limits and timeouts of an owner; times in seconds.

    Parameters
    ==========

    queue_window : int
        How many steps beyond the next one a call may be queued.
    max_attempts : int
        Attempts of one call, the first included.
    hold_after : float
        How long a turn may wait for the log before it is answered as held.
        A turn that is appended while the log is unavailable does not wait.
    log_timeout : float
        How long a call may wait for its intent or reservation to be logged
        while the log is unavailable, before it is refused.
    outcome_grace : float
        How long after a slot is claimed the former owner's outcome of an
        open intent may still arrive, before it is recorded as unknown.
    max_held_bytes : int
        Size of all pending turns above which calls are refused.
    """

    queue_window: int = 8
    max_attempts: int = 3
    hold_after: float = 1.0
    log_timeout: float = 1.0
    outcome_grace: float = 1.0
    max_held_bytes: int = 8 * 1024 * 1024


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


def retry_after_ms(reason: Reason) -> int | None:
    """Return the retry delay of a refusal in milliseconds, or None."""
    return RETRY_AFTER_MS_BY_REASON.get(reason)
