"""One connection of a caller: h11 on the hub's connections.

``circuits.web`` decodes paths, joins header lines and answers in its own
words; a call that is to reach an upstream unchanged needs the bytes as they
came.  h11, which the client side uses already, is its nearest kin.
"""

import logging
import socket
from typing import Protocol

import h11

from postspring.transport import connection_handler
from postspring.transport import http_messages
from postspring.transport import incoming
from postspring.transport import lingering
from postspring.transport import sockets
from postspring.transport import timers as timers_module

__all__ = ["Server", "ServerConnection"]

LOG = logging.getLogger(__name__)

_UNWRITABLE = (h11.LocalProtocolError, UnicodeEncodeError)

# Whoever opens a connection sends its request at once; until then a new
# connection is not idle.  In seconds, above a round trip to a busy machine.
NEW_SECONDS = 0.5


class Server(Protocol):
    """What a connection asks of its server."""

    hub: sockets.SocketHub
    timers: timers_module.Timers
    limits: incoming.ServerLimits
    closing: bool

    def count_refusal(self, status: int) -> None:
        """Report a request that could not be read."""

    def dispatch(self, call: incoming.IncomingCall) -> None:
        """Hand a request to the application."""

    def forget(self, connection: "ServerConnection") -> None:
        """Drop a connection that is gone."""

    def report_cut(
        self,
        ended_by: incoming.EndedBy,
        call: incoming.IncomingCall | None,
        unsent: int = 0,
    ) -> None:
        """Report a connection that ends with something owed."""


