"""HTTP requests to send, and listeners for their responses."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

import h11

from postspring import errors

__all__ = [
    "HttpListener",
    "HttpRequest",
    "ResponseCollector",
    "content_length",
    "decode_headers",
    "encode_fields",
    "has_length",
    "join_parts",
    "parse_integer",
    "serialize_request",
]

# Longest number accepted in a header field: longer than any count of seconds,
# tokens or events, and short enough to be parsed quickly.
MAX_DIGITS = 18
# Longer messages are sent in parts: joined, a body would be held twice.
MAX_JOINED_BYTES = 32 * 1024
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})


def parse_integer(text: str) -> int | None:
    """Return a header field's value as a non-negative integer, or None.

    Examples
    --------
    >>> parse_integer("80"), parse_integer("-1"), parse_integer("\\xb2")
    (80, None, None)
    >>> parse_integer("9" * 99)
    """
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= MAX_DIGITS else None


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """An HTTP request to send; times are in seconds.

    Parameters
    ==========

    address : tuple of (str, int)
        IP address and port.
    timeout : float
        Limit for the whole exchange.
    fresh : bool
        Send on a new connection: if a reused one breaks, it is unknown
        whether the request was executed.
    may_resend : bool
        Send it once more, if its method is idempotent, when a reused
        connection closes without a response.
    paced : bool
        Read the response at intervals, for streams of many small chunks.
    max_idle : float
        Reuse only a connection that has been idle for at most this long.
    silent_after : float
        If no byte of a response has arrived after this time, connections
        to the same address that were idle before this request was sent are
        closed instead of reused.
    is_prompt : bool
        The server responds without delay unless it fails or is overloaded.
    data_center : str
        Data centre of the server, if the sender knows it.
    is_own_response : callable, optional
        Takes the headers of a response (names in lower case) and returns
        whether the response belongs to this request.  Any other response
        is skipped as a late one to an earlier request.
    max_response_bytes : float
        Longest body of the response.  A longer one closes the connection and
        fails the exchange, as soon as a header field or the body shows it.
    """

    address: tuple[str, int]
    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    connect_timeout: float = 2.0
    timeout: float = 30.0
    fresh: bool = False
    may_resend: bool = True
    paced: bool = False
    max_idle: float = math.inf
    silent_after: float = math.inf
    is_prompt: bool = False
    data_center: str = ""
    is_own_response: Callable[[dict[str, str]], bool] | None = None
    max_response_bytes: float = math.inf

    @property
    def is_resendable(self) -> bool:
        """Whether it may be sent once more by this client."""
        return self.may_resend and self.method in IDEMPOTENT_METHODS

    @property
    def fields(self) -> list[tuple[str, str]]:
        """Header fields to send, including Host and Content-Length."""
        names = {name.lower() for name, value in self.headers}
        fields = list(self.headers)
        if "host" not in names:
            host = f"{self.address[0]}:{self.address[1]}"
            fields.insert(0, ("Host", host))
        if self.body or self.method in ("POST", "PUT"):
            fields.append(("Content-Length", str(len(self.body))))
        return fields


def encode_fields(
    fields: Iterable[tuple[str | bytes, str | bytes]],
) -> list[tuple[bytes, bytes]]:
    """Encode header fields in Latin-1, in which they were decoded.

    HTTP allows bytes above 127 in values, but h11 encodes text as ASCII.

    Raises
    ------
    UnicodeEncodeError
        If a character is not in Latin-1.

    Examples
    --------
    >>> encode_fields([("X-Name", "caf\\xe9"), (b"X-Same", b"caf\\xe9")])
    [(b'X-Name', b'caf\\xe9'), (b'X-Same', b'caf\\xe9')]
    """
    return [(_encode(name), _encode(value)) for name, value in fields]


def decode_headers(
    fields: Iterable[tuple[bytes, bytes]],
) -> dict[str, str]:
    """Return a response's headers by their names in lower case.

    Examples
    --------
    >>> decode_headers([(b"Content-Type", b"text/plain")])
    {'content-type': 'text/plain'}
    """
    return {
        name.lower().decode("latin-1"): value.decode("latin-1")
        for name, value in fields
    }


def has_length(fields: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether header fields state where the body ends.

    Examples
    --------
    >>> has_length([(b"Transfer-Encoding", b"chunked")])
    True
    >>> has_length([(b"Content-Type", b"text/plain")])
    False
    """
    names = {name.lower() for name, value in fields}
    return not names.isdisjoint((b"content-length", b"transfer-encoding"))


def content_length(fields: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the length that header fields state, or 0.

    A transfer coding overrides a stated length (RFC 9112, section 6.3).

    Examples
    --------
    >>> content_length([(b"content-length", b"12")]), content_length([])
    (12, 0)
    >>> chunked = (b"transfer-encoding", b"chunked")
    >>> content_length([(b"content-length", b"12"), chunked])
    0
    """
    length = 0
    for name, value in fields:
        if name.lower() == b"transfer-encoding":
            return 0
        if name.lower() == b"content-length":
            length = parse_integer(value.decode("latin-1")) or 0
    return length


def _encode(text: str | bytes) -> bytes:
    return text.encode("latin-1") if isinstance(text, str) else text


def serialize_request(
    connection: h11.Connection, request: HttpRequest
) -> list[bytes]:
    """Return a request's bytes and advance the state of ``connection``.

    A long body is a part of its own, which is not copied.
    """
    event = h11.Request(
        method=request.method,
        target=request.path,
        headers=encode_fields(request.fields),
    )
    parts = [connection.send(event)]
    if request.body:
        data = h11.Data(data=request.body)
        parts += connection.send_with_data_passthrough(data)
    parts.append(connection.send(h11.EndOfMessage()))
    return join_parts(parts)


def join_parts(parts: list[bytes]) -> list[bytes]:
    """Return the parts of a message, joined if they are short together.

    Examples
    --------
    >>> join_parts([b"head", b"body"])
    [b'headbody']
    >>> len(join_parts([b"head", b"x" * 100_000]))
    2
    """
    if sum(map(len, parts)) <= MAX_JOINED_BYTES:
        return [b"".join(parts)]
    return parts


class HttpListener:
    """Receives the response of one exchange; subclasses override."""

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Handle the status and the headers, with names in lower case."""

    def data(self, chunk: bytes) -> None:
        """Handle a part of the body."""

    def end(self) -> None:
        """Handle the end of a complete body."""

    def failed(self, error: errors.TransportError) -> None:
        """Handle the failure of the exchange; no other call follows."""


class ResponseCollector(HttpListener):
    """Buffers a response and passes it on when it is complete.

    The whole body is kept in memory, so the request needs a limit for it:
    ``max_response_bytes``.

    Parameters
    ==========

    on_response : callable
        Called with the status and the complete body.
    on_failed : callable
        Called with the error if no complete response arrived.
    """

    def __init__(
        self,
        on_response: Callable[[int, bytes], None],
        on_failed: Callable[[errors.TransportError], None],
    ):
        self._on_response = on_response
        self._on_failed = on_failed
        self._status = 0
        self._body = bytearray()

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Store the status."""
        self._status = status

    def data(self, chunk: bytes) -> None:
        """Append a part of the body."""
        self._body += chunk

    def end(self) -> None:
        """Pass the complete response on."""
        self._on_response(self._status, bytes(self._body))

    def failed(self, error: errors.TransportError) -> None:
        """Pass the error on."""
        self._on_failed(error)
