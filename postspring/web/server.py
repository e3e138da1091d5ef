"""HTTP server: circuits.web with bounds and answers that come later."""

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
SWEEP_SECONDS = 2.0
END_OF_HEADERS = b"\r\n\r\n"
READ_BYTES = 64 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class WebLimits:
    """Bounds of the HTTP server; sizes in bytes, times in seconds.

    ``unsent`` is how much a slow caller may leave unread before its
    stream is paused.
    """

    body: int = 4 * 1024 * 1024
    header: int = 16 * 1024
    connections: int = 2000
    unsent: int = 256 * 1024
    request_seconds: float = 20.0


class IncomingRequest:
    """A request and the answer to it, which may come at any later time.

    Explanation
    ===========

    Answer with :meth:`respond` or :meth:`respond_json`, or with
    :meth:`start_stream`, :meth:`send` and :meth:`finish`.  When the caller
    is gone, answers go nowhere and ``on_gone`` was called.
    """

    def __init__(self, server: "WebServer", request: Any, response: Any):
        self._server = server
        self._request = request
        self._response = response
        self.gone = False
        self.answered = False
        self.streaming = False
        self.on_gone: Callable[[], None] | None = None
        self.method: str = request.method
        self.path: str = request.path
        self.body: bytes = request.body.read()
        self.query: dict[str, str] = dict(
            urllib.parse.parse_qsl(request.qs or "")
        )

    @property
    def socket(self) -> socket.socket:
        """The caller's connection."""
        return self._request.sock

    def header(self, name: str, default: str = "") -> str:
        """Return a header's value."""
        return self._request.headers.get(name, default)

    def respond(
        self,
        status: int,
        body: bytes,
        content_type: str = "application/octet-stream",
        headers: dict[str, str] | None = None,
    ) -> None:
        """Give a whole answer."""
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
        self._server.release(self)

    def respond_json(
        self, status: int, value: Any, headers: dict[str, str] | None = None
    ) -> None:
        """Give a whole answer in JSON."""
        body = json.dumps(value).encode()
        self.respond(status, body, "application/json", headers)

    def start_stream(self, content_type: str) -> None:
        """Begin a chunked answer."""
        if self.answered or self.gone:
            return
        self.answered = True
        self.streaming = True
        response = self._response
        response.stream = True
        response.headers["Content-Type"] = content_type
        response.headers["Cache-Control"] = "no-store"
        # An empty generator: circuits.web then chunks the answer.
        response.body = (part for part in ())
        response.prepare()
        self._server.write_now(
            self.socket, bytes(response) + bytes(response.headers)
        )

    def send(self, data: bytes) -> None:
        """Send a part of a chunked answer, without an event."""
        if self.gone or not data:
            return
        if self._response.chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._server.write_now(self.socket, data)

    def finish(self) -> None:
        """End a chunked answer."""
        if self.gone or not self.streaming:
            return
        self.streaming = False
        self._server.fire(web_events.stream(self._response, None), "web")
        self._server.release(self)

    @property
    def unsent_bytes(self) -> int:
        """How many bytes of the answer the caller has not taken yet."""
        return self._server.unsent_bytes(self.socket)


class _Progress:
    """What has come of a request that is not whole yet."""

    __slots__ = ("since", "data")

    def __init__(self, since: float):
        self.since = since
        self.data = bytearray()

    def beyond(self, body_length: int) -> bytearray:
        """Return the bytes that follow a request with such a body."""
        end = self.data.find(END_OF_HEADERS)
        return self.data[end + len(END_OF_HEADERS) + body_length :]


class _QuietServer(servers.BaseServer):
    """circuits.web's server, without its own words and its own shutdown."""

    @handler("signal", override=True)
    def _on_signal(self, *args, **kwargs):
        """Leave signals to the daemon."""

    @handler("ready", override=True)
    def _on_ready(self, server, bind):
        """Say nothing."""


