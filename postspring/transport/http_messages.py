"""A request to send, and what is told of its answer."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

import h11

from postspring import errors

__all__ = [
    "AnswerCollector",
    "HttpListener",
    "HttpRequest",
    "encode_fields",
    "integer_in",
    "write_request",
]

# Of a number in a header field: more than any count of seconds, tokens or
# events has, and few enough that none takes long to read.
MOST_DIGITS = 18


def integer_in(text: str) -> int | None:
    """Return the number that a header field holds; None if it holds none.

    Examples
    --------
    >>> integer_in("80"), integer_in("-1"), integer_in("\\xb2")
    (80, None, None)
    >>> integer_in("9" * 99)
    """
    is_number = text.isascii() and text.isdigit()
    return int(text) if is_number and len(text) <= MOST_DIGITS else None


@dataclasses.dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request; times in seconds.

    Parameters
    ==========

    address : tuple of (str, int)
        IP number and port.
    timeout : float
        For the whole exchange.
    fresh : bool
        Never reuse a connection: if a reused one breaks, nobody can tell
        whether the request ran.
    paced : bool
        Read the answer at intervals, for streams of many small chunks.
    max_idle : float
        Reuse only a connection that was idle for less than this.
    silent_after : float
        Without a byte of an answer for this long, connections to the same
        address that were idle since before are not used for others.
    is_answer : callable, optional
        Told the headers of a response (names in lower case); returns
        whether it answers this request.  A response that does not is
        skipped: it is a late one to an earlier request.
    """

    address: tuple[str, int]
    method: str
    path: str
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    connect_timeout: float = 2.0
    timeout: float = 30.0
    fresh: bool = False
    paced: bool = False
    max_idle: float = math.inf
    silent_after: float = math.inf
    is_answer: Callable[[dict[str, str]], bool] | None = None

    @property
    def fields(self) -> list[tuple[str, str]]:
        """The header fields to send, with Host and Content-Length."""
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
    """Return header fields as the bytes that were read as this text.

    HTTP allows bytes above 127 in values; h11 takes text for ASCII.

    Raises
    ------
    UnicodeEncodeError
        If a character is none of HTTP's bytes.

    Examples
    --------
    >>> encode_fields([("X-Name", "caf\\xe9"), (b"X-Same", b"caf\\xe9")])
    [(b'X-Name', b'caf\\xe9'), (b'X-Same', b'caf\\xe9')]
    """
    return [(_encode(name), _encode(value)) for name, value in fields]


def _encode(text: str | bytes) -> bytes:
    return text.encode("latin-1") if isinstance(text, str) else text


def write_request(connection: h11.Connection, request: HttpRequest) -> bytes:
    """Return a request's bytes, and note them as sent on its connection."""
    event = h11.Request(
        method=request.method,
        target=request.path,
        headers=encode_fields(request.fields),
    )
    data = connection.send(event)
    if request.body:
        data += connection.send(h11.Data(data=request.body))
    return data + connection.send(h11.EndOfMessage())


class HttpListener:
    """What the user of an exchange implements."""

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Take the status and the headers, names in lower case."""

    def data(self, chunk: bytes) -> None:
        """Take a part of the body."""

    def end(self) -> None:
        """Take note that the body is complete."""

    def failed(self, error: errors.TransportError) -> None:
        """Take note that the exchange broke; nothing else follows."""


class AnswerCollector(HttpListener):
    """Collects a whole answer, for calls whose answers are small.

    Parameters
    ==========

    on_answer : callable
        Called with the status and the whole body.
    on_failed : callable
        Called with the error if no answer came.
    """

    def __init__(
        self,
        on_answer: Callable[[int, bytes], None],
        on_failed: Callable[[errors.TransportError], None],
    ):
        self._on_answer = on_answer
        self._on_failed = on_failed
        self._status = 0
        self._body = bytearray()

    def head(self, status: int, headers: dict[str, str]) -> None:
        """Keep the status."""
        self._status = status

    def data(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self._body += chunk

    def end(self) -> None:
        """Hand the answer over."""
        self._on_answer(self._status, bytes(self._body))

    def failed(self, error: errors.TransportError) -> None:
        """Hand the error over."""
        self._on_failed(error)
