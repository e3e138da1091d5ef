"""Effects: typed outputs of the owner, which its host executes."""

import dataclasses
from typing import Any

from postspring.coordination import messages

__all__ = [
    "Append",
    "CancelAttempt",
    "Effect",
    "ReleaseCache",
    "ReplicateTurn",
    "Reply",
    "ReplyTo",
    "RunAttempt",
]


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyTo:
    """Destination of a reply: a VM, and its number for the request."""

    vm: str
    request: int


@dataclasses.dataclass(frozen=True, slots=True)
class Append:
    """Append a record to the slot stream of this data centre."""

    record: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Send a message as the reply to a request."""

    to: ReplyTo
    message: Any


@dataclasses.dataclass(frozen=True, slots=True)
class RunAttempt:
    """Run an attempt on this VM."""

    grant: messages.Grant


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt that runs on ``vm``, as its program ends."""

    vm: str
    program: str
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicateTurn:
    """Replicate to other VMs a turn that is not in the log yet."""

    turn: Any


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseCache:
    """Release what engines cache for a program that has ended.

    ``fencing`` is the epoch of the slot's owner, used as fencing token.
    """

    program: str
    fencing: int
    upstreams: tuple[str, ...]


Effect = (
    Append | Reply | RunAttempt | CancelAttempt | ReplicateTurn | ReleaseCache
)
