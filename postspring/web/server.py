"""HTTP server on circuits.web with size limits and deferred responses."""

from collections.abc import Callable
import dataclasses
import json
import logging
import socket
from typing import Any
import urllib.parse

from circuits import BaseComponent
from circuits import handler
from circuits.net import events
from circuits.web import events as web_events
from circuits.web import servers

from postspring.transport import timers as timers_module

__all__ = ["IncomingRequest", "WebLimits", "WebServer"]

LOG = logging.getLogger(__name__)
TIMEOUT_CHECK_SECONDS = 2.0
END_OF_HEADERS = b"\r\n\r\n"
READ_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class WebLimits:
    """Limits of the HTTP server; sizes in bytes, times in seconds.

    ``unsent`` is the amount of unsent data at which the stream to a slow
    caller is paused.
    """

    body: int = 4 * 1024 * 1024
    header: int = 16 * 1024
    connections: int = 2000
    unsent: int = 256 * 1024
    request_seconds: float = 20.0


class IncomingRequest:
    """A request and its response, which may be sent at any later time.

    Explanation
    ===========

    Respond with :meth:`respond` or :meth:`respond_json`, or with
    :meth:`start_stream`, :meth:`send` and :meth:`finish`.  If the caller
    disconnects before the response is complete, ``on_disconnect`` is called
    and these methods do nothing from then on.
    """

    def __init__(self, server: "WebServer", request: Any, response: Any):
        self._server = server
        self._request = request
        self._response = response
        self.gone = False
        self.answered = False
        self.streaming = False
        self.on_disconnect: Callable[[], None] | None = None
        self.method: str = request.method
        self.path: str = request.path
        self.body: bytes = request.body.read()
        self.query: dict[str, str] = dict(
            urllib.parse.parse_qsl(request.qs or "")
        )

    @property
    def socket(self) -> socket.socket:
        """The socket of the caller's connection."""
        return self._request.sock

    def header(self, name: str, default: str = "") -> str:
        """Return the value of a header field."""
        return self._request.headers.get(name, default)

    def respond(
        self,
        status: int,
        body: bytes,
        content_type: str = "application/octet-stream",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a complete response."""
        if self.answered or self.gone:
            return
        self.answered = True
        response = self._response
        response.status = status
        response.headers["Content-Type"] = content_type
        for name, value in (headers or {}).items():
            response.headers[name] = value
        response.body = body
        if not body:
            response.headers["Content-Length"] = "0"
        self._server.fire(web_events.response(response), "web")
        self._server.release_connection(self)

    def respond_json(
        self, status: int, value: Any, headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete response with a JSON body."""
        body = json.dumps(value).encode()
        self.respond(status, body, "application/json", headers)

    def start_stream(self, content_type: str) -> None:
        """Send the header of a streamed response."""
        if self.answered or self.gone:
            return
        self.answered = True
        self.streaming = True
        response = self._response
        response.stream = True
        response.headers["Content-Type"] = content_type
        response.headers["Cache-Control"] = "no-store"
        # A generator has no length; circuits.web then chunks on HTTP/1.1.
        response.body = (part for part in ())
        response.prepare()
        self._server.send_or_buffer(
            self.socket, bytes(response) + bytes(response.headers)
        )

    def send(self, data: bytes) -> None:
        """Send a part of a streamed response, bypassing circuits events."""
        if self.gone or not data:
            return
        if self._response.chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._server.send_or_buffer(self.socket, data)

    def finish(self) -> None:
        """End a streamed response."""
        if self.gone or not self.streaming:
            return
        self.streaming = False
        self._server.fire(web_events.stream(self._response, None), "web")
        self._server.release_connection(self)

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that wait in the connection's send buffer."""
        return self._server.unsent_bytes(self.socket)


class _PartialRequest:
    """The bytes received of a request that is not complete yet."""

    __slots__ = ("since", "data")

    def __init__(self, since: float):
        self.since = since
        self.data = bytearray()

    def bytes_after_body(self, body_length: int) -> bytearray:
        """Return the bytes that follow a body of ``body_length`` bytes."""
        end = self.data.find(END_OF_HEADERS)
        return self.data[end + len(END_OF_HEADERS) + body_length :]


class _EmbeddedServer(servers.BaseServer):
    """circuits.web's server without its signal handling and its output."""

    @handler("signal", override=True)
    def _on_signal(self, *args, **kwargs):
        """Do nothing, because the daemon handles signals."""

    @handler("ready", override=True)
    def _on_ready(self, server, bind):
        """Do nothing, where the base class prints a message."""


class WebServer(BaseComponent):
    """Receives HTTP requests and passes them to an application.

    Parameters
    ==========

    bind : tuple of (str, int)
        IP number and port to listen on.
    application : callable
        Called with each :class:`IncomingRequest`.
    timers : Timers
        Run the check that closes connections which send too slowly.
    limits : WebLimits
        Limits of sizes, connections and times.
    on_too_large : callable, optional
        Returns the body of the response to a request that is too large.
    """

    channel = "web"

    def __init__(
        self,
        bind: tuple[str, int],
        application: Callable[[IncomingRequest], None],
        timers: timers_module.Timers,
        limits: WebLimits = WebLimits(),
        on_too_large: Callable[[], bytes] = lambda: b"",
    ):
        super().__init__()
        self._application = application
        self._timers = timers
        self._limits = limits
        self._on_too_large = on_too_large
        self._active_request_by_socket: dict[
            socket.socket, IncomingRequest
        ] = {}
        self._pipelined_by_socket: dict[socket.socket, bytearray] = {}
        self._partial_by_socket: dict[socket.socket, _PartialRequest] = {}
        self._http_server = _EmbeddedServer(
            bind, display_banner=False, bufsize=READ_BYTES
        ).register(self)
        self._timers.call_every(
            TIMEOUT_CHECK_SECONDS, self._close_slow_connections
        )

    @property
    def address(self) -> tuple[str, int]:
        """The IP number and port of the listening socket."""
        return self._http_server.host, self._http_server.port

    @property
    def active(self) -> int:
        """Number of connections with an active request or unsent bytes."""
        listener = self._http_server.server
        return sum(
            sock in self._active_request_by_socket
            or bool(listener._buffers.get(sock))
            for sock in listener._clients
        )

    def stop_accepting(self) -> None:
        """Stop accepting connections; established ones continue.

        Connections in the listener's backlog are accepted first, because
        closing the listener would reset them.
        """
        listener = self._http_server.server
        if listener._sock is not None:
            count = -1
            while count < len(listener._clients):
                count = len(listener._clients)
                list(listener._accept())
            listener._poller.discard(listener._sock)
            listener._sock.close()
            listener._sock = None

    def send_or_buffer(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes at once, or behind the data that is already buffered."""
        listener = self._http_server.server
        if sock not in listener._clients:
            return
        if not listener._buffers[sock]:
            try:
                sent = sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self.fire(events.close(sock), "web")
                return
            if sent == len(data):
                return
            data = data[sent:]
        listener.write(sock, data)

    def unsent_bytes(self, sock: socket.socket) -> int:
        """Return the number of bytes in the socket's send buffer."""
        buffers = self._http_server.server._buffers
        return sum(len(data) for data in buffers.get(sock, ()))

    def release_connection(self, incoming: IncomingRequest) -> None:
        """End an answered request and process the bytes received after it."""
        sock = incoming.socket
        self._active_request_by_socket.pop(sock, None)
        pipelined = self._pipelined_by_socket.pop(sock, None)
        if pipelined:
            self.fire(events.read(sock, bytes(pipelined)), "web")

    # -- handlers of circuits events ------------------------------------------

    @handler("connect", priority=1)
    def _on_connect(self, sock, *peer):
        if len(self._http_server.server._clients) > self._limits.connections:
            self.fire(events.close(sock), "web")

    @handler("read", priority=2)
    def _on_read(self, event, sock, data):
        if sock in self._active_request_by_socket:
            # A connection has one active request; later bytes wait.
            event.stop()
            pipelined = self._pipelined_by_socket.setdefault(sock, bytearray())
            pipelined += data
            if len(pipelined) > self._limits.body + self._limits.header:
                self.fire(events.close(sock), "web")
            return
        partial = self._partial_by_socket.get(sock)
        if partial is None:
            partial = _PartialRequest(self._timers.now())
            self._partial_by_socket[sock] = partial
        partial.data += data
        if len(partial.data) > self._limits.body + self._limits.header:
            event.stop()
            self._reject_too_large(sock)

    @handler("disconnect", priority=1)
    def _on_disconnect(self, sock):
        self._partial_by_socket.pop(sock, None)
        self._pipelined_by_socket.pop(sock, None)
        self._http_server.http._buffers.pop(sock, None)
        incoming = self._active_request_by_socket.pop(sock, None)
        if incoming is None:
            return
        incoming.gone = True
        if incoming.on_disconnect is not None:
            incoming.on_disconnect()

    @handler("request", priority=1)
    def _on_request(self, event, request, response, *peer_certificate):
        event.stop()
        incoming = IncomingRequest(self, request, response)
        partial = self._partial_by_socket.pop(request.sock, None)
        self._active_request_by_socket[request.sock] = incoming
        if partial is not None and not incoming.header("Transfer-Encoding"):
            # circuits.web counts all bytes that it received together with a
            # request as its body, including those of the next request.
            length = int(incoming.header("Content-Length", "0"))
            incoming.body = incoming.body[:length]
            next_request = partial.bytes_after_body(length)
            if next_request:
                self._pipelined_by_socket[request.sock] = next_request
        try:
            self._application(incoming)
        except Exception:
            LOG.exception("request handler raised an exception")
            incoming.respond_json(500, {"reason": "internal"})
        return True

    # -- size and time limits -------------------------------------------------

    def _reject_too_large(self, sock: socket.socket) -> None:
        self._partial_by_socket.pop(sock, None)
        self._http_server.http._buffers.pop(sock, None)
        body = self._on_too_large()
        head = (
            "HTTP/1.1 413 Content Too Large\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.send_or_buffer(sock, head.encode() + body)
        self.fire(events.close(sock), "web")

    def _close_slow_connections(self) -> None:
        """Close connections that have not sent their request in time."""
        earliest_start = self._timers.now() - self._limits.request_seconds
        for sock, partial in list(self._partial_by_socket.items()):
            if partial.since < earliest_start:
                self.fire(events.close(sock), "web")
