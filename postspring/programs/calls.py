"""Properties of calls: kind, digests, status and usage."""

import enum
import hashlib

from postspring import codec

__all__ = [
    "CallKind",
    "DIGEST_BYTES",
    "TurnStatus",
    "Usage",
    "chain_digest",
    "request_digest",
]

DIGEST_BYTES = 16


class CallKind(enum.StrEnum):
    """Kind of upstream that a call goes to."""

    MODEL = "model"
    TOOL = "tool"
    SERVICE = "service"


class TurnStatus(enum.StrEnum):
    """Outcome of a turn.

    ``UNKNOWN`` means that the call may not be repeated and may have been
    dispatched, and that the owner which closed it had no answer.
    """

    ANSWERED = "answered"
    UNKNOWN = "unknown"


@codec.message()
class Usage:
    """Tokens that an engine counted for one call."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0


def request_digest(kind: CallKind, target: str, request: bytes) -> bytes:
    """Return the digest that identifies the content of a call.

    Parameters
    ----------
    kind, target
        The call's kind and the model, tool or service it names.
    request : bytes
        The request's JSON, exactly as the caller's VM encoded it.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (kind.value.encode(), target.encode(), request):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def chain_digest(
    parent: bytes, step: int, request: bytes, answer: bytes
) -> bytes:
    """Return the digest of a turn, chained to the preceding turn.

    Parameters
    ----------
    parent : bytes
        Digest of the preceding turn; empty for the first.
    step : int
        The turn's number, from 1.
    request : bytes
        The call's :func:`request_digest`.
    answer : bytes
        The answer's JSON.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (parent, step.to_bytes(8, "big"), request, answer):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
