"""HTTP/1.1 requests: h11 on the hub's connections.

``circuits.web.client`` keeps one request per object and buffers whole
answers; streams need h11, its nearest kin, instead.
"""

import math
import socket

import h11

from postspring import errors
from postspring.transport import http_messages
from postspring.transport import kept_connections
from postspring.transport import sockets
from postspring.transport import timers

__all__ = ["Exchange", "HttpClient"]

MAX_IDLE_PER_ADDRESS = 8
# A request that was broken off without a byte of an answer counts as silence
# if it lasted as long as a connection is given to open, in seconds.
SILENT_SECONDS = 0.4


class Exchange(sockets.ConnectionHandler):
    """A request under way; :meth:`cancel` closes its connection."""

    def __init__(
        self,
        client: "HttpClient",
        request: http_messages.HttpRequest,
        listener,
    ):
        self.request = request
        self.sent = False
        self.header_fields: list[tuple[bytes, bytes]] = []
        self._skipping = False
        self._client = client
        self._listener = listener
        self._socket: socket.socket | None = None
        self._connection: h11.Connection | None = None
        self._reused = False
        self._got_bytes = False
        self.sent_at = client.timers.now()
        self._deadline = client.timers.call_later(
            request.timeout, self._time_out
        )

    @property
    def done(self) -> bool:
        """Whether the exchange has ended, either way."""
        return self._listener is None

    def cancel(self) -> None:
        """Break the exchange off; the listener hears nothing more."""
        self._listener = None
        self._deadline.cancel()
        waited = self._client.timers.now() - self.sent_at
        if self.is_silent and waited >= SILENT_SECONDS:
            self._client.distrust(self)
        self._drop_connection()

    @property
    def is_silent(self) -> bool:
        """Whether nothing of an answer has come on its connection."""
        return self._socket is not None and not self._got_bytes

    def pause(self) -> None:
        """Stop reading a paced answer."""
        if self._socket is not None:
            self._client.hub.pause(self._socket)

    def resume(self) -> None:
        """Go on reading a paced answer."""
        if self._socket is not None and not self.done:
            self._client.hub.unpace(self._socket)
            self._client.hub.pace(self._socket)

    # -- from the client ------------------------------------------------------

    def attach(
        self, sock: socket.socket, connection: h11.Connection, reused: bool
    ) -> "Exchange":
        """Run on this connection."""
        if self.done:
            self._client.hub.shut(sock)
            return self
        self._socket = sock
        self._connection = connection
        self._reused = reused
        try:
            data = http_messages.write_request(connection, self.request)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            # Whoever sends hears it as an end; raised here, nobody would.
            text = f"bad request: {error}"
            self._client.timers.call_later(0, self._fail, text)
            return self
        self.sent = True
        self.sent_at = self._client.timers.now()
        if self.request.silent_after < math.inf:
            self._client.pending[self] = None
        # The hub knows this connection only after this function returns.
        self._client.timers.call_later(0, self._transmit, data)
        return self

    def _transmit(self, data: bytes) -> None:
        if self._socket is not None:
            self._client.hub.send(self._socket, data)

    def connect_failed(self, error: errors.TransportError) -> None:
        """Take note that no connection could be made."""
        self._finish_with(error)

    # -- from the hub ---------------------------------------------------------

    def received(self, data: bytes) -> None:
        """Parse what came, and tell the listener."""
        self._got_bytes = True
        self._client.pending.pop(self, None)
        self._connection.receive_data(data)
        self._parse()

    def _time_out(self) -> None:
        if self.is_silent:
            self._client.distrust(self)
        self._fail("timeout")

    def was_reset(self, is_unreachable: bool) -> None:
        """Take note that the connection broke: no answer ends with it.

        The path or the other machine may be gone, so connections that are
        kept to the same address are not used again.
        """
        self._socket = None
        self._client.discard(self.request.address)
        if self.done or self._retry_on_fresh():
            return
        self._fail("connection reset", is_unreachable, is_broken=True)

    def closed(self) -> None:
        """Take note that the connection is gone."""
        self._socket = None
        if self.done:
            return
        if self._retry_on_fresh():
            return
        try:
            self._connection.receive_data(b"")
            self._parse_events()
        except h11.RemoteProtocolError:
            pass
        if not self.done:
            self._fail("connection closed", is_broken=True)

    # -- own ------------------------------------------------------------------

    def _retry_on_fresh(self) -> bool:
        """Ask again if a kept connection was closed under a safe request."""
        if not self._reused or self._got_bytes:
            return False
        if self.request.method not in ("GET", "HEAD", "PUT", "DELETE"):
            return False
        self._reused = False
        self._client.connect(self)
        return True

    def _parse(self) -> None:
        try:
            self._parse_events()
        except h11.RemoteProtocolError as error:
            self._fail(f"bad answer: {error}")

    def _parse_events(self) -> None:
        while not self.done:
            event = self._connection.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Response):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                if not self._skipping:
                    self._listener.data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                if self._skipping:
                    self._await_next_answer()
                else:
                    self._complete()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _take_head(self, event: h11.Response) -> None:
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in event.headers
        }
        is_answer = self.request.is_answer
        if is_answer is not None and not is_answer(headers):
            self._skipping = True
            return
        self.header_fields = event.headers.raw_items()
        self._listener.head(event.status_code, headers)
        if self.request.paced and self._socket is not None:
            self._client.hub.pace(self._socket)

    def _await_next_answer(self) -> None:
        """Read on behind a response that answered another request."""
        self._skipping = False
        surplus, at_end = self._connection.trailing_data
        self._connection = kept_connections.new_connection()
        http_messages.write_request(self._connection, self.request)
        if surplus:
            self._connection.receive_data(surplus)

    def _complete(self) -> None:
        listener = self._listener
        self._listener = None
        self._deadline.cancel()
        if self.request.paced and self._socket is not None:
            self._client.hub.unpace(self._socket)
        headers = {
            name.lower().decode("latin-1"): value.decode("latin-1")
            for name, value in self.header_fields
        }
        sock, self._socket = self._socket, None
        self._client.keep(
            self.request.address, sock, self._connection, headers
        )
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
        self._client.pending.pop(self, None)
        if sock is not None:
            # The rest of a request would follow behind a closed window, and
            # the other side begin with what nobody waits for.
            self._client.hub.cut(sock)