class ServerConnection(connection_handler.ConnectionHandler):
    """One caller's connection: requests one after another."""

    def __init__(self, server: Server, sock: socket.socket):
        self._server = server
        self._sock = sock
        self._http = h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=server.limits.header_bytes,
        )
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self.call: incoming.IncomingCall | None = None
        self.since = server.timers.now()
        self.receiving = False
        self._is_new = True
        self._is_over = False
        # The call whose answer had not wholly left when it was last seen.
        self._owed_call: incoming.IncomingCall | None = None
        self._unsent = 0
        self._is_cut = False
        self._ended_by = incoming.EndedBy.CALLER

    # -- from the hub ---------------------------------------------------------

    def received(self, data: bytes) -> None:
        """Parse what came."""
        if self._is_over:
            return
        if self.call is None and not self.receiving:
            self.receiving = True
            self.since = self._server.timers.now()
        self._http.receive_data(data)
        limits = self._server.limits
        ahead, at_end = self._http.trailing_data
        if len(ahead) > limits.body_bytes + limits.header_bytes:
            self._refuse(413)
            return
        self._resume()

    def closed(self) -> None:
        """Take note that the caller is gone."""
        self._server.forget(self)
        self._leave_call()
        if self._is_cut or self._unsent:
            self._server.report_cut(
                self._ended_by, self._owed_call, self._unsent
            )

    def was_reset(self, is_unreachable: bool) -> None:
        """Take note that the connection broke."""
        self._ended_by = incoming.EndedBy.ERROR
        self.closed()

    def left_unsent(self, unsent: int) -> None:
        """Take note that the end of an answer is lost."""
        self._unsent = unsent

    @property
    def is_answered(self) -> bool:
        """Whether the caller is owed no more than what is on its way.

        A caller that stops sending while a request is open counts as gone:
        it can't be told from one that closed, and work for such a one has
        to end within half a second.  Proxies do the same by default.
        """
        return self.call is None

    # -- from the call --------------------------------------------------------

    def send_answer(self, status: int, fields: list, body: bytes) -> None:
        """Send a whole answer."""
        try:
            data = self._head_bytes(status, fields)
        except _UNWRITABLE:
            # The caller waits for an end, and this is one.
            LOG.exception("an answer can't be written")
            body = b""
            data = self._head_bytes(500, [("Content-Length", "0")])
        if body and self._head.method != b"HEAD":
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage())
        self._server.hub.send(self._sock, data)
        self._next()

    def send_head(self, status: int, fields: list) -> None:
        """Begin an answer."""
        try:
            data = self._head_bytes(status, fields)
        except _UNWRITABLE:
            LOG.exception("an answer can't be written")
            self._server.hub.shut(self._sock)
            return
        self._server.hub.send(self._sock, data)

    def send_data(self, data: bytes) -> None:
        """Send a part of an answer's body."""
        chunk = self._http.send(h11.Data(data=data))
        self._server.hub.send(self._sock, chunk)

    def send_end(self) -> None:
        """Complete an answer."""
        self._server.hub.send(self._sock, self._http.send(h11.EndOfMessage()))
        self._next()

    def abort(self) -> None:
        """Close at once, without completing the answer."""
        self._ended_by = incoming.EndedBy.VM
        self._owed_call, self.call = self.call, None
        self._is_over = self._is_cut = True
        self._server.hub.shut(self._sock)

    # -- from the server ------------------------------------------------------

    def close_if_overdue(self, now: float) -> None:
        """Close an idle connection, or one that sends too slowly."""
        if not self._is_overdue(now):
            return
        self._server.hub.read_now(self._sock)
        if not self._is_overdue(now):
            return
        if self.receiving:
            self._refuse(408)
        else:
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close a connection on which no request has begun.

        What the kernel holds is read first, and what is unsent leaves
        first: a request that comes meanwhile is served.  Until then the
        caller can't have sent the next one, so it is not idle.
        """
        if self._is_over:
            return
        hub = self._server.hub
        hub.read_now(self._sock)
        is_idle = self.call is None and not self.receiving
        if self._is_new:
            age = self._server.timers.now() - self.since
            is_idle = is_idle and age > NEW_SECONDS
        if not is_idle:
            return
        if hub.unsent_bytes(self._sock):
            self.since = self._server.timers.now()
        else:
            hub.shut(self._sock)

    def give_up(self) -> None:
        """Have what is open answered now, as far as that can be."""
        self._server.hub.read_now(self._sock)
        if self.call is not None:
            self.call.run_out()
        elif self.receiving and not self._is_over:
            self._refuse(503)

    def close(self) -> None:
        """Close, whatever is owed."""
        self._ended_by = incoming.EndedBy.VM
        self._server.hub.cut(self._sock)

    # -- own ------------------------------------------------------------------

    def _leave_call(self) -> None:
        """Tell a call that is open that its answer goes nowhere."""
        call, self.call = self.call, None
        if call is None:
            return
        self._owed_call = call
        self._is_cut = True
        call.gone = True
        if call.on_gone is not None:
            call.on_gone()

    def _is_overdue(self, now: float) -> bool:
        if self.call is not None or self._is_over:
            return False
        limits = self._server.limits
        bound = limits.idle_seconds
        if self.receiving:
            bound = limits.header_seconds
            if self._head is not None:
                bound = limits.body_seconds
        return now - self.since > bound

    def _end(self) -> None:
        """Close behind the answer, which must not be lost by that.

        What a caller sends behind it all the same is not read.
        """
        self._is_over = True
        hub = self._server.hub
        is_whole = self._http.their_state in (h11.DONE, h11.MUST_CLOSE)
        if is_whole and not hub.has_unread(self._sock):
            hub.shut(self._sock)
        else:
            lingering.Lingering(hub, self._server.timers, self._sock, self)

    def _resume(self) -> None:
        """Parse what came behind the last request."""
        if self._is_over:
            return
        try:
            self._parse()
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)

    def _parse(self) -> None:
        while self.call is None:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Request):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                self._body_bytes += len(event.data)
                if self._body_bytes > self._server.limits.body_bytes:
                    self._refuse(413)
                    return
                self._body.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._start_call()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _take_head(self, head: h11.Request) -> None:
        self._head = head
        self.receiving = True
        if self._http.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            self._server.hub.send(self._sock, self._http.send(proceed))

    def _start_call(self) -> None:
        head = self._head
        body = b"".join(self._body)
        self._body.clear()
        self._body_bytes = 0
        self.receiving = False
        self._is_new = False
        self._owed_call = None
        fields = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers.raw_items()
        ]
        call = incoming.IncomingCall(
            self,
            head.method.decode("ascii"),
            head.target.decode("latin-1"),
            fields,
            body,
            self._server.timers.now(),
        )
        self.call = call
        self._server.dispatch(call)

    def _head_bytes(self, status: int, fields: list) -> bytes:
        if self._server.closing or self.call.close_after:
            fields = [*fields, ("Connection", "close")]
        headers = http_messages.encode_fields(fields)
        event = h11.Response(status_code=status, headers=headers)
        return self._http.send(event)

    def _next(self) -> None:
        """Go on with the next request on this connection, if any."""
        unsent = self._server.hub.unsent_bytes(self._sock)
        self._owed_call = self.call if unsent else None
        self.call = None
        self._head = None
        self.since = self._server.timers.now()
        is_done = self._http.our_state is h11.DONE
        if not is_done or self._http.their_state is not h11.DONE:
            self._end()
            return
        self._http.start_next_cycle()
        surplus, at_end = self._http.trailing_data
        if surplus:
            self.receiving = True
            self._server.timers.call_later(0, self._resume)
        elif at_end:
            self._server.hub.shut(self._sock)

    def _refuse(self, status: int) -> None:
        """Answer a request that can't be read, and close."""
        self._server.count_refusal(status)
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            fields = [("Content-Length", "0"), ("Connection", "close")]
            try:
                event = h11.Response(status_code=status, headers=fields)
                self._server.hub.send(self._sock, self._http.send(event))
            except h11.LocalProtocolError:
                LOG.info("no answer fits", extra={"status": status})
        self._leave_call()
        self._end()
