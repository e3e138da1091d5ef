"""HTTP/1.1 server side: h11 on the hub's connections.

``circuits.web`` decodes paths, joins header lines and answers in its own
words; a call that is to reach an upstream unchanged needs the bytes as they
came.  h11, which the client side uses already, is its nearest kin.
"""

from collections.abc import Callable
import logging
import socket

import h11

from postspring.transport import http_messages
from postspring.transport import incoming
from postspring.transport import sockets
from postspring.transport import timers as timers_module

__all__ = ["HttpServer"]

LOG = logging.getLogger(__name__)

# How often connections are checked for being idle or too slow, in seconds.
SWEEP_SECONDS = 0.5
# A connection that has been idle for this long may be given up for another
# caller, in seconds; one that was just opened is about to send its request.
SPARE_SECONDS = 1.0

_UNWRITABLE = (h11.LocalProtocolError, UnicodeEncodeError)


class _ServerConnection(sockets.ConnectionHandler):
    """One caller's connection: requests one after another."""

    def __init__(self, server: "HttpServer", sock: socket.socket):
        self._server = server
        self._sock = sock
        self._http = h11.Connection(
            our_role=h11.SERVER,
            max_incomplete_event_size=server.limits.header_bytes,
        )
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._close_after = False
        self.call: incoming.IncomingCall | None = None
        self.since = server.timers.now()
        self.receiving = False

    # -- from the hub ---------------------------------------------------------

    def received(self, data: bytes) -> None:
        """Parse what came."""
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
        call, self.call = self.call, None
        if call is None:
            return
        call.gone = True
        if call.on_gone is not None:
            call.on_gone()

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
        self.call = None
        self._server.hub.shut(self._sock)

    # -- from the server ------------------------------------------------------

    def close_if_overdue(self, now: float) -> None:
        """Close an idle connection, or one that sends too slowly."""
        limits = self._server.limits
        age = now - self.since
        if self.call is not None:
            return
        if not self.receiving:
            if age > limits.idle_seconds:
                self._server.hub.shut(self._sock)
            return
        bound = limits.header_seconds
        if self._head is not None:
            bound = limits.body_seconds
        if age > bound:
            self._refuse(408)

    def close_if_idle(self) -> None:
        """Close a connection on which no request has begun."""
        if self.call is None and not self.receiving:
            self._server.hub.shut(self._sock)

    # -- own ------------------------------------------------------------------

    def _resume(self) -> None:
        """Parse what came behind the last request."""
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
        self.call = None
        self._head = None
        self.since = self._server.timers.now()
        if self._http.our_state is not h11.DONE:
            self._server.hub.shut(self._sock)
            return
        if self._http.their_state is not h11.DONE:
            self._server.hub.shut(self._sock)
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
        self._server.hub.shut(self._sock)


class HttpServer:
    """Accepts connections and hands each request to an application.

    Parameters
    ==========

    hub : SocketHub
        A hub that listens; its ``on_accept`` has to be :meth:`accept`.
    timers : Timers
        For sweeping out idle and slow connections.
    application : callable
        Called with each :class:`~.incoming.IncomingCall`.
    limits : incoming.ServerLimits
        Bounds, read at each use.
    on_refused : callable, optional
        Called with the status of each request that could not be read.
    """

    def __init__(
        self,
        timers: timers_module.Timers,
        application: Callable[[incoming.IncomingCall], None],
        limits: incoming.ServerLimits,
        on_refused: Callable[[int], None] = lambda status: None,
    ):
        self.hub: sockets.SocketHub | None = None
        self.timers = timers
        self.limits = limits
        self.closing = False
        self._application = application
        self._on_refused = on_refused
        self._connections: dict[_ServerConnection, None] = {}

    def listen(
        self, parent, bind: tuple[str, int], channel: str = "http-server"
    ) -> None:
        """Listen on an IP number and port, on the parent's loop."""
        self.hub = sockets.SocketHub(
            self.timers, bind, self.accept, channel=channel
        ).register(parent)
        self.hub.has_room = self._has_room
        self.hub.shortage.reclaimers.append(self._give_up_idle)
        self.timers.call_every(SWEEP_SECONDS, self._sweep)

    @property
    def address(self) -> tuple[str, int]:
        """The IP number and port that it listens on."""
        return self.hub.host, self.hub.port

    @property
    def active(self) -> int:
        """Number of requests that are not answered yet."""
        return sum(1 for item in self._connections if item.call is not None)

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def accept(self, sock: socket.socket) -> _ServerConnection | None:
        """Take a new connection, or refuse it if there are too many."""
        if len(self._connections) >= self.limits.connections:
            self._on_refused(503)
            return None
        connection = _ServerConnection(self, sock)
        self._connections[connection] = None
        return connection

    def forget(self, connection: _ServerConnection) -> None:
        """Drop a connection that is gone."""
        self._connections.pop(connection, None)

    def count_refusal(self, status: int) -> None:
        """Report a request that could not be read."""
        self._on_refused(status)

    def dispatch(self, call: incoming.IncomingCall) -> None:
        """Hand a request to the application."""
        try:
            self._application(call)
        except Exception:
            LOG.exception("a request's handler failed")
            call.respond(500, [])

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def refuse_new(self) -> None:
        """Stop accepting; open connections go on."""
        self.hub.refuse_new()

    def _has_room(self) -> bool:
        bound = self.limits.connections
        return len(self._connections) < bound or self._give_up_idle()

    def _give_up_idle(self) -> bool:
        """Close the connection that was idle for longest; tell if it is."""
        latest = self.timers.now() - SPARE_SECONDS
        idle = [
            item
            for item in self._connections
            if item.call is None and not item.receiving and item.since < latest
        ]
        if not idle:
            return False
        oldest = min(idle, key=lambda item: item.since)
        oldest.close_if_idle()
        return oldest not in self._connections

    def _sweep(self) -> None:
        now = self.timers.now()
        for connection in list(self._connections):
            connection.close_if_overdue(now)
