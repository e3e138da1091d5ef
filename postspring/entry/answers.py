"""What callers are told: turns and refusals as JSON."""

import base64
from typing import Any

from postspring import coordination
from postspring import ownership

__all__ = ["STATUS_BY_REASON", "refusal_body", "turn_body", "view_body"]

Reason = coordination.RefusalReason

STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.BUDGET_TOO_LARGE: 400,
    Reason.CONTEXT_TOO_LONG: 413,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.HELD_TURNS_FULL: 503,
    Reason.ISOLATED: 503,
    Reason.KEY_REUSED: 409,
    Reason.LOG_UNAVAILABLE: 503,
    Reason.NO_CONFIGURATION: 503,
    Reason.NO_UPSTREAM: 503,
    Reason.NOT_FOUND: 404,
    Reason.NOT_PERMITTED: 403,
    Reason.OVER_BUDGET: 402,
    Reason.OVERLOADED: 429,
    Reason.OWNER_UNREACHABLE: 503,
    Reason.PARENT_MISMATCH: 409,
    Reason.PROGRAM_ENDED: 410,
    Reason.QUEUE_FULL: 429,
    Reason.SHUTTING_DOWN: 503,
    Reason.STEP_CONFLICT: 409,
    Reason.STEP_GAP: 409,
    Reason.SUPERSEDED: 409,
    Reason.TOO_MANY_CALLS: 410,
    Reason.TOO_MANY_PROGRAMS: 429,
    Reason.UNKNOWN_PROGRAM: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_TARGET: 404,
    Reason.UPSTREAM_FAILED: 502,
}


def refusal_body(refused: coordination.Refused) -> dict[str, Any]:
    """Return a refusal as the caller's JSON."""
    body = {
        "refused": refused.reason.value,
        "ran": refused.ran.value,
        "detail": refused.detail,
    }
    if refused.retry_after_ms is not None:
        body["retry_after_seconds"] = refused.retry_after_ms / 1000
    return body


def turn_body(turn: ownership.Turn, held: bool) -> dict[str, Any]:
    """Return what a caller is told of its call's turn."""
    body = {
        "program": turn.program,
        "step": turn.step,
        "digest": turn.digest.hex(),
        "kind": turn.kind.value,
        "target": turn.target,
        "status": turn.status.value,
        "status_code": turn.status_code,
        "cost": turn.cost,
        "upstream": turn.upstream,
        "usage": {
            "prompt_tokens": turn.usage.prompt_tokens,
            "completion_tokens": turn.usage.completion_tokens,
            "cached_tokens": turn.usage.cached_tokens,
        },
        "held": held,
    }
    if held:
        data = ownership.slot_records.encode(turn)
        body["receipt"] = base64.b64encode(data).decode()
    return body


def view_body(view: coordination.ProgramView) -> dict[str, Any]:
    """Return a program's state as the caller's JSON."""
    return {
        "program": view.program,
        "service": view.service,
        "priority": view.priority,
        "parent": view.parent,
        "status": view.status.value,
        "end_reason": view.end_reason and view.end_reason.value,
        "owner": view.owner,
        "epoch": view.epoch,
        "step": view.step,
        "digest": view.digest.hex(),
        "budget": view.budget,
        "spent": view.spent,
        "reserved": view.reserved,
        "held_turns": view.held_turns,
        "open_intent": view.open_intent,
        "children": list(view.children),
    }
