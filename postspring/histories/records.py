"""Records of histories, as they stand in the log.

A record is a CBOR array: its kind, then its fields in order.  The log keeps
the newest record of each key, and a turn's records share one key, so what
remains of a turn is its last state.
"""

from collections.abc import Callable
import dataclasses
from typing import Any
from typing import NamedTuple
from typing import NewType

import cbor2

from postspring.histories import errors

__all__ = [
    "EndedTurn",
    "OpenedTurn",
    "ProgramId",
    "Record",
    "TurnId",
    "TurnLocation",
    "TurnRef",
    "WholeTurn",
    "decode_record",
    "encode_record",
]

ProgramId = NewType("ProgramId", str)
TurnId = NewType("TurnId", str)


class TurnRef(NamedTuple):
    """A turn, and the program whose records it stands among."""

    program: ProgramId
    turn: TurnId


_type_by_kind: dict[str, type] = {}
_kind_by_type: dict[type, str] = {}


def _record(kind: str) -> Callable[[type], type]:
    """Return a decorator that registers a record type."""

    def add(cls: type) -> type:
        _type_by_kind[kind] = cls
        _kind_by_type[cls] = kind
        return cls

    return add


@_record("open")
@dataclasses.dataclass(frozen=True, slots=True)
class OpenedTurn:
    """A VM is about to run a turn.

    Parameters
    ==========

    ceiling : int
        Most tokens that the turn may generate; charged until it ends.
    budget : int or None
        Tokens that all turns of the program may generate.
    """

    program: ProgramId
    turn: TurnId
    ceiling: int
    budget: int | None


@_record("whole")
@dataclasses.dataclass(frozen=True, slots=True)
class WholeTurn:
    """A turn ran to its end.

    Parameters
    ==========

    parent : tuple or None
        Program and id of the turn that it continues.
    tokens : int
        Tokens handed to the caller.
    input, output : bytes
        The caller's body; the data of each event with a line feed.
    """

    program: ProgramId
    turn: TurnId
    parent: tuple[ProgramId, TurnId] | None
    tokens: int
    input: bytes
    output: bytes


@_record("ended")
@dataclasses.dataclass(frozen=True, slots=True)
class EndedTurn:
    """A turn ended without becoming a part of the history."""

    program: ProgramId
    turn: TurnId
    tokens: int


@_record("at")
@dataclasses.dataclass(frozen=True, slots=True)
class TurnLocation:
    """Among which program's records a whole turn stands."""

    turn: TurnId
    program: ProgramId


Record = OpenedTurn | WholeTurn | EndedTurn | TurnLocation


def encode_record(record: Record) -> bytes:
    """Return a record as bytes."""
    values = [getattr(record, name) for name in record.__slots__]
    return cbor2.dumps([_kind_by_type[type(record)], *values])


def decode_record(data: bytes) -> Record:
    """Return the record in ``data``; raise MalformedRecord if none is.

    Examples
    --------
    >>> record = EndedTurn(ProgramId("p"), TurnId("t"), 8)
    >>> decode_record(encode_record(record)) == record
    True
    """
    try:
        kind, *values = cbor2.loads(data)
        record = _type_by_kind[kind](*values)
    except (
        cbor2.CBORDecodeError,
        KeyError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise errors.MalformedRecord(str(error)[:200]) from error
    _check(record)
    return record


def _check(record: Any) -> None:
    """Refuse fields of the wrong type: they come from outside."""
    texts = [record.turn, record.program]
    counts = [getattr(record, "tokens", 0), getattr(record, "ceiling", 0)]
    parts = [getattr(record, "input", b""), getattr(record, "output", b"")]
    parent = getattr(record, "parent", None)
    if parent is not None:
        texts.extend(parent)
    if (
        not all(isinstance(item, str) for item in texts)
        or not all(isinstance(item, int) for item in counts)
        or not all(isinstance(item, bytes) for item in parts)
        or (parent is not None and len(parent) != 2)
    ):
        raise errors.MalformedRecord(f"wrong fields of {type(record)}")
