"""HTTP/1.1 requests: h11 on the hub's connections.

``circuits.web.client`` keeps one request per object and buffers whole
answers; streams need h11, its nearest kin, instead.
"""

import dataclasses
import socket

import h11

from postspring import errors
from postspring.transport import sockets
from postspring.transport import timers

__all__ = ["Exchange", "HttpClient", "HttpListener", "HttpRequest"]

MAX_IDLE_PER_ADDRESS = 8
IDLE_SECONDS = 30.0
MAX_HEADER_BYTES = 16 * 1024


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


class Exchange(sockets.ConnectionHandler):
    """A request under way; :meth:`cancel` closes its connection."""

    def __init__(self, client: "HttpClient", request: HttpRequest, listener):
        self.request = request
        self.sent = False
        self._client = client
        self._listener = listener
        self._socket: socket.socket | None = None
        self._connection: h11.Connection | None = None
        self._reused = False
        self._got_bytes = False
        self._deadline = client.timers.call_later(
            request.timeout, self._fail, "timeout"
        )

    @property
    def done(self) -> bool:
        """Whether the exchange has ended, either way."""
        return self._listener is None

    def cancel(self) -> None:
        """Break the exchange off; the listener hears nothing more."""
        self._listener = None
        self._deadline.cancel()
        self._drop_connection()

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
        request = self.request
        host = f"{request.address[0]}:{request.address[1]}"
        headers = [("Host", host), *request.headers]
        if request.body or request.method in ("POST", "PUT"):
            headers.append(("Content-Length", str(len(request.body))))
        event = h11.Request(
            method=request.method, target=request.path, headers=headers
        )
        data = connection.send(event)
        if request.body:
            data += connection.send(h11.Data(data=request.body))
        data += connection.send(h11.EndOfMessage())
        self.sent = True
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
        self._connection.receive_data(data)
        self._parse()

    def closed(self) -> None:
        """Take note that the connection is gone."""
        self._socket = None
        if self.done:
            return
        if self._reused and not self._got_bytes and self._retry_on_fresh():
            return
        try:
            self._connection.receive_data(b"")
            self._parse()
        except h11.RemoteProtocolError:
            pass
        if not self.done:
            self._fail("connection closed")

    # -- own ------------------------------------------------------------------

    def _retry_on_fresh(self) -> bool:
        """Ask again if a kept connection was closed under a safe request."""
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
                headers = {
                    name.decode("latin-1"): value.decode("latin-1")
                    for name, value in event.headers
                }
                self._listener.head(event.status_code, headers)
                if self.request.paced and self._socket is not None:
                    self._client.hub.pace(self._socket)
            elif isinstance(event, h11.Data):
                self._listener.data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._complete()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _complete(self) -> None:
        listener = self._listener
        self._listener = None
        self._deadline.cancel()
        if self.request.paced and self._socket is not None:
            self._client.hub.unpace(self._socket)
        self._client.keep(self.request.address, self._socket, self._connection)
        self._socket = None
        listener.end()

    def _fail(self, text: str) -> None:
        host, port = self.request.address
        self._finish_with(
            errors.TransportError(
                f"{self.request.method} {host}:{port}: {text}", sent=self.sent
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
        if sock is not None:
            self._client.hub.shut(sock)


class _IdleConnection(sockets.ConnectionHandler):
    """A kept connection: whatever it says, it is not used again."""

    def __init__(self, client: "HttpClient", address, sock):
        self._client = client
        self._address = address
        self._sock = sock

    def received(self, data: bytes) -> None:
        """Close: the other side may not speak now."""
        self._client.hub.shut(self._sock)

    def closed(self) -> None:
        """Forget the connection."""
        self._client.forget(self._address, self._sock)


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
        self._idle_by_address: dict[tuple, list] = {}

    def send(self, request: HttpRequest, listener: HttpListener) -> Exchange:
        """Send a request; the listener hears the answer or the failure."""
        exchange = Exchange(self, request, listener)
        idle = self._idle_by_address.get(request.address)
        if idle and not request.fresh:
            sock, connection, timer = idle.pop()
            timer.cancel()
            self.hub.adopt(sock, exchange)
            exchange.attach(sock, connection, reused=True)
        else:
            self.connect(exchange)
        return exchange

    def connect(self, exchange: Exchange) -> None:
        """Run the exchange on a new connection."""

        def on_open(sock: socket.socket) -> Exchange:
            connection = h11.Connection(
                our_role=h11.CLIENT,
                max_incomplete_event_size=MAX_HEADER_BYTES,
            )
            return exchange.attach(sock, connection, reused=False)

        request = exchange.request
        self.hub.open(
            request.address,
            request.connect_timeout,
            on_open,
            exchange.connect_failed,
        )

    def keep(self, address, sock, connection: h11.Connection) -> None:
        """Keep a connection whose exchange is complete, if it may be."""
        if sock is None:
            return
        idle = self._idle_by_address.setdefault(address, [])
        reusable = (
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
        )
        if not reusable or len(idle) >= MAX_IDLE_PER_ADDRESS:
            self.hub.shut(sock)
            return
        connection.start_next_cycle()
        timer = self.timers.call_later(IDLE_SECONDS, self.hub.shut, sock)
        idle.append((sock, connection, timer))
        self.hub.adopt(sock, _IdleConnection(self, address, sock))

    def forget(self, address, sock) -> None:
        """Drop a kept connection that was closed."""
        idle = self._idle_by_address.get(address, [])
        idle[:] = [item for item in idle if item[0] is not sock]
