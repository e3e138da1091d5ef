"""One HTTP request and its response: h11 on a connection of the hub.

``circuits.web.client`` handles one request per object and buffers whole
responses; streaming needs h11 instead.
"""

import math
import socket
from typing import Any

import h11

from postspring import errors
from postspring.transport import connection_end
from postspring.transport import http_messages
from postspring.transport import kept_connections
from postspring.transport import response_end
from postspring.transport import response_limits
from postspring.transport import sockets

__all__ = ["Exchange"]

# A cancelled request without a byte of a response makes its address suspect
# only after this long, in seconds: the time a connection is given to open.
SILENT_SECONDS = 0.4
# Each chunk is an event, which takes some 10 us.  After a read with so many
# events, reads are short while events have fewer bytes than this, so that a
# response in tiny chunks does not keep the event loop busy.
MANY_EVENTS = 500
EVENT_BYTES = 64
SHORT_READ_BYTES = 4096

_TEXT_BY_END = {
    connection_end.ConnectionEnd.EOF: "connection closed",
    connection_end.ConnectionEnd.RESET: "connection reset",
    connection_end.ConnectionEnd.TIMED_OUT: "connection timed out",
    connection_end.ConnectionEnd.LOCAL: "connection closed by this VM",
    connection_end.ConnectionEnd.HANDLER_FAILED: "response handler failed",
}


