"""Records of histories, as they are stored in the log.

A record is a CBOR array of its kind and its fields in order. Compaction keeps
the newest record of each key, and a record may be stored twice or late. The
key of a turn's record therefore ends with the record's digest: compaction
drops duplicates only, and the remaining records fold to the same state as all
of them.
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
    "CompletedTurn",
    "EndedTurn",
    "OpenedTurn",
    "ProgramId",
    "Record",
    "TurnId",
    "TurnLocation",
    "TurnRef",
    "check_is_completed",
    "decode_record",
    "encode_record",
    "fits_key",
    "record_key",
]

ProgramId = NewType("ProgramId", str)
TurnId = NewType("TurnId", str)


class TurnRef(NamedTuple):
    """A turn, and the program among whose records it is stored."""

    program: ProgramId
    turn: TurnId


# The platform's format stores the length of a key in one byte.
MAX_KEY_BYTES = 255
# The digest in hexadecimal and two separators.
KEY_OVERHEAD_BYTES = 18

_type_by_kind: dict[str, type] = {}
_kind_by_type: dict[type, str] = {}


def _register(kind: str) -> Callable[[type], type]:
    """Return a decorator that registers a record type under a kind."""

    def register(cls: type) -> type:
        _type_by_kind[kind] = cls
        _kind_by_type[cls] = kind
        return cls

    return register


class Claim(NamedTuple):
    """What a record changes in the program's token account.

    Parameters
    ==========

    author : str
        Incarnation of the VM that wrote the record.
    ceiling : int
        Most tokens that the turn may generate; 0 if it never ran.
    budget : int or None
        Tokens that all turns of the program may generate.
    granted : int
        Tokens that the author reserves for its next turns.
    from_reserve : bool
        Whether the turn was charged to the author's reserve.  In an opening:
        whether it is charged to the author's offline account, and the record
        is a replica of that.
    returned : int
        Tokens that the author releases from its reserve.

    Explanation
    ===========

    The claim in the record of a turn's end replaces the claim of the author's
    opening of that turn. A withdrawn opening therefore changes nothing, even
    if it takes effect after its withdrawal.
    """

    author: str
    ceiling: int
    budget: int | None
    granted: int = 0
    from_reserve: bool = False
    returned: int = 0

    @property
    def is_offline_end(self) -> bool:
        """Whether an end with this claim ran offline if nothing opened it."""
        return self.budget is not None and not self.from_reserve


@_register("open")
@dataclasses.dataclass(frozen=True, slots=True)
class OpenedTurn:
    """A VM asks to run a turn, whose ceiling is charged until it ends."""

    program: ProgramId
    turn: TurnId
    claim: Claim


@_register("whole")
@dataclasses.dataclass(frozen=True, slots=True)
class CompletedTurn:
    """A turn completed and is part of the history.

    Parameters
    ==========

    parent : tuple or None
        The turn that it continues, and that turn's program.
    tokens : int
        Tokens delivered to the caller.
    input, output : bytes
        Body of the caller's request; data of each event with a line feed.
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
    """A turn ended without becoming part of the history.

    Parameters
    ==========

    line : str
        The conversation that the turn belongs to, if the caller sends all of
        it with each turn.
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
    """The program among whose records a completed turn is stored."""

    turn: TurnId
    program: ProgramId


Record = OpenedTurn | CompletedTurn | EndedTurn | TurnLocation


def encode_record(record: Record) -> bytes:
    """Return the encoding of a record."""
    values = [getattr(record, name) for name in record.__slots__]
    return cbor2.dumps([_kind_by_type[type(record)], *values])


def fits_key(program: str, turn: str) -> bool:
    """Return whether a turn's keys have at most ``MAX_KEY_BYTES``.

    Examples
    --------
    >>> fits_key("p", "t"), fits_key("p", "t" * 255)
    (True, False)
    """
    ids = len(program.encode()) + len(turn.encode())
    return ids + KEY_OVERHEAD_BYTES <= MAX_KEY_BYTES


def record_key(record: Record, data: bytes) -> str:
    """Return the key of a turn's record whose encoding is ``data``.

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
    """Return the record that ``data`` encodes.

    Raises
    ------
    MalformedRecord
        If ``data`` is not the encoding of a record.

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
            raise ValueError("the record has too many fields")
        # Records of earlier versions lack the last fields.
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
    """Return a field's value if it is valid; records are external input."""
    if name == "claim":
        return _checked_claim(value)
    if name == "parent":
        return None if value is None else _checked_ref(value)
    if type(value) is not _TYPE_BY_FIELD[name]:
        raise ValueError(f"field {name} has type {type(value).__name__}")
    if type(value) is int and value < 0:
        raise ValueError(f"field {name} is negative")
    return value


def _checked_claim(value: Any) -> Claim:
    claim = Claim(*value)
    counts = [claim.ceiling, claim.granted, claim.returned]
    if claim.budget is not None:
        counts.append(claim.budget)
    if not all(type(count) is int and count >= 0 for count in counts):
        raise ValueError(
            "a claim's token counts must be non-negative integers"
        )
    if type(claim.from_reserve) is not bool:
        raise ValueError("a claim's from_reserve must be a boolean")
    if not isinstance(claim.author, str):
        raise ValueError("a claim's author must be a string")
    return claim


def _checked_ref(value: Any) -> TurnRef:
    program, turn = value
    if not isinstance(program, str) or not isinstance(turn, str):
        raise ValueError("a turn's parent must be a pair of strings")
    return TurnRef(ProgramId(program), TurnId(turn))


def check_is_completed(record: Record) -> None:
    """Check that a record is that of a completed turn.

    Raises
    ------
    MalformedRecord
        If it is another one.
    """
    if not isinstance(record, CompletedTurn):
        raise errors.MalformedRecord("not the record of a completed turn")
