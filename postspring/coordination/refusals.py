"""Refusals: why a request is refused, and whether it may have run."""

import enum

from postspring import codec

__all__ = ["Ran", "RefusalReason", "Refused"]


class Ran(enum.StrEnum):
    """Whether a refused request may have run.

    ``NOT_RUN`` is guaranteed.  ``UNKNOWN`` means that it may have run.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RefusalReason(enum.StrEnum):
    """Reasons for which requests are refused; each has a counter."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BUDGET_TOO_LARGE = "budget_too_large"
    CONTEXT_TOO_LONG = "context_too_long"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    HELD_TURNS_FULL = "held_turns_full"
    ISOLATED = "isolated"
    KEY_REUSED = "key_reused"
    LOG_UNAVAILABLE = "log_unavailable"
    NO_CONFIGURATION = "no_configuration"
    NO_UPSTREAM = "no_upstream"
    NOT_FOUND = "not_found"
    NOT_PERMITTED = "not_permitted"
    OVER_BUDGET = "over_budget"
    OVERLOADED = "overloaded"
    OWNER_UNREACHABLE = "owner_unreachable"
    PARENT_MISMATCH = "parent_mismatch"
    PROGRAM_ENDED = "program_ended"
    QUEUE_FULL = "queue_full"
    SHUTTING_DOWN = "shutting_down"
    STEP_CONFLICT = "step_conflict"
    STEP_GAP = "step_gap"
    SUPERSEDED = "superseded"
    TOO_MANY_CALLS = "too_many_calls"
    TOO_MANY_PROGRAMS = "too_many_programs"
    UNKNOWN_PROGRAM = "unknown_program"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_TARGET = "unknown_target"
    UPSTREAM_FAILED = "upstream_failed"


@codec.message()
class Refused:
    """The final reply to a request that is refused.

    Parameters
    ==========

    reason : RefusalReason
        Why the request is refused.
    ran : Ran
        Whether the request may have run.
    retry_after_ms : int or None
        Suggested delay before a retry, in milliseconds; None if no retry is
        suggested.
    detail : str
        Human-readable explanation.
    """

    reason: RefusalReason
    ran: Ran = Ran.NOT_RUN
    retry_after_ms: int | None = None
    detail: str = ""