class Exchange(sockets.ConnectionHandler):
    """One request and its response; :meth:`cancel` closes its connection.

    Attributes
    ==========

    response_end : ResponseEnd or None
        How the connection ended, if it did so before the response ended by
        its own framing.
    """

    def __init__(
        self,
        client: Any,
        request: http_messages.HttpRequest,
        listener,
    ):
        self.request = request
        self.sent = False
        self.header_fields: list[tuple[bytes, bytes]] = []
        self._skipping_response = False
        self._client = client
        self._listener = listener
        self._socket: socket.socket | None = None
        self._http: h11.Connection | None = None
        self._reused = False
        self._has_head = False
        self._is_paused = False
        self._limits = response_limits.ResponseLimits(
            request.max_response_bytes
        )
        self._received_bytes = 0
        self._unsent_bytes = 0
        self.response_end: response_end.ResponseEnd | None = None
        self.sent_at = client.timers.now()
        self._timeout_timer = client.timers.call_later(
            request.timeout, self._time_out
        )

    @property
    def done(self) -> bool:
        """Whether the exchange has completed, failed or been cancelled."""
        return self._listener is None

    def cancel(self) -> None:
        """Abort the exchange; the listener is not called any more."""
        self._listener = None
        self._client.memory.remove(self)
        self._client.observer.ended(self)
        self._timeout_timer.cancel()
        waited = self._client.timers.now() - self.sent_at
        if self.is_silent and waited >= SILENT_SECONDS:
            self._client.close_older_idle(self)
        self._drop_connection()

    @property
    def is_silent(self) -> bool:
        """Whether it is on a connection and no response byte has arrived."""
        return self._socket is not None and not self._received_bytes

    def pause(self) -> None:
        """Stop reading a paced response."""
        if self._socket is not None:
            self._client.hub.stop_paced_reading(self._socket)

    def resume(self) -> None:
        """Continue reading a paced response."""
        if self._socket is not None and not self.done:
            self._client.hub.resume_reading(self._socket)
            self._client.hub.start_paced_reading(self._socket)

    def pause_reading(self) -> None:
        """Leave the rest of the response in the kernel."""
        if self._socket is not None:
            self._is_paused = True
            self._client.hub.pause_reading(self._socket)

    def resume_reading(self) -> None:
        """Read on after :meth:`pause_reading`."""
        if self._is_paused and self._socket is not None:
            self._is_paused = False
            self._client.hub.resume_reading(self._socket)

    # -- from the client ------------------------------------------------------

    def attach(
        self, sock: socket.socket, connection: h11.Connection, reused: bool
    ) -> "Exchange":
        """Send the request on this connection."""
        if self.done:
            self._client.hub.close_when_sent(sock)
            return self
        if not reused:
            self._client.observer.connected(self)
        self._socket = sock
        self._http = connection
        self._reused = reused
        try:
            parts = http_messages.serialize_request(connection, self.request)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            # The hub would only log an exception that is raised here; the
            # listener is to get it as a failure.
            text = f"bad request: {error}"
            self._client.timers.call_later(0, self._fail, text)
            return self
        self.sent = True
        self.sent_at = self._client.timers.now()
        if self.request.silent_after < math.inf:
            self._client.awaiting_response[self] = None
        # The hub registers a new connection after this method returns.
        self._client.timers.call_later(0, self._transmit, parts)
        return self

    def _transmit(self, parts: list[bytes]) -> None:
        for part in parts:
            if self._socket is not None:
                self._client.hub.send(self._socket, part, is_kept=True)

    def connect_failed(self, error: errors.TransportError) -> None:
        """Fail because no connection could be established."""
        if self.sent:  # It may have run before a reused connection closed.
            self._fail("connection closed", is_broken=True)
        self._finish_with(error)

    # -- from the hub ---------------------------------------------------------

    def received(self, data: bytes) -> None:
        """Parse the bytes and pass the response to the listener."""
        self._received_bytes += len(data)
        self._client.observer.received(self)
        self._client.awaiting_response.pop(self, None)
        self._parse(data)

    def _time_out(self) -> None:
        if self.is_silent:
            self._client.close_older_idle(self)
        self._fail("timeout")

    def ended(self, end: connection_end.ConnectionEnd) -> None:
        """Handle the end of the connection, which may end the response.

        After a break, the network path or the server's machine may have
        failed, so idle connections to the same address are closed.
        """
        self._socket = None
        if end.is_break:
            self._client.close_idle_connections(self.request.address)
        if self.done:
            return
        if end.is_remote and self._retry_on_new_connection():
            return
        has_length = http_messages.has_length(self.header_fields)
        is_at_eof = end is connection_end.ConnectionEnd.EOF
        self.response_end = response_end.ResponseEnd(
            end,
            is_at_eof and self._has_head and not has_length,
            has_length,
            self._received_bytes,
            self._unsent_bytes,
        )
        if is_at_eof:
            self._complete_at_eof()
        if not self.done:
            self._fail(
                _TEXT_BY_END[end],
                is_unreachable=end is connection_end.ConnectionEnd.TIMED_OUT,
                is_broken=end.is_remote,
            )

    def unsent_discarded(self, unsent: int) -> None:
        """Record how much of the request was not sent."""
        self._unsent_bytes = unsent

    # -- own ------------------------------------------------------------------

    def _retry_on_new_connection(self) -> bool:
        """Resend an idempotent request after a close without a response."""
        is_lost = self._reused and not self._received_bytes
        if not (is_lost and self.request.is_resendable):
            return False
        self._reused = False
        self._client.connect(self)
        return True

    def _complete_at_eof(self) -> None:
        """Complete a response that has no length; others stay incomplete."""
        try:
            self._http.receive_data(b"")
            self._parse_events()
        except (
            h11.RemoteProtocolError,
            response_limits.ResponseLimitError,
        ):
            pass

    def _parse(self, data: bytes) -> None:
        try:
            if self._skipping_response:
                self._limits.add_skipped_bytes(len(data))
            self._http.receive_data(data)
            events = self._parse_events()
            are_short = events * EVENT_BYTES > len(data)
            are_many = events > MANY_EVENTS or self.read_bytes
            self.read_bytes = SHORT_READ_BYTES if are_short and are_many else 0
        except (
            h11.RemoteProtocolError,
            response_limits.ResponseLimitError,
        ) as error:
            # No more is read: the bytes may come without an end.
            self._fail(f"bad answer: {error}")

    def _parse_events(self) -> int:
        """Pass on what has been received; return the number of events."""
        count = 0
        while not self.done:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                break
            count += 1
            if isinstance(event, h11.Response):
                self._handle_head(event)
            elif isinstance(event, h11.InformationalResponse):
                self._limits.add_interim(event.headers.raw_items())
            elif isinstance(event, h11.Data):
                if not self._skipping_response:
                    self._count_body(len(event.data))
                    self._listener.data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                if self._skipping_response:
                    self._await_own_response()
                else:
                    self._complete()
            elif isinstance(event, h11.ConnectionClosed):
                break
        return count

    def _handle_head(self, event: h11.Response) -> None:
        self._limits.check_fields(event.headers.raw_items())
        headers = http_messages.decode_headers(event.headers)
        is_own_response = self.request.is_own_response
        if is_own_response is not None and not is_own_response(headers):
            self._limits.add_skipped()
            self._skipping_response = True
            return
        self._limits.check_length(event.headers.raw_items())
        self._has_head = True
        self.header_fields = event.headers.raw_items()
        self._listener.head(event.status_code, headers)
        if self.request.paced and self._socket is not None:
            self._client.hub.start_paced_reading(self._socket)

    def _count_body(self, count: int) -> None:
        self._limits.add_body(count)
        if self.request.max_response_bytes < math.inf:
            self._client.memory.add(self, count)

    def _await_own_response(self) -> None:
        """Parse on after a response that belonged to another request."""
        self._skipping_response = False
        surplus, at_end = self._http.trailing_data
        self._http = kept_connections.new_connection()
        http_messages.serialize_request(self._http, self.request)
        if surplus:
            self._http.receive_data(surplus)

    def _complete(self) -> None:
        listener = self._listener
        self._listener = None
        self._client.memory.remove(self)
        self._client.observer.ended(self)
        self._timeout_timer.cancel()
        if self.request.paced and self._socket is not None:
            self._client.hub.resume_reading(self._socket)
        self.resume_reading()
        headers = http_messages.decode_headers(self.header_fields)
        sock, self._socket = self._socket, None
        self._client.keep_idle(self.request.address, sock, self._http, headers)
        listener.end()

    def _fail(
        self, text: str, is_unreachable: bool = False, is_broken: bool = False
    ) -> None:
        host, port = self.request.address
        self._finish_with(
            errors.TransportError(
                f"{self.request.method} {host}:{port}: {text}",
                self.sent,
                is_unreachable,
                is_broken,
            )
        )

    def _finish_with(self, error: errors.TransportError) -> None:
        listener = self._listener
        if listener is None:
            return
        self.cancel()
        listener.failed(error)

    def _drop_connection(self) -> None:
        sock = self._socket
        self._socket = None
        self._client.awaiting_response.pop(self, None)
        if sock is not None:
            # Unsent parts of the request are discarded: sent once the window
            # opens, they would start work whose result is not needed.
            self._client.hub.close_now(sock)
