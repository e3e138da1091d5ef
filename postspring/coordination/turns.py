"""Builds turns and prompts from grants and a program's history."""

import json

from postspring.coordination import messages
from postspring.coordination import pricing
from postspring import ownership
from postspring import programs

__all__ = [
    "UNKNOWN_ANSWER",
    "abandoned_intent_turn",
    "answered_turn",
    "build_prompt",
]

UNKNOWN_ANSWER = b'{"outcome":"unknown"}'


def answered_turn(
    grant: messages.Grant,
    answer: bytes,
    status_code: int,
    usage: programs.Usage = programs.Usage(),
) -> ownership.Turn:
    """Return the turn of an attempt that received its complete answer."""
    request_digest = programs.request_digest(
        grant.kind, grant.target, grant.request
    )
    digest = programs.chain_digest(
        grant.parent, grant.step, request_digest, answer
    )
    return ownership.Turn(
        slot=grant.slot,
        epoch=grant.epoch,
        program=grant.program,
        step=grant.step,
        parent=grant.parent,
        digest=digest,
        kind=grant.kind,
        target=grant.target,
        key=grant.key,
        request_digest=request_digest,
        request=grant.request,
        answer=answer,
        status=programs.TurnStatus.ANSWERED,
        status_code=status_code,
        usage=usage,
        cost=min(pricing.attempt_cost(grant, usage), grant.cost_bound),
        intent_epoch=grant.intent_epoch,
        intent_sequence=grant.intent_sequence,
        upstream=grant.upstream,
    )


def abandoned_intent_turn(
    slot: ownership.SlotState, program: programs.Program, request: bytes
) -> ownership.Turn:
    """Return the turn that closes an open intent as unknown.

    Parameters
    ----------
    request : bytes
        JSON of the request; ``{}`` if this owner has not received it.
    """
    intent = program.open_intent
    head = program.head
    digest = programs.chain_digest(
        head.digest, intent.step, intent.request_digest, UNKNOWN_ANSWER
    )
    return ownership.Turn(
        slot=slot.number,
        epoch=slot.epoch,
        program=program.id,
        step=intent.step,
        parent=head.digest,
        digest=digest,
        kind=programs.CallKind.TOOL,
        target="",
        key=intent.key,
        request_digest=intent.request_digest,
        request=request,
        answer=UNKNOWN_ANSWER,
        status=programs.TurnStatus.UNKNOWN,
        status_code=0,
        cost=intent.amount,
        intent_epoch=intent.epoch,
        intent_sequence=intent.sequence,
    )


def build_prompt(turns: list[ownership.Turn], request: bytes) -> bytes:
    """Return a JSON array of the messages of a program and a new call.

    Requests and answers of model turns are JSON already and are joined
    without parsing; all other answers become messages of the role ``tool``.
    """
    parts = []
    for turn in turns:
        parts.extend(_messages_of(turn))
    parts.append(_array_items(request))
    return b"[" + b",".join(part for part in parts if part) + b"]"


def _messages_of(turn: ownership.Turn) -> list[bytes]:
    if turn.kind is programs.CallKind.MODEL:
        return [_array_items(turn.request), turn.answer]
    content = turn.answer.decode(errors="replace")
    message = {"role": "tool", "name": turn.target, "content": content}
    return [json.dumps(message).encode()]


def _array_items(json_array: bytes) -> bytes:
    """Return the items of a JSON array, without the brackets."""
    return json_array.strip()[1:-1].strip()
