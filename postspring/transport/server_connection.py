"""One connection of a caller: h11 on the hub's connections.

``circuits.web`` decodes paths, joins header lines and generates responses of
its own; a call that is forwarded to an upstream unchanged needs the bytes as
they arrived.  So h11 is used, as in the client.
"""

from collections.abc import Callable
import logging
import socket

import h11

from postspring.transport import caller_memory
from postspring.transport import connection_end
from postspring.transport import connection_handler
from postspring.transport import incoming
from postspring.transport import lingering_close
from postspring.transport import request_reader
from postspring.transport import response_encoder
from postspring.transport import server_protocol

__all__ = ["ServerConnection"]

LOG = logging.getLogger(__name__)

# A new connection does not count as idle for this long, in seconds: callers
# send the first request at once.  Above a round trip to a busy machine.
FIRST_REQUEST_SECONDS = 0.5
# While more of a response is buffered in this process, the caller's next
# request waits.  Otherwise a caller that sends requests and reads nothing has
# this VM hold all of their responses.  Small responses are not delayed.
MAX_UNSENT_BYTES = 64 * 1024
# A caller that sends more than this before it has the response is served no
# further request: callers within the limits wait for the response.
MAX_AHEAD_BYTES = 64 * 1024


class ServerConnection(connection_handler.ConnectionHandler):
    """A caller's connection, on which requests follow one another.

    Attributes
    ==========

    call : IncomingCall or None
        The request whose response is not complete.
    is_receiving : bool
        Whether a request has been received in part.
    state_since : float
        Monotonic time at which the request in progress began to arrive, or
        at which the connection became idle, in seconds.
    """

    def __init__(self, server: server_protocol.Server, sock: socket.socket):
        self._server = server
        self._sock = sock
        self._http = h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=server.limits.header_bytes,
        )
        self._reader = request_reader.RequestReader(
            self._http,
            server.limits,
            server.request_memory,
            server.caller_memory,
        )
        self._encoder = response_encoder.ResponseEncoder(self._http)
        # Head of the request whose response is sent.
        self._head: h11.Request | None = None
        self.call: incoming.IncomingCall | None = None
        self.state_since = server.timers.now()
        self.is_receiving = False
        self._awaits_first_request = True
        self._is_closing = False
        # Requests are not served until the caller has read more.
        self._is_held = False
        # The rest of the input is parsed in a later turn.
        self._is_queued = False
        # The connection ends with the open response.
        self._is_overrun = False
        # The call whose response was not sent completely when last checked.
        self._incomplete_call: incoming.IncomingCall | None = None
        self._unsent_bytes = 0
        self._is_interrupted = False
        # Whether an incomplete response was given up by this VM.
        self._is_given_up = False

    # -- from the hub ---------------------------------------------------------

    def received(self, data: bytes) -> None:
        """Parse received bytes, or keep them until the call is answered."""
        if self._is_closing or self._is_overrun:
            return
        self._reader.add(data)
        if self.call is not None:
            self._limit_ahead()
            return
        if not self.is_receiving:
            self.is_receiving = True
            self.state_since = self._server.timers.now()
        self._parse_received()

    def drained(self) -> None:
        """Serve the next request, which waited for the caller to read."""
        if not self._is_held:
            return
        self._is_held = False
        self.state_since = self._server.timers.now()
        self._server.hub.resume_reading(self._sock)
        self._parse_received()

    @property
    def discards_input(self) -> bool:
        """Whether further input is discarded."""
        return self._is_overrun

    def ended(self, end: connection_end.ConnectionEnd) -> None:
        """Handle the end of the connection; report an incomplete response."""
        self._is_closing = True
        self._server.remove_connection(self)
        self._disconnect_call()
        if self._is_interrupted or self._unsent_bytes:
            ended_by = incoming.EndedBy.of(end, self._is_given_up)
            self._server.report_interrupted(
                ended_by, self._incomplete_call, self._unsent_bytes
            )
        self._incomplete_call = None
        self._reader.close()

    def unsent_discarded(self, unsent: int) -> None:
        """Record how many bytes of a response were discarded."""
        self._unsent_bytes = unsent

    @property
    def reads_after_break(self) -> bool:
        """False: a caller that has reset its connection awaits no answer."""
        return False

    @property
    def flushes_on_eof(self) -> bool:
        """Whether buffered bytes are still sent after the caller's EOF.

        False while a request is open: then the caller counts as
        disconnected.  Its half-close can't be distinguished from a close,
        after which work for the caller has to end within half a second.
        Proxies do the same by default.
        """
        return self.call is None

    # -- from the call --------------------------------------------------------

    def send_response(self, status: int, fields: list, body: bytes) -> None:
        """Send a complete response."""
        if self._head.method == b"HEAD":
            body = b""
        closes = self._closes_after_response
        for part in self._encoder.response(status, fields, body, closes):
            self._send(part)
        self._finish_response()

    def send_head(self, status: int, fields: list) -> None:
        """Send the status and header fields of a response."""
        try:
            closes = self._closes_after_response
            data = self._encoder.head(status, fields, closes)
        except response_encoder.ENCODING_ERRORS:
            LOG.exception("cannot encode a response")
            self._server.hub.close_when_sent(self._sock)
            return
        self._send(data)

    def send_data(self, data: bytes) -> None:
        """Send a part of a response's body."""
        self._send(self._encoder.data(data))

    def send_end(self) -> None:
        """Mark the response as complete."""
        self._send(self._encoder.end())
        self._finish_response()

    def abort(self) -> None:
        """Close without completing the response; send its buffered part."""
        self._is_given_up = True
        self._incomplete_call, self.call = self.call, None
        self._is_closing = self._is_interrupted = True
        self._break_off(self._server.hub.close_when_sent)

    # -- from the server ------------------------------------------------------

    def close_if_overdue(self, now: float) -> None:
        """Close the connection if it is idle or its request is too slow."""
        if not self._is_overdue(now):
            return
        self._server.hub.read_pending(self._sock)
        if not self._is_overdue(now):
            return
        if self.is_receiving:
            self._reject(408)
        else:
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close the connection if no request is open or being received.

        Bytes in the kernel are read first, so that a request among them is
        served.  While response bytes are unsent, the connection does not
        count as idle either: the caller can't have sent the next request.
        """
        if self._is_closing:
            return
        hub = self._server.hub
        hub.read_pending(self._sock)
        is_idle = self.call is None and not self.is_receiving
        if self._awaits_first_request:
            age = self._server.timers.now() - self.state_since
            is_idle = is_idle and age > FIRST_REQUEST_SECONDS
        if not is_idle:
            return
        if hub.unsent_bytes(self._sock):
            self.state_since = self._server.timers.now()
        else:
            hub.close_when_sent(self._sock)

    def complete_now(self) -> None:
        """Complete the open request now, or reject a partly received one."""
        self._server.hub.read_pending(self._sock)
        if self.call is not None:
            self.call.end_for_shutdown()
        elif self.is_receiving and not self._is_closing:
            self._reject(503)

    def close(self) -> None:
        """Close at once and discard unsent bytes."""
        self._break_off(self._server.hub.close_now)

    # -- own ------------------------------------------------------------------

    def _break_off(self, close: Callable[[socket.socket], None]) -> None:
        """Close; a caller with HTTP/1.0 would take an EOF for the end."""
        if self._http.their_http_version == b"1.0":
            close = self._server.hub.reset
        close(self._sock)

    def _disconnect_call(self) -> None:
        """Notify an open call that its caller has disconnected."""
        call, self.call = self.call, None
        if call is None:
            return
        self._incomplete_call = call
        self._is_interrupted = True
        call.disconnect()

    def _is_overdue(self, now: float) -> bool:
        is_waiting = self._is_held or self._is_queued
        if self.call is not None or self._is_closing or is_waiting:
            return False
        limits = self._server.limits
        limit = limits.idle_seconds
        if self.is_receiving:
            limit = limits.header_seconds
            if self._reader.head is not None:
                limit = limits.body_seconds
        return now - self.state_since > limit

    @property
    def _closes_after_response(self) -> bool:
        """Whether this is the last response; requests read are answered."""
        is_last = self._server.closing and not self._reader.unparsed
        return is_last or self.call.close_after_response

    def _close_after_response(self) -> None:
        """Close once the response is sent, without losing it to a reset.

        Anything that the caller sends after this is discarded.
        """
        self._is_closing = True
        hub = self._server.hub
        is_whole = self._http.their_state in (h11.DONE, h11.MUST_CLOSE)
        is_read = not self._is_overrun and not hub.has_unread(self._sock)
        if is_whole and is_read:
            hub.close_when_sent(self._sock)
        else:
            lingering_close.LingeringClose(
                hub, self._server.timers, self._sock, self
            )

    def _send(self, data: bytes) -> None:
        if data:
            self._server.hub.send(self._sock, data)
            self._server.check_memory()

    def _limit_ahead(self) -> None:
        """Bound the input that arrives before the response is complete."""
        if self._reader.unparsed > MAX_AHEAD_BYTES or not self._has_memory:
            self._end_with_response()

    @property
    def _has_memory(self) -> bool:
        memory = self._server.caller_memory
        return not memory.is_above(caller_memory.MemoryUse.AHEAD)

    def _end_with_response(self) -> None:
        """Close the connection after the open response; discard its input.

        Only reading shows that the caller has left and work for it has to end.
        """
        LOG.info("requests sent ahead of their turn are discarded")
        self._is_overrun = True
        self.call.close_after_response = True
        self._reader.release()
        self._server.hub.start_paced_reading(self._sock)

    def _parse_received(self) -> None:
        """Parse a part of the input; reject it if it is not valid HTTP."""
        if self.call or self._is_closing or self._must_wait():
            return
        try:
            progress = self._reader.read()
        except request_reader.RejectedError as error:
            self._reject(error.status, error.retry_after)
            return
        if self._http.they_are_waiting_for_100_continue:
            self._send(self._encoder.proceed())
        if progress is request_reader.Progress.UNFINISHED:
            self._parse_later()
        elif progress is request_reader.Progress.COMPLETE:
            self._start_call()

    def _parse_later(self) -> None:
        """Let other connections be served before the rest is parsed."""
        if not self._is_queued:
            self._is_queued = True
            self._server.hub.pause_reading(self._sock)
            self._server.turn_queue.add(self._parse_queued)

    def _parse_queued(self) -> None:
        self._is_queued = False
        self._parse_received()
        if not (self._is_queued or self._is_held or self._is_overrun):
            self._server.hub.resume_reading(self._sock)

    def _must_wait(self) -> bool:
        """Hold the next request while too much of a response is unsent."""
        hub = self._server.hub
        if self.call is None and not self._is_held:
            if hub.unsent_bytes(self._sock) > MAX_UNSENT_BYTES:
                self._is_held = True
                hub.pause_reading(self._sock)
                LOG.info("caller is not reading; its next request waits")
        return self._is_held

    def _start_call(self) -> None:
        head, body, held = self._reader.take()
        self._head = head
        self.is_receiving = False
        self._awaits_first_request = False
        self._incomplete_call = None
        fields = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers.raw_items()
        ]
        call = self.call = incoming.IncomingCall(
            self,
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            fields,
            body,
            self._server.timers.now(),
            held,
        )
        if self._reader.unparsed and not self._has_memory:
            self._end_with_response()
        self._server.dispatch(call)

    def _finish_response(self) -> None:
        """Prepare the connection for its next request, or close it."""
        unsent = self._server.hub.unsent_bytes(self._sock)
        self._incomplete_call = self.call if unsent else None
        self.call = None
        self._head = None
        self.state_since = self._server.timers.now()
        is_done = self._http.our_state is h11.DONE
        is_read = self._http.their_state is h11.DONE
        if not is_done or not is_read or self._is_overrun:
            self._close_after_response()
            return
        self._http.start_next_cycle()
        if self._reader.unparsed:
            self.is_receiving = True
            self._server.timers.call_later(0, self._parse_received)

    def _reject(self, status: int, retry_after: float | None = None) -> None:
        """Answer a request that can't be read, and close the connection."""
        self._server.report_rejected(status)
        self._server.check_memory()
        self._reader.release()
        self._send(self._encoder.rejection(status, retry_after))
        self._disconnect_call()
        self._close_after_response()
