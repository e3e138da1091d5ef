"""Client of the platform's append-only log.

The log's interface, as the platform's stand-in serves it:

``POST /streams/<name>`` with a CBOR array of byte strings appends them as
one batch and answers JSON ``{"offset": first}``.

``GET /streams/<name>?from=N&limit=M&wait=S`` answers CBOR
``{"first": oldest kept, "next": next offset, "records": [[offset, bytes]]}``,
waiting up to ``S`` seconds for a record to come.
"""

from collections.abc import Callable
import dataclasses
import json

import cbor2

from postspring import errors
from postspring import transport

__all__ = ["LogClient", "LogPage"]

MAX_ANSWER_BYTES = 64 * 1024 * 1024
READ_SLACK_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """A part of a stream: ``first`` and ``next`` are offsets."""

    first: int
    next: int
    records: tuple[tuple[int, bytes], ...]


class _WholeAnswer(transport.HttpListener):
    """Collects a whole answer, then hands it on."""

    def __init__(self, on_answer: Callable, on_error: Callable):
        self._on_answer = on_answer
        self._on_error = on_error
        self._status = 0
        self._body = bytearray()

    def head(self, status, headers):
        """Keep the status."""
        self._status = status

    def data(self, chunk):
        """Keep a part of the body, within bounds."""
        if len(self._body) + len(chunk) <= MAX_ANSWER_BYTES:
            self._body += chunk

    def end(self):
        """Hand the answer on."""
        if self._status != 200:
            text = f"log answered {self._status}: {bytes(self._body[:200])!r}"
            self._on_error(errors.PlatformError(text))
            return
        try:
            self._on_answer(bytes(self._body))
        except (ValueError, KeyError, TypeError) as error:
            raise errors.PlatformError(f"log's answer: {error}") from error

    def failed(self, error):
        """Turn the transport's error into the platform's."""
        self._on_error(errors.PlatformError(str(error)))


class LogClient:
    """Appends to and reads from streams.

    Parameters
    ==========

    http : HttpClient
        Sends the requests.
    address : tuple of (str, int)
        The log service's IP number and port.
    timeout : float
        Seconds for an append, and for a read beyond its wait.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        address: tuple[str, int],
        timeout: float = READ_SLACK_SECONDS,
    ):
        self._http = http
        self._address = address
        self._timeout = timeout

    def append(
        self,
        stream: str,
        records: list[bytes],
        on_offset: Callable[[int], None],
        on_error: Callable[[errors.PlatformError], None],
    ) -> None:
        """Append a batch; after an error it may or may not have happened."""

        def answer(body: bytes) -> None:
            on_offset(int(json.loads(body)["offset"]))

        request = transport.HttpRequest(
            address=self._address,
            method="POST",
            path=f"/streams/{stream}",
            body=cbor2.dumps(records),
            headers=(("Content-Type", "application/cbor"),),
            connect_timeout=min(1.0, self._timeout),
            timeout=self._timeout,
        )
        self._http.send(request, _WholeAnswer(answer, on_error))

    def read(
        self,
        stream: str,
        offset: int,
        wait: float,
        on_page: Callable[[LogPage], None],
        on_error: Callable[[errors.PlatformError], None],
        limit: int = 2000,
    ) -> transport.Exchange:
        """Read from ``offset`` on, waiting up to ``wait`` seconds."""

        def answer(body: bytes) -> None:
            page = cbor2.loads(body)
            records = tuple(
                (int(number), bytes(data)) for number, data in page["records"]
            )
            on_page(LogPage(int(page["first"]), int(page["next"]), records))

        request = transport.HttpRequest(
            address=self._address,
            method="GET",
            path=(
                f"/streams/{stream}?from={offset}&limit={limit}&wait={wait:g}"
            ),
            connect_timeout=min(1.0, self._timeout),
            timeout=wait + self._timeout,
        )
        return self._http.send(request, _WholeAnswer(answer, on_error))
