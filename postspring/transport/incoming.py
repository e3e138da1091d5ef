"""Requests that callers send, their responses, and limits for both."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import logging
from typing import Protocol

from postspring.transport import connection_end
from postspring.transport import descriptor_limits

__all__ = [
    "EndedBy",
    "Fields",
    "IncomingCall",
    "InterruptedResponse",
    "ResponseSender",
    "ServerLimits",
]

LOG = logging.getLogger(__name__)
BAD_GATEWAY = 502

Fields = Iterable[tuple[str | bytes, str | bytes]]


# Share of a VM's memory that unread responses may take; of 160 MB a VM under
# load needs 29 MB without them.
UNSENT_SHARE = 0.4
# Share for requests, which are held twice while they are sent.
REQUEST_SHARE = 0.2
# Share for all that callers have a process hold: requests, whole or in part,
# the objects of connections and calls, and unread responses.
CALLER_SHARE = 0.45
# Share for what other VMs have a process hold, mainly calls to the log that
# are relayed for them.
PEER_SHARE = 0.1
# A balancer that asks whether a VM is ready, or a collector of metrics, sends
# requests without a body, each VM one at a time.
PROBE_CONNECTIONS = 256
PROBE_BODY_BYTES = 16 * 1024
PROBE_MEMORY_BYTES = 1024 * 1024


@dataclasses.dataclass(slots=True)
class ServerLimits:
    """Limits for callers; sizes are in bytes, times in seconds.

    Explanation
    ===========

    A server reads the values at each use, so a new configuration takes
    effect at once.  ``body_seconds`` limits the time from the start of a
    request to the end of its body.  ``unsent_bytes`` limits the response bytes
    that the process buffers for all callers, and ``request_bytes`` the bodies
    of requests that it holds; ``caller_bytes`` limits all that it holds for
    callers.  0 is for no limit.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 5.0
    body_seconds: float = 30.0
    idle_seconds: float = 60.0
    unsent_bytes: int = 0
    request_bytes: int = 0
    caller_bytes: int = 0
    connections: int = dataclasses.field(
        default_factory=descriptor_limits.connection_limit
    )

    @classmethod
    def within(cls, max_files: int, memory_mb: int = 0) -> "ServerLimits":
        """Return limits for a process with so many files and so much memory.

        Parameters
        ----------
        max_files : int
            Files that it may open; 0 if that is not known.
        memory_mb : int
            Its memory, in MiB; 0 if that is not known.

        Examples
        --------
        >>> ServerLimits.within(8200, 160).unsent_bytes
        67108864
        >>> ServerLimits.within(8200, 160).request_bytes
        33554432
        >>> ServerLimits.within(8200, 160).caller_bytes
        75497472
        """
        return cls(
            connections=descriptor_limits.connection_limit(max_files),
            unsent_bytes=int(UNSENT_SHARE * memory_mb) * 1024 * 1024,
            request_bytes=int(REQUEST_SHARE * memory_mb) * 1024 * 1024,
            caller_bytes=int(CALLER_SHARE * memory_mb) * 1024 * 1024,
        )

    @classmethod
    def for_peers(cls, max_files: int, memory_mb: int = 0) -> "ServerLimits":
        """Return limits for the port that other VMs call.

        Examples
        --------
        >>> ServerLimits.for_peers(8200, 160).caller_bytes
        16777216
        """
        share = int(PEER_SHARE * memory_mb * 1024 * 1024)
        return cls(
            connections=descriptor_limits.connection_limit(max_files),
            unsent_bytes=share,
            request_bytes=share,
            caller_bytes=share,
        )

    @classmethod
    def for_probes(cls) -> "ServerLimits":
        """Return limits for a port with short requests of few callers."""
        return cls(
            body_bytes=PROBE_BODY_BYTES,
            connections=PROBE_CONNECTIONS,
            unsent_bytes=PROBE_MEMORY_BYTES,
            request_bytes=PROBE_MEMORY_BYTES,
            caller_bytes=PROBE_MEMORY_BYTES,
        )


class EndedBy(enum.Enum):
    """Which side ended a connection with an incomplete response."""

    CALLER = "caller"
    VM = "vm"
    ERROR = "error"

    @classmethod
    def of(
        cls, end: connection_end.ConnectionEnd, is_given_up: bool
    ) -> "EndedBy":
        """Return the side that ended a connection.

        Parameters
        ----------
        is_given_up : bool
            Whether this VM had given up the response before.
        """
        if end.is_break:
            return cls.ERROR
        if is_given_up or not end.is_remote:
            return cls.VM
        return cls.CALLER