class WebServer(BaseComponent):
    """Listens for HTTP requests and hands them to an application.

    Parameters
    ==========

    bind : tuple of (str, int)
        IP number and port.
    application : callable
        Called with each :class:`IncomingRequest`.
    timers : Timers
        For sweeping out connections that send too slowly.
    limits : WebLimits
        Bounds.
    on_too_large : callable, optional
        Returns the body for a request that is over the bounds.
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
        self._active_by_socket: dict[socket.socket, IncomingRequest] = {}
        self._stash_by_socket: dict[socket.socket, bytearray] = {}
        self._progress_by_socket: dict[socket.socket, _Progress] = {}
        self._base = _QuietServer(
            bind, display_banner=False, bufsize=READ_BYTES
        ).register(self)
        self._timers.call_every(SWEEP_SECONDS, self._sweep)

    @property
    def address(self) -> tuple[str, int]:
        """The IP number and port that it listens on."""
        return self._base.host, self._base.port

    @property
    def active(self) -> int:
        """Number of requests whose answers have not wholly left yet."""
        listener = self._base.server
        return sum(
            sock in self._active_by_socket or bool(listener._buffers.get(sock))
            for sock in listener._clients
        )

    def refuse_new(self) -> None:
        """Stop accepting connections; open ones go on.

        What waits is accepted: closing the listener would reset it.
        """
        listener = self._base.server
        if listener._sock is not None:
            count = -1
            while count < len(listener._clients):
                count = len(listener._clients)
                list(listener._accept())
            listener._poller.discard(listener._sock)
            listener._sock.close()
            listener._sock = None

    def write_now(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes at once if nothing is buffered, else in order."""
        listener = self._base.server
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
        """Return how many bytes wait to be sent."""
        buffers = self._base.server._buffers
        return sum(len(data) for data in buffers.get(sock, ()))

    def release(self, incoming: IncomingRequest) -> None:
        """Take note that a request is answered; serve what came after."""
        sock = incoming.socket
        self._active_by_socket.pop(sock, None)
        stash = self._stash_by_socket.pop(sock, None)
        if stash:
            self.fire(events.read(sock, bytes(stash)), "web")

    # -- circuits' side -----------------------------------------------------

    @handler("connect", priority=1)
    def _on_connect(self, sock, *peer):
        if len(self._base.server._clients) > self._limits.connections:
            self.fire(events.close(sock), "web")

    @handler("read", priority=2)
    def _on_read(self, event, sock, data):
        if sock in self._active_by_socket:
            # One request at a time on a connection: the next one waits.
            event.stop()
            stash = self._stash_by_socket.setdefault(sock, bytearray())
            stash += data
            if len(stash) > self._limits.body + self._limits.header:
                self.fire(events.close(sock), "web")
            return
        progress = self._progress_by_socket.get(sock)
        if progress is None:
            progress = _Progress(self._timers.now())
            self._progress_by_socket[sock] = progress
        progress.data += data
        if len(progress.data) > self._limits.body + self._limits.header:
            event.stop()
            self._refuse_size(sock)

    @handler("disconnect", priority=1)
    def _on_disconnect(self, sock):
        self._progress_by_socket.pop(sock, None)
        self._stash_by_socket.pop(sock, None)
        self._base.http._buffers.pop(sock, None)
        incoming = self._active_by_socket.pop(sock, None)
        if incoming is None:
            return
        incoming.gone = True
        if incoming.on_gone is not None:
            incoming.on_gone()

    @handler("request", priority=1)
    def _on_request(self, event, request, response, *peer_certificate):
        event.stop()
        incoming = IncomingRequest(self, request, response)
        progress = self._progress_by_socket.pop(request.sock, None)
        self._active_by_socket[request.sock] = incoming
        if progress is not None and not incoming.header("Transfer-Encoding"):
            # circuits.web takes what came in one packet with a request for
            # a part of its body.
            length = int(incoming.header("Content-Length", "0"))
            incoming.body = incoming.body[:length]
            rest = progress.beyond(length)
            if rest:
                self._stash_by_socket[request.sock] = rest
        try:
            self._application(incoming)
        except Exception:
            LOG.exception("a request's handler failed")
            incoming.respond_json(500, {"reason": "internal"})
        return True

    # -- own ------------------------------------------------------------------

    def _refuse_size(self, sock: socket.socket) -> None:
        self._progress_by_socket.pop(sock, None)
        self._base.http._buffers.pop(sock, None)
        body = self._on_too_large()
        head = (
            "HTTP/1.1 413 Content Too Large\r\n"
            "Content-Type: application/json\r\nConnection: close\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.write_now(sock, head.encode() + body)
        self.fire(events.close(sock), "web")

    def _sweep(self) -> None:
        """Close connections that take too long to send their request."""
        oldest = self._timers.now() - self._limits.request_seconds
        for sock, progress in list(self._progress_by_socket.items()):
            if progress.since < oldest:
                self.fire(events.close(sock), "web")
