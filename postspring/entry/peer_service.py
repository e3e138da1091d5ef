"""What a VM answers to the other VMs, by the type of the request."""

from collections.abc import Callable
import json
from typing import Any

from postspring.entry import collections
from postspring import errors
from postspring import identifiers
from postspring import peers

__all__ = ["answer_peer"]

Reply = Callable[[Any], None]
_ANSWER_BY_TYPE: dict[type, Callable[[Any, Any, Reply], None]] = {}


def _answers(message_type: type) -> Callable:
    """Register the function that answers a type of request."""

    def add(function: Callable) -> Callable:
        _ANSWER_BY_TYPE[message_type] = function
        return function

    return add


def answer_peer(core: Any, vm: str, message: Any, reply: Reply) -> None:
    """Answer a request of another VM; ``reply`` may be called later.

    What has no answer of its own here goes to the owner part.
    """
    answer = _ANSWER_BY_TYPE.get(type(message))
    if answer is not None:
        answer(core, message, reply)
        return
    core.hosts.ask(message, _data_center_of(core, message), vm, reply)


def _data_center_of(core: Any, message: Any) -> str:
    """Return whose slots a request to an owner is about."""
    program = getattr(message, "program", None)
    if program is None and hasattr(message, "turn"):
        program = message.turn.program
    if program is None:
        return getattr(message, "data_center", core.settings.data_center)
    try:
        return identifiers.parse_program_id(program).data_center
    except errors.IdentifierError:
        return core.settings.data_center


@_answers(peers.ConfigurationRequest)
def _offer_configuration(core: Any, message: Any, reply: Reply) -> None:
    reply(core.configuration.offer())


@_answers(peers.GatherRows)
def _gather_rows(core: Any, message: Any, reply: Reply) -> None:
    collection = collections.collection_by_name[message.collection]
    rows = json.dumps(collection.rows(core)).encode()
    reply(peers.RowsGathered(rows=rows))


@_answers(peers.StopAttempt)
def _stop_attempt(core: Any, message: Any, reply: Reply) -> None:
    core.attempts.cancel(message.program, message.attempt)


@_answers(peers.ReplicateTurns)
def _hold_turns(core: Any, message: Any, reply: Reply) -> None:
    taken = sum(core.grants.keep_copy(turn) for turn in message.turns)
    reply(peers.TurnsReplicated(taken=taken))


@_answers(peers.AppendRecords)
def _append_records(core: Any, message: Any, reply: Reply) -> None:
    core.log_client.serve_append(message, reply)


@_answers(peers.ReadRecords)
def _read_records(core: Any, message: Any, reply: Reply) -> None:
    core.log_client.serve_read(message, reply)
