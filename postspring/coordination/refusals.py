"""Refusals: why a request was not answered, and whether it ran."""

import enum

from postspring import codec

__all__ = ["Ran", "RefusalReason", "Refused"]


class Ran(enum.StrEnum):
    """Whether a refused request may have run.

    ``NOT_RUN`` is a promise.  ``UNKNOWN`` says that nobody living knows.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RefusalReason(enum.StrEnum):
    """Every reason for which a request is refused; each has a counter."""

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
    """A final answer: the request was refused.

    Parameters
    ==========

    reason : RefusalReason
        Why.
    ran : Ran
        Whether it may have run.
    retry_after_ms : int or None
        When to come back, in milliseconds; None if asking again the same
        way can't succeed.
    detail : str
        Text for a person.
    """

    reason: RefusalReason
    ran: Ran = Ran.NOT_RUN
    retry_after_ms: int | None = None
    detail: str = ""
