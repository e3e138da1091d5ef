"""Limits on what a server sends for one request.

Where a response may not end, each part of it needs a limit: the timeout alone
lets a fast server fill the memory, and keep the event loop busy.
"""

from collections.abc import Iterable
import math

from postspring.transport import http_messages

__all__ = ["MAX_HEADER_BYTES", "ResponseLimitError", "ResponseLimits"]

# Longest head of a response, in bytes, and most fields of it: objects of
# fields take many times their bytes.
MAX_HEADER_BYTES = 16 * 1024
MAX_FIELDS = 1000
# Most bytes of interim responses (1xx) to one request, by an estimate.
MAX_INTERIM_BYTES = 64 * 1024
# Bytes of a status line and of a field beside their text.
_LINE_BYTES = 16
_FIELD_BYTES = 4
# Late responses to earlier requests on one connection: how many are skipped,
# and how many bytes they may have together, as received.
MAX_SKIPPED_RESPONSES = 8
MAX_SKIPPED_BYTES = 16 * 1024 * 1024


class ResponseLimitError(Exception):
    """A response exceeds a limit."""


class ResponseLimits:
    """Counts what one exchange receives.

    Every method raises :class:`ResponseLimitError` beyond its limit.

    Parameters
    ==========

    max_body_bytes : float
        Longest body of the response.

    Examples
    ========

    >>> limits = ResponseLimits(10)
    >>> limits.add_body(10)
    >>> limits.add_body(1)
    Traceback (most recent call last):
        ...
    postspring.transport.response_limits.ResponseLimitError: body above 10 \
bytes
    """

    def __init__(self, max_body_bytes: float = math.inf):
        self._max_body_bytes = max_body_bytes
        self._body_bytes = 0
        self._interim_bytes = 0
        self._skipped_responses = 0
        self._skipped_bytes = 0

    def check_fields(self, fields: list[tuple[bytes, bytes]]) -> None:
        """Check the number of header fields of a response."""
        if len(fields) > MAX_FIELDS:
            raise ResponseLimitError(f"above {MAX_FIELDS} header fields")

    def check_length(self, fields: Iterable[tuple[bytes, bytes]]) -> None:
        """Check the length of the body, if the header fields state it."""
        self._check_body(http_messages.content_length(fields))

    def add_body(self, count: int) -> None:
        """Count bytes of the body."""
        self._body_bytes += count
        self._check_body(self._body_bytes)

    def add_interim(self, fields: Iterable[tuple[bytes, bytes]]) -> None:
        """Count an interim response."""
        self._interim_bytes += _LINE_BYTES + sum(
            len(name) + len(value) + _FIELD_BYTES for name, value in fields
        )
        if self._interim_bytes > MAX_INTERIM_BYTES:
            raise ResponseLimitError("too many interim responses")

    def add_skipped(self) -> None:
        """Count a response to another request."""
        self._skipped_responses += 1
        if self._skipped_responses > MAX_SKIPPED_RESPONSES:
            raise ResponseLimitError("too many responses to other requests")

    def add_skipped_bytes(self, count: int) -> None:
        """Count bytes received while such a response is skipped."""
        self._skipped_bytes += count
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            raise ResponseLimitError("endless response to another request")

    def _check_body(self, count: int) -> None:
        if count > self._max_body_bytes:
            text = f"body above {self._max_body_bytes:.0f} bytes"
            raise ResponseLimitError(text)
