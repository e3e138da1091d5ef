"""Answers that upstreams give early, and connections that they break off.

An upstream answers a long request as soon as its head has come, reads nothing
more of it, and ends the connection.  Whether the answer is complete follows
from its framing, from how much of it was sent, and from the end.  An endless
answer goes on until the other side closes the connection.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import itertools
import random
import socket
import time

import h11

from postspring.platform import names
from postspring.testing.soak import callers
from postspring.testing.soak import records
from postspring import transport
from postspring.transport import server_connection

__all__ = [
    "Break",
    "BreakingServer",
    "Framing",
    "new_run",
    "send_breaking",
    "send_endless",
]

PATH = "break"
# Requests that are sent at the same moment: busy VMs see an answer and the end
# of its connection together.
BURST = 9
BODY_BYTES = (2_500_000, 4_000_000)
# A request does not fit into the buffers of its connection, so that a part of
# it is unsent when the answer comes.
RECEIVE_BUFFER_BYTES = 64 * 1024
# An endless answer goes on by so many bytes at a time, whenever all before
# has been taken.
ENDLESS_BYTES = 256 * 1024
ENDLESS_SECONDS = 0.002
# Body of a request for an endless answer; its head arrives before it.
ENDLESS_BODY_BYTES = 200_000
DEADLINE_SECONDS = 3.0
# Stated length of an endless answer, in bytes.
ENDLESS_LENGTH = 2**40
_numbers = itertools.count(1)


class Framing(enum.StrEnum):
    """How an answer's head states where the body ends."""

    NONE = "none"
    LENGTH = "length"
    CHUNKS = "chunks"


@dataclasses.dataclass(frozen=True, slots=True)
class Break:
    """How an upstream answers and ends the connection.

    Examples
    ========

    >>> way = Break.parse(b"/once/break/none/half/reset")
    >>> way == Break(Framing.NONE, is_cut=True, is_reset=True)
    True
    >>> Break.parse(b"/once/x") is None
    True
    >>> Break(Framing.NONE, is_cut=False, is_reset=True).is_complete
    False
    """

    framing: Framing
    is_cut: bool
    is_reset: bool
    is_endless: bool = False

    @classmethod
    def draw_endless(cls, draw: random.Random) -> "Break":
        """Return one of the ways without an end."""
        framing = draw.choice(list(Framing))
        return cls(framing, is_cut=False, is_reset=False, is_endless=True)

    @classmethod
    def draw(cls, draw: random.Random) -> "Break":
        """Return one of all ways whose result a caller can tell.

        Half of an answer without a length is whole if an EOF ends it.
        """
        framing = draw.choice(list(Framing))
        is_reset = draw.random() < 0.7
        may_cut = is_reset or framing is not Framing.NONE
        return cls(framing, may_cut and draw.random() < 0.5, is_reset)

    @classmethod
    def parse(cls, target: bytes) -> "Break | None":
        """Return what a request's path asks for, if it asks for a break."""
        parts = target.decode("latin-1").split("/")
        if len(parts) != 6 or parts[2] != PATH:
            return None
        return cls(
            Framing(parts[3]),
            parts[4] == "half",
            parts[5] == "reset",
            parts[4] == "endless",
        )

    @property
    def path(self) -> str:
        """The end of a request's path that asks for it."""
        size = "half" if self.is_cut else "whole"
        if self.is_endless:
            size = "endless"
        end = "reset" if self.is_reset else "eof"
        return f"{PATH}/{self.framing}/{size}/{end}"

    @property
    def is_complete(self) -> bool:
        """Whether the answer is complete by its own framing."""
        if self.is_endless:
            return False
        if self.framing is Framing.NONE:
            return not self.is_cut and not self.is_reset
        return not self.is_cut

    def answer(self, fields: list, body: bytes) -> bytes:
        """Return the bytes to send."""
        sent = body[: len(body) // 2] if self.is_cut else body
        if self.framing is Framing.LENGTH:
            length = ENDLESS_LENGTH if self.is_endless else len(body)
            fields = [*fields, ("Content-Length", str(length))]
        elif self.framing is Framing.CHUNKS:
            fields = [*fields, ("Transfer-Encoding", "chunked")]
            is_ended = not (self.is_cut or self.is_endless)
            end = b"0\r\n\r\n" if is_ended else b""
            sent = self.part(sent) + end
        head = "".join(f"{name}: {value}\r\n" for name, value in fields)
        return f"HTTP/1.1 200 OK\r\n{head}\r\n".encode() + sent

    def part(self, data: bytes) -> bytes:
        """Return a part of the body as it is sent."""
        if self.framing is Framing.CHUNKS:
            return b"%x\r\n%s\r\n" % (len(data), data)
        return data


class BreakingConnection(server_connection.ServerConnection):
    """Leaves requests that ask for a break to the upstream at their heads."""

    def _parse_received(self) -> None:
        super()._parse_received()
        head = self._reader.head
        if head is None or self._is_closing:
            return
        way = Break.parse(head.target)
        if way is not None:
            self._is_closing = True
            self._server.hub.pause_reading(self._sock)
            self._server.on_break(self, head, way)

    def finish_early(self, way: Break, answer: bytes) -> None:
        """Send an answer and end the connection."""
        hub = self._server.hub
        hub.send(self._sock, answer)
        if way.is_endless:
            self._go_on(way.part(b"x" * ENDLESS_BYTES))
        elif way.is_reset:
            hub.reset(self._sock)
        else:
            hub.shutdown_sending(self._sock)

    def _go_on(self, part: bytes) -> None:
        """Send more of an answer until the connection is closed."""
        hub = self._server.hub
        if self._sock.fileno() < 0:
            return
        if not hub.unsent_bytes(self._sock):
            hub.send(self._sock, part)
        self._server.timers.call_later(ENDLESS_SECONDS, self._go_on, part)


class BreakingServer(transport.HttpServer):
    """Calls ``on_break`` with each request that asks for a break."""

    def listen(self, parent, bind, channel="http-server") -> None:
        """Listen with small receive buffers, which connections inherit."""
        super().listen(parent, bind, channel)
        self.hub._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )

    def accept(self, sock) -> BreakingConnection:
        """Create the handler of a new connection."""
        connection = BreakingConnection(self, sock)
        self._connections[connection] = None
        return connection


