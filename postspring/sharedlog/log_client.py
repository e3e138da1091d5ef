"""Client of the platform's append-only log.

The log's HTTP interface, as the platform's stand-in serves it:

``POST /streams/<name>`` with a CBOR array of byte strings appends them as
one batch and returns JSON ``{"offset": first}``.

``GET /streams/<name>?from=N&limit=M&wait=S`` returns CBOR
``{"first": oldest kept, "next": next offset, "records": [[offset, bytes]]}``,
waiting up to ``S`` seconds for a new record.
"""

from collections.abc import Callable
import dataclasses
import json

import cbor2

from postspring import errors
from postspring import transport

__all__ = ["LogClient", "LogPage"]

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
TIMEOUT_SECONDS = 2.0
# Errors that decoding a malformed response can raise.
_INVALID_RESPONSE_ERRORS = (
    cbor2.CBORDecodeError,
    LookupError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


@dataclasses.dataclass(frozen=True, slots=True)
class LogPage:
    """Records of a stream that one read returned.

    Parameters
    ==========

    first : int
        Offset of the oldest record that the log still has.
    next : int
        Offset that the next new record will get.
    records : tuple of (int, bytes)
        Offset and content of each record.
    """

    first: int
    next: int
    records: tuple[tuple[int, bytes], ...]


class _LogResponse(transport.HttpListener):
    """Collects a response of the log, decodes it and passes it on."""

    def __init__(
        self, decode: Callable, on_done: Callable, on_error: Callable
    ):
        self._decode = decode
        self._on_done = on_done
        self._on_error = on_error
        self._status = 0
        self._body = bytearray()

    def head(self, status, headers):
        """Store the status."""
        self._status = status

    def data(self, chunk):
        """Append a chunk of the body."""
        self._body += chunk

    def end(self):
        """Pass the decoded body on, or an error if there is none."""
        if self._status != 200:
            text = f"log answered {self._status}: {bytes(self._body[:200])!r}"
            self._on_error(errors.PlatformError(text))
            return
        try:
            result = self._decode(bytes(self._body))
        except _INVALID_RESPONSE_ERRORS as error:
            text = f"invalid response of the log: {error}"
            self._on_error(errors.PlatformError(text))
            return
        self._on_done(result)

    def failed(self, error):
        """Pass a transport error on as a ``PlatformError``."""
        self._on_error(errors.PlatformError(str(error)))


class LogClient:
    """Appends to and reads from streams of the log.

    Parameters
    ==========

    http : HttpClient
        Sends the requests.
    address : tuple of (str, int)
        IP address and port of the log service.
    timeout : float
        Seconds for an append, and for a read in addition to its wait.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        address: tuple[str, int],
        timeout: float = TIMEOUT_SECONDS,
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
        """Append a batch; after an error it may or may not be in the log."""

        def decode(body: bytes) -> int:
            return int(json.loads(body)["offset"])

        request = transport.HttpRequest(
            address=self._address,
            method="POST",
            path=f"/streams/{stream}",
            body=cbor2.dumps(records),
            headers=(("Content-Type", "application/cbor"),),
            connect_timeout=min(1.0, self._timeout),
            timeout=self._timeout,
            max_response_bytes=MAX_RESPONSE_BYTES,
        )
        self._http.send(request, _LogResponse(decode, on_offset, on_error))

    def read(
        self,
        stream: str,
        offset: int,
        wait: float,
        on_page: Callable[[LogPage], None],
        on_error: Callable[[errors.PlatformError], None],
        limit: int = 2000,
    ) -> transport.Exchange:
        """Read from ``offset`` on; the log waits up to ``wait`` seconds."""

        def decode(body: bytes) -> LogPage:
            page = cbor2.loads(body)
            records = tuple(
                (int(record_offset), bytes(data))
                for record_offset, data in page["records"]
            )
            return LogPage(int(page["first"]), int(page["next"]), records)

        request = transport.HttpRequest(
            address=self._address,
            method="GET",
            path=(
                f"/streams/{stream}?from={offset}&limit={limit}&wait={wait:g}"
            ),
            connect_timeout=min(1.0, self._timeout),
            timeout=wait + self._timeout,
            max_response_bytes=MAX_RESPONSE_BYTES,
        )
        return self._http.send(
            request, _LogResponse(decode, on_page, on_error)
        )
