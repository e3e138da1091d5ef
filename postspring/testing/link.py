"""Stand-in of a network link: forwards TCP, until it is cut.

Fault ``cut``: nothing passes in either direction and nobody is told, as when
packets are dropped.  Connections made meanwhile wait; whatever waits goes on
once the link is mended.
"""

import socket

from postspring import errors
from postspring.testing import base
from postspring import transport
from postspring import web

__all__ = ["Link"]

CONNECT_SECONDS = 5.0


class _End(transport.ConnectionHandler):
    """One end of a forwarded connection."""

    def __init__(self, link: "Link", sock: socket.socket):
        self.link = link
        self.sock = sock
        self.other: _End | None = None
        self.early = bytearray()

    def received(self, data: bytes) -> None:
        """Pass bytes on, or keep them until there is another end."""
        if self.other is None:
            self.early += data
        else:
            self.link.hub.send(self.other.sock, data)

    def ended(self, end: transport.ConnectionEnd) -> None:
        """Close the other end, too."""
        self.link.forget(self)
        if self.other is not None:
            self.link.hub.close_when_sent(self.other.sock)


class Link(base.StandIn):
    """Forwards connections to one address.

    Parameters
    ==========

    bind : tuple of (str, int)
        Where faults are set.
    forward : tuple of (str, int)
        Where connections are taken.
    target : tuple of (str, int)
        Where they lead.
    """

    router = web.Router()

    def __init__(self, bind, forward, target):
        super().__init__(bind)
        self._target = target
        self._cut = False
        self._ends: set[_End] = set()
        self._waiting: list[_End] = []
        self.hub = transport.SocketHub(
            self.timers, forward, self._accepted, channel="link"
        ).register(self)

    def faults_changed(self) -> None:
        """Cut or mend the link."""
        self._cut = bool(self.faults.get("cut"))
        for end in self._ends:
            if self._cut:
                self.hub.pause_reading(end.sock)
            else:
                self.hub.resume_reading(end.sock)
        if not self._cut:
            waiting = self._waiting
            self._waiting = []
            for end in waiting:
                self._connect(end)

    def forget(self, end: _End) -> None:
        """Take note that an end is gone."""
        self._ends.discard(end)
        if end in self._waiting:
            self._waiting.remove(end)

    def _accepted(self, sock: socket.socket) -> _End:
        end = _End(self, sock)
        self._ends.add(end)
        if self._cut:
            self._waiting.append(end)
        else:
            self._connect(end)
        return end

    def _connect(self, end: _End) -> None:
        def on_open(sock: socket.socket) -> _End:
            other = _End(self, sock)
            other.other = end
            end.other = other
            self._ends.add(other)
            if end.early:
                early = bytes(end.early)
                self.timers.call_later(0, self.hub.send, sock, early)
            return other

        def on_error(error: errors.TransportError) -> None:
            self.hub.close_when_sent(end.sock)

        self.hub.open(self._target, CONNECT_SECONDS, on_open, on_error)
