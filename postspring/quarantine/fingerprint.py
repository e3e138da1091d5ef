"""Identity of a request over its attempts, which have different ids."""

from collections.abc import Iterable
import hashlib
from typing import NewType

__all__ = ["Fingerprint", "fingerprint_of"]

Fingerprint = NewType("Fingerprint", str)

DIGEST_BYTES = 16
LENGTH_BYTES = 8


def fingerprint_of(parts: Iterable[str | bytes]) -> Fingerprint:
    """Return a digest of all that stays the same over a request's attempts.

    A caller must not be able to have another one's request rejected, so the
    digest is a cryptographic one, and each part is preceded by its length.

    Examples
    --------
    >>> fingerprint_of(["POST", "/x", b"body"]) == fingerprint_of(
    ...     ["POST", "/x", b"body"]
    ... )
    True
    >>> fingerprint_of(["a", "bc"]) == fingerprint_of(["ab", "c"])
    False
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = (
            part.encode("utf-8", "replace") if isinstance(part, str) else part
        )
        digest.update(len(data).to_bytes(LENGTH_BYTES, "big"))
        digest.update(data)
    return Fingerprint(digest.hexdigest())
