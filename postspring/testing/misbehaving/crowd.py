"""Connections that send without reading."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import itertools
import selectors
import socket
import time
import uuid

from postspring.platform import names
from postspring.testing.fleet import fleet

__all__ = ["Crowd", "Request"]

# A play ends when nothing could be sent for this long, in seconds.
QUIET_SECONDS = 2.0
POLL_SECONDS = 0.05
# Small, so that responses wait at the server and not in the kernel.
RECEIVE_BUFFER_BYTES = 4096
DEADLINE_MS = 6000


class Request:
    """A request's bytes, each time with another id.

    Parameters
    ==========

    path : str
        Starts with the name of a route.
    headers : dict of str to str
        Further header fields; a value of ``{id}`` is replaced by the id.
    body : bytes
        Sent with its length.
    """

    def __init__(
        self,
        path: str,
        method: str = "GET",
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ):
        self._line = f"{method} {path} HTTP/1.1"
        self._headers = {
            "Host": fleet.HOST,
            names.REQUEST_ID: "{id}",
            names.DEADLINE_MS: str(DEADLINE_MS),
        } | (headers or {})
        if method == "POST" and "Transfer-Encoding" not in self._headers:
            self._headers.setdefault("Content-Length", str(len(body)))
        self._body = body

    def encode(self) -> bytes:
        """Return the bytes of the next request."""
        request_id = uuid.uuid4().hex
        fields = [
            f"{name}: {value.replace('{id}', request_id)}"
            for name, value in self._headers.items()
        ]
        head = "\r\n".join([self._line, *fields, "", ""])
        return head.encode("latin-1") + self._body

    def repeat(self) -> Iterator[bytes]:
        """Return requests without end."""
        while True:
            yield self.encode()

    def begin(self, parts: Iterable[bytes]) -> Iterator[bytes]:
        """Return one request, followed by parts of its body."""
        return itertools.chain([self.encode()], parts)


class _Member:
    """One caller of the crowd; it connects again when it is cut off."""

    def __init__(
        self,
        address: tuple[str, int],
        make_parts: Callable[[], Iterator[bytes]],
        budget: int,
    ):
        self._address = address
        self._make_parts = make_parts
        self._parts = make_parts()
        self._budget = budget
        self._rest = b""
        self.sock = self._connect()

    def send(self) -> int | None:
        """Send what the kernel takes; None if there is no more to send."""
        if not self._rest:
            self._rest = next(self._parts, b"")
        if not self._rest or self._budget <= 0:
            return None
        sent = self.sock.send(self._rest)
        self._rest = self._rest[sent:]
        self._budget -= sent
        return sent

    def start_again(self) -> None:
        """Connect again, and begin with another request."""
        self.sock.close()
        self._rest = b""
        self._parts = self._make_parts()
        self.sock = self._connect()

    def _connect(self) -> socket.socket:
        sock = socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.connect(self._address)
        return sock


class Crowd:
    """Callers that send all at the same time and read nothing.

    Parameters
    ==========

    address : tuple of (str, int)
        Where they connect.
    connections : int
        How many callers there are.
    make_parts : callable
        Returns an iterator over what a caller sends on a connection.
    bytes_each : int
        Most bytes that a caller sends in a play.
    on_tick : callable
        Called while a play runs; the callers stay as long as it returns a
        true value.
    """

    def __init__(
        self,
        address: tuple[str, int],
        connections: int,
        make_parts: Callable[[], Iterator[bytes]],
        bytes_each: int,
        on_tick: Callable[[], object] = lambda: None,
    ):
        self._address = address
        self._connections = connections
        self._make_parts = make_parts
        self._bytes_each = bytes_each
        self._on_tick = on_tick

    def play(self) -> None:
        """Send until all is sent or nothing is taken any more; then leave."""
        members = [
            _Member(self._address, self._make_parts, self._bytes_each)
            for _ in range(self._connections)
        ]
        try:
            with selectors.DefaultSelector() as selector:
                for member in members:
                    selector.register(
                        member.sock, selectors.EVENT_WRITE, member
                    )
                self._send(selector)
        finally:
            for member in members:
                member.sock.close()

    def _send(self, selector: selectors.BaseSelector) -> None:
        progress_at = time.monotonic()
        while time.monotonic() - progress_at < QUIET_SECONDS:
            if self._on_tick():
                progress_at = time.monotonic()
            for key, _events in selector.select(POLL_SECONDS):
                if _send_from(selector, key.data):
                    progress_at = time.monotonic()


def _send_from(selector: selectors.BaseSelector, member: _Member) -> bool:
    """Let a member send; return whether it could."""
    try:
        sent = member.send()
    except BlockingIOError:
        return False
    except OSError:
        selector.unregister(member.sock)
        member.start_again()
        selector.register(member.sock, selectors.EVENT_WRITE, member)
        return False
    if sent is None:
        selector.unregister(member.sock)
    return bool(sent)