class HttpClient:
    """Sends requests, reusing connections where that is safe.

    Parameters
    ==========

    hub : SocketHub
        Carries the connections.
    timers : Timers
        For timeouts.
    """

    def __init__(self, hub: sockets.SocketHub, timers: timers.Timers):
        self.hub = hub
        self.timers = timers
        hub.shortage.reclaimers.append(self.give_up_idle)
        self.connections_opened = 0
        # Sent, and nothing of an answer has come.
        self.pending: dict[Exchange, None] = {}
        self._idle_by_address: dict[
            tuple, list[kept_connections.KeptConnection]
        ] = {}

    def send(
        self,
        request: http_messages.HttpRequest,
        listener: http_messages.HttpListener,
    ) -> Exchange:
        """Send a request; the listener hears the answer or the failure."""
        exchange = Exchange(self, request, listener)
        idle = self._take_idle(request)
        if idle is not None:
            self.hub.adopt(idle.sock, exchange)
            exchange.attach(idle.sock, idle.connection, reused=True)
        else:
            self.connect(exchange)
        return exchange

    def _take_idle(
        self, request: http_messages.HttpRequest
    ) -> "kept_connections.KeptConnection | None":
        for exchange in list(self.pending):
            waited = self.timers.now() - exchange.sent_at
            if waited >= exchange.request.silent_after:
                self.distrust(exchange)
        idle = self._idle_by_address.get(request.address)
        if not idle or request.fresh:
            return None
        newest = idle[-1]
        now = self.timers.now()
        if now > newest.until or now - newest.since > request.max_idle:
            return None
        idle.pop()
        newest.expiry.cancel()
        return newest

    def discard(self, address: tuple[str, int]) -> None:
        """Close the idle connections to an address that nobody uses."""
        for idle in list(self._idle_by_address.pop(address, ())):
            idle.expiry.cancel()
            self.hub.shut(idle.sock)

    def give_up_idle(self) -> bool:
        """Close the connection that nobody has used for longest, if any."""
        oldest = [idle[0] for idle in self._idle_by_address.values() if idle]
        if not oldest:
            return False
        kept = min(oldest, key=lambda item: item.since)
        self.hub.shut(kept.sock)
        return True

    def distrust(self, silent: Exchange) -> None:
        """Close what was idle already when an exchange without answer began.

        Open connections may all fall silent at once, without a reset, while
        new ones work: each kept one cost another call its time-out.
        """
        address = silent.request.address
        for idle in list(self._idle_by_address.get(address, ())):
            if idle.since <= silent.sent_at:
                idle.expiry.cancel()
                self.forget(address, idle.sock)
                self.hub.shut(idle.sock)

    def connect(self, exchange: Exchange) -> None:
        """Run the exchange on a new connection."""

        self.connections_opened += 1

        def on_open(sock: socket.socket) -> Exchange:
            return exchange.attach(
                sock, kept_connections.new_connection(), reused=False
            )

        request = exchange.request
        self.hub.open(
            request.address,
            request.connect_timeout,
            on_open,
            exchange.connect_failed,
        )

    def keep(
        self,
        address: tuple[str, int],
        sock: socket.socket | None,
        connection: h11.Connection,
        headers: dict[str, str],
    ) -> None:
        """Keep a connection whose exchange is complete, if it may be."""
        if sock is None:
            return
        idle = self._idle_by_address.setdefault(address, [])
        seconds = kept_connections.idle_seconds(headers)
        if len(idle) >= MAX_IDLE_PER_ADDRESS or not kept_connections.may_reuse(
            connection
        ):
            seconds = 0.0
        if seconds <= 0:
            self.hub.shut(sock)
            return
        connection.start_next_cycle()
        kept = kept_connections.KeptConnection(
            self, address, sock, connection, seconds
        )
        idle.append(kept)
        self.hub.adopt(sock, kept)

    def forget(self, address, sock) -> None:
        """Drop a kept connection that was closed."""
        idle = self._idle_by_address.get(address, [])
        idle[:] = [item for item in idle if item.sock is not sock]
