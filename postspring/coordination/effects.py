"""What the owner asks its host to do: typed outputs of a pure core."""

import dataclasses
from typing import Any

from postspring.coordination import messages

__all__ = [
    "Append",
    "CancelAttempt",
    "CopyTurn",
    "Effect",
    "ReleaseCache",
    "Reply",
    "ReplyTo",
    "Run",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyTo:
    """Who asked: a VM, and its number for the request."""

    vm: str
    request: int


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append a record to the slot stream of this data centre."""

    record: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Answer a request."""

    to: ReplyTo
    message: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Run an attempt on this VM."""

    grant: messages.Grant


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt that runs on ``vm``; its program has ended."""

    vm: str
    program: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class CopyTurn:
    """Give copies of a turn to other VMs: the log does not take it yet."""

    turn: Any


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseCache:
    """Have engines drop what they hold of a program that is gone.

    ``fencing`` is the epoch of the slot's owner.
    """

    program: str
    fencing: int
    upstreams: tuple[str, ...]


Effect = Append | Reply | Run | CancelAttempt | CopyTurn | ReleaseCache
