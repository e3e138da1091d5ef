"""Records of histories, as they stand in the log.

A record is a CBOR array: its kind, then its fields in order.  The log keeps
the newest record of each key, and a record may stand in it twice or late.  A
key ends with the digest of its record, so only what is the same record is
dropped, and what remains tells the same as all that there was.
"""

from collections.abc import Callable
import dataclasses
from typing import Any
from typing import NamedTuple
from typing import NewType

import cbor2
import xxhash

from postspring.histories import errors

__all__ = [
    "Claim",
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
    "fits_key",
    "record_key",
]

ProgramId = NewType("ProgramId", str)
TurnId = NewType("TurnId", str)


class TurnRef(NamedTuple):
    """A turn, and the program whose records it stands among."""

    program: ProgramId
    turn: TurnId


# A key's length is one byte in the platform's format.
MAX_KEY_BYTES = 255
# Of a key: the digest in hexadecimal and two separators.
KEY_OVERHEAD_BYTES = 18

_type_by_kind: dict[str, type] = {}
_kind_by_type: dict[type, str] = {}


def _register(kind: str) -> Callable[[type], type]:
    """Return a decorator that registers a record type."""

    def register(cls: type) -> type:
        _type_by_kind[kind] = cls
        _kind_by_type[cls] = kind
        return cls

    return register


class Claim(NamedTuple):
    """What a record says of the program's account.

    Parameters
    ==========

    author : str
        The VM's incarnation.
    ceiling : int
        Most tokens that the turn may generate; 0 if it never ran.
    budget : int or None
        Tokens that all turns of the program may generate.
    granted : int
        Tokens that the author reserves for its next turns.
    from_reserve : bool
        The turn was started from the author's reserve.
    returned : int
        Tokens of the author's reserve that it gives back.

    Explanation
    ===========

    What the record of a turn's end grants and returns stands in place of
    what the author's opening of that turn did: so an opening that was given
    up changes nothing, also if it takes effect afterwards.
    """

    author: str
    ceiling: int
    budget: int | None
    granted: int = 0
    from_reserve: bool = False
    returned: int = 0


@_register("open")
@dataclasses.dataclass(frozen=True, slots=True)
class OpenedTurn:
    """A VM is about to run a turn; its ceiling is charged until it ends."""

    program: ProgramId
    turn: TurnId
    claim: Claim


@_register("whole")
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
    upstream : str
        Incarnation of the upstream that has the turn's history in memory.
    """

    program: ProgramId
    turn: TurnId
    claim: Claim
    parent: TurnRef | None
    tokens: int
    input: bytes
    output: bytes
    upstream: str = ""


@_register("ended")
@dataclasses.dataclass(frozen=True, slots=True)
class EndedTurn:
    """A turn ended without becoming a part of the history.

    Parameters
    ==========

    line : str
        The line of turns that it belongs to, if the caller carries the
        conversation.
    upstream : str
        Incarnation of the upstream that has the turn's prompt in memory, or
        empty.
    """

    program: ProgramId
    turn: TurnId
    claim: Claim
    tokens: int
    line: str = ""
    upstream: str = ""


@_register("at")
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


def fits_key(program: str, turn: str) -> bool:
    """Return whether records of a turn can have a key.

    Examples
    --------
    >>> fits_key("p", "t"), fits_key("p", "t" * 255)
    (True, False)
    """
    ids = len(program.encode()) + len(turn.encode())
    return ids + KEY_OVERHEAD_BYTES <= MAX_KEY_BYTES


def record_key(record: Record, data: bytes) -> str:
    """Return the key of a record of a turn; ``data`` is the record's bytes.

    Examples
    --------
    >>> claim = Claim("vm", ceiling=8, budget=None)
    >>> record = OpenedTurn(ProgramId("p"), TurnId("t"), claim)
    >>> record_key(record, encode_record(record))
    'p/t/2abf833a9720894b'
    """
    digest = xxhash.xxh64_hexdigest(data)
    return f"{record.program}/{record.turn}/{digest}"


def decode_record(data: bytes) -> Record:
    """Return the record in ``data``; raise MalformedRecord if none is.

    Examples
    --------
    >>> record = TurnLocation(TurnId("t"), ProgramId("p"))
    >>> decode_record(encode_record(record)) == record
    True
    """
    try:
        kind, *values = cbor2.loads(data)
        cls = _type_by_kind[kind]
        if len(values) > len(cls.__slots__):
            raise ValueError("a record has more fields than it may")
        # Records of an earlier version lack the last fields.
        fields = dict(zip(cls.__slots__, values))
        for name, value in fields.items():
            fields[name] = _checked_field(name, value)
        return cls(**fields)
    except (
        cbor2.CBORDecodeError,
        KeyError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        raise errors.MalformedRecord(str(error)[:200]) from error


_TYPE_BY_FIELD = {
    "program": str,
    "turn": str,
    "tokens": int,
    "input": bytes,
    "output": bytes,
    "upstream": str,
    "line": str,
}


def _checked_field(name: str, value: Any) -> Any:
    """Return a field's value; it comes from outside."""
    if name == "claim":
        return _checked_claim(value)
    if name == "parent":
        return None if value is None else _checked_ref(value)
    if type(value) is not _TYPE_BY_FIELD[name]:
        raise ValueError(f"{name} is a {type(value).__name__}")
    if type(value) is int and value < 0:
        raise ValueError(f"{name} is less than nothing")
    return value


def _checked_claim(value: Any) -> Claim:
    claim = Claim(*value)
    counts = [claim.ceiling, claim.granted, claim.returned]
    if claim.budget is not None:
        counts.append(claim.budget)
    if not all(type(count) is int and count >= 0 for count in counts):
        raise ValueError("a claim's counts are no numbers of tokens")
    if type(claim.from_reserve) is not bool:
        raise ValueError("a claim's origin is no truth value")
    if not isinstance(claim.author, str):
        raise ValueError("a claim's author is no text")
    return claim


def _checked_ref(value: Any) -> TurnRef:
    program, turn = value
    if not isinstance(program, str) or not isinstance(turn, str):
        raise ValueError("a parent is no pair of texts")
    return TurnRef(ProgramId(program), TurnId(turn))