@dataclasses.dataclass(frozen=True, slots=True)
class InterruptedResponse:
    """The end of a connection while a response was incomplete or unsent.

    Parameters
    ==========

    call : IncomingCall or None
        The request that was open, or whose response was partly unsent.
    unsent : int
        Response bytes that were still buffered in this process.
    seconds : float
        Time since the last byte of the request arrived.
    """

    ended_by: EndedBy
    call: "IncomingCall | None"
    unsent: int
    seconds: float


class ResponseSender(Protocol):
    """The connection that a request arrived on."""

    def send_response(self, status: int, fields: list, body: bytes) -> None:
        """Send a complete response."""

    def send_head(self, status: int, fields: list) -> None:
        """Send the status and header fields of a response."""

    def send_data(self, data: bytes) -> None:
        """Send a part of a response's body."""

    def send_end(self) -> None:
        """Mark the response as complete."""

    def abort(self) -> None:
        """Close the connection without completing the response."""


class IncomingCall:
    """A request; its response may be sent at any later time.

    Explanation
    ===========

    Send the response with :meth:`respond`, or with :meth:`start`,
    :meth:`send` and :meth:`finish`.  :meth:`abort` closes the connection, so
    that a truncated response does not look complete.  When the caller has
    disconnected, ``on_disconnect`` is called and responses are discarded.

    Parameters
    ==========

    fields : list of (str, str)
        Header fields in the order and case in which they were sent.
    received_at : float
        Monotonic time of the request's last byte, in seconds.
    held : object, optional
        Counts the memory of the request; kept as long as the call.

    Attributes
    ==========

    gone : bool
        Whether the caller has disconnected.
    answered : bool
        Whether a response was started, or the call was aborted.
    close_after_response : bool
        Whether the connection is closed after the response, so that the
        caller opens a new one.
    on_shutdown_deadline : callable or None
        Called when this VM is about to stop: it has to send the final
        response now.
    """

    def __init__(
        self,
        connection: ResponseSender,
        method: str,
        target: str,
        fields: list[tuple[str, str]],
        body: bytes,
        received_at: float,
        held: object = None,
    ):
        self._connection = connection
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body
        self.received_at = received_at
        self._held = held
        self.gone = False
        self.close_after_response = False
        self.answered = False
        self.on_disconnect: Callable[[], None] | None = None
        self.on_shutdown_deadline: Callable[[], None] | None = None
        self._value_by_name: dict[str, str] = {}
        for name, value in fields:
            self._value_by_name.setdefault(name.lower(), value)

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header field; case is ignored."""
        return self._value_by_name.get(name.lower(), default)

    def respond(self, status: int, fields: Fields, body: bytes = b"") -> None:
        """Send a complete response."""
        if self.answered or self.gone:
            return
        self.answered = True
        self._clear_callbacks()
        length = ("Content-Length", str(len(body)))
        self._connection.send_response(status, [*fields, length], body)

    def start(self, status: int, fields: Fields) -> None:
        """Start a response of unknown length."""
        if self.answered or self.gone:
            return
        self.answered = True
        self._connection.send_head(status, list(fields))

    def send(self, data: bytes) -> None:
        """Send a part of the body of a started response."""
        if not self.gone and data:
            self._connection.send_data(data)

    def finish(self) -> None:
        """Complete a started response."""
        self._clear_callbacks()
        if not self.gone:
            self._connection.send_end()

    def end_for_shutdown(self) -> None:
        """Send the final response, or abort one that has started.

        ``on_shutdown_deadline`` can state in its response whether the
        request was executed.  Without it, the caller gets a plain 502, which
        states nothing about that.
        """
        had_started = self.answered
        must_abort = had_started and self.on_shutdown_deadline is None
        try:
            if self.on_shutdown_deadline is not None:
                self.on_shutdown_deadline()
        except Exception:
            # The remaining calls must still be completed.
            LOG.exception("completing a call at shutdown failed")
            must_abort = had_started
        if must_abort:
            self.abort()
        self.respond(BAD_GATEWAY, [])

    def abort(self) -> None:
        """Close the connection without completing the response."""
        self.answered = True
        self._clear_callbacks()
        if not self.gone:
            self._connection.abort()

    def disconnect(self) -> None:
        """Notify the owner that the caller has disconnected."""
        self.gone = True
        on_disconnect = self.on_disconnect
        self._clear_callbacks()
        if on_disconnect is not None:
            on_disconnect()

    def _clear_callbacks(self) -> None:
        """Break the reference cycles that keep a finished call's body."""
        self.on_disconnect = None
        self.on_shutdown_deadline = None