async def send_breaking(
    caller: callers.Caller, places: list[str], mean: float, until: float
) -> None:
    """Send bursts of long requests whose answers are broken off.

    Parameters
    ----------
    mean : float
        Seconds from one burst to the next, in the mean.
    """
    await _send_bursts(caller, places, mean, until, _request)


async def send_endless(
    caller: callers.Caller, places: list[str], mean: float, until: float
) -> None:
    """Send bursts of requests whose answers have no end.

    Parameters
    ----------
    mean : float
        Seconds from one burst to the next, in the mean.
    """
    await _send_bursts(caller, places, mean, until, _endless_request)


async def _send_bursts(
    caller: callers.Caller,
    places: list[str],
    mean: float,
    until: float,
    make_request: Callable[[random.Random], callers.Request],
) -> None:
    draw = caller.draw
    while True:
        await asyncio.sleep(draw.expovariate(1 / mean))
        if time.monotonic() > until:
            return
        async with asyncio.TaskGroup() as group:
            place = draw.choice(places)
            for _ in range(BURST):
                group.create_task(caller.make(make_request(draw), place))


def _request(draw: random.Random) -> callers.Request:
    is_safe = draw.random() < 0.5
    path = Break.draw(draw).path
    return _request_to(path, is_safe, b"b" * draw.randint(*BODY_BYTES))


def _endless_request(draw: random.Random) -> callers.Request:
    is_safe = draw.random() < 0.5
    path = Break.draw_endless(draw).path
    return _request_to(path, is_safe, b"b" * ENDLESS_BODY_BYTES)


def _request_to(path: str, is_safe: bool, body: bytes) -> callers.Request:
    route = "safe" if is_safe else "once"
    return callers.Request(
        work=f"break-{next(_numbers)}",
        kind=records.Kind.SAFE if is_safe else records.Kind.UNSAFE,
        method="POST",
        target=f"/{route}/{path}",
        headers={},
        deadline=DEADLINE_SECONDS,
        body=body,
    )


def new_run(
    head: h11.Request, upstream: str, number: int, now: float
) -> records.Run:
    """Return the line of a request whose body is not read."""
    return records.Run(
        id=_header(head, names.REQUEST_ID),
        key=f"{upstream}-{number}",
        upstream=upstream,
        began=now,
        ran=True,
        body="",
        is_early=True,
        workspace=_header(head, names.TENANT),
        has_key=bool(_header(head, names.CREDENTIAL)),
    )


def _header(head: h11.Request, name: str) -> str:
    for key, value in head.headers:
        if key == name.lower().encode():
            return value.decode("latin-1")
    return ""
