"""Reads requests from the bytes of a connection, a bounded part at a time."""

import enum

import h11

from postspring.transport import caller_memory
from postspring.transport import http_messages
from postspring.transport import incoming
from postspring.transport import request_memory

__all__ = ["Progress", "RejectedError", "RequestReader"]

# h11 makes an event of each chunk of a body, however short.  More events than
# these are handled in the next turn of the event loop.
MAX_EVENTS = 64


class Progress(enum.Enum):
    """How far a request has been read."""

    NEEDS_INPUT = "needs_input"
    UNFINISHED = "unfinished"
    COMPLETE = "complete"


class RejectedError(Exception):
    """A request is not accepted.

    Parameters
    ==========

    status : int
        Status of the response.
    retry_after : float or None
        Seconds after which the caller may send it again.
    """

    def __init__(self, status: int, retry_after: float | None = None):
        super().__init__(status)
        self.status = status
        self.retry_after = retry_after


class RequestReader:
    """Parses the input of one connection.

    Parameters
    ==========

    http : h11.Connection
        State of the connection, as the server's side.

    Attributes
    ==========

    head : h11.Request or None
        Head of the request that is being read.
    unparsed : int
        Bytes of input that have not been parsed.
    """

    def __init__(
        self,
        http: h11.Connection,
        limits: incoming.ServerLimits,
        requests: request_memory.RequestMemory,
        callers: caller_memory.CallerMemory,
    ):
        self._http = http
        self._limits = limits
        self._requests = requests
        self._callers = callers
        self._body = bytearray()
        self._reservation = requests.reserve()
        self._holding = callers.hold()
        self.head: h11.Request | None = None
        self.unparsed = 0
        self._count()

    def add(self, data: bytes) -> None:
        """Add input without parsing it."""
        self._http.receive_data(data)
        self.unparsed += len(data)
        self._count()

    def read(self) -> Progress:
        """Parse a part of the input; return how far the request is read.

        Raises
        ------
        RejectedError
            If the request is invalid or too long, or if there is no memory
            for it.
        """
        try:
            progress = self._read()
        except h11.RemoteProtocolError as error:
            raise RejectedError(error.error_status_hint) from error
        finally:
            self.unparsed = len(self._http.trailing_data[0])
            self._count()
        is_complete = progress is Progress.COMPLETE
        use = caller_memory.MemoryUse.PARTIAL
        if is_complete:
            use = caller_memory.MemoryUse.COMPLETE
        if self._callers.is_above(use) and not self._holding.is_only:
            raise RejectedError(503, request_memory.RETRY_AFTER_SECONDS)
        return progress

    def take(self) -> tuple[h11.Request, bytes, object]:
        """Return a complete request, and what counts its memory.

        The memory is counted until the last object is freed.
        """
        head, body = self.head, bytes(self._body)
        holding = self._callers.hold()
        holding.set(self._request_bytes)
        held = (self._reservation, holding)
        self.release()
        return head, body, held

    def release(self) -> None:
        """Discard what has been read of a request."""
        self.head = None
        self._body = bytearray()
        self._reservation = self._requests.reserve()
        self._count()

    def close(self) -> None:
        """Count nothing any more."""
        self.release()
        self._holding.set(0)

    # -- own ------------------------------------------------------------------

    def _read(self) -> Progress:
        for _ in range(MAX_EVENTS):
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._handle_head(event)
            elif isinstance(event, h11.Data):
                self._body += event.data
                self._check_body(len(self._body))
            elif isinstance(event, h11.EndOfMessage):
                return Progress.COMPLETE
            else:
                return Progress.NEEDS_INPUT
        return Progress.UNFINISHED

    def _handle_head(self, head: h11.Request) -> None:
        self.head = head
        size = http_messages.content_length(head.headers)
        self._check_body(min(size, self._limits.body_bytes))

    def _check_body(self, size: int) -> None:
        """Reject a request whose body is too long."""
        if size > self._limits.body_bytes:
            raise RejectedError(413)
        if not self._reservation.grow_to(size):
            raise RejectedError(503, request_memory.RETRY_AFTER_SECONDS)

    @property
    def _request_bytes(self) -> int:
        """Memory of the request that is being read."""
        if self.head is None:
            return 0
        fields = len(self.head.headers) * caller_memory.FIELD_BYTES
        return caller_memory.CALL_BYTES + fields + len(self._body)

    def _count(self) -> None:
        size = caller_memory.CONNECTION_BYTES + self.unparsed
        self._holding.set(size + self._request_bytes)
