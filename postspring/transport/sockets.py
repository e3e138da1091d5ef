"""Many TCP connections in one circuits component.

circuits' ``TCPClient`` is a component per connection and polls while it
connects.  ``SocketHub`` keeps circuits' poller, buffers and socket options
of its ``TCPServer`` and adds outgoing connections to it, so that opening
one neither spins nor rebuilds the loop's table of handlers.
"""

from collections.abc import Callable
import errno
import logging
import socket

from circuits.core import pollers
from circuits.core import utils
from circuits import handler
from circuits.net import events

from postspring.transport import connection_handler
from postspring.transport import opening
from postspring.transport import timers
from postspring.transport import windows

__all__ = ["ConnectionHandler", "SocketHub"]

ConnectionHandler = connection_handler.ConnectionHandler

LOG = logging.getLogger(__name__)
READ_BYTES = 64 * 1024
PACE_SECONDS = 0.01
# Reads at once before a connection is judged: more than the longest request
# that may come.
MOST_READS = 128
# How long a listener rests for which there is no file or no room, in seconds:
# its connections wait in the kernel meanwhile, and callers hardly notice.
REST_SECONDS = 0.05


class SocketHub(opening.OpeningHub):
    """Opens, accepts, reads and writes TCP connections.

    Parameters
    ==========

    timers : Timers
        For connect timeouts and paced reading.
    bind : tuple of (str, int), optional
        Address to listen on; without it the hub only opens connections.
    on_accept : callable, optional
        Called with the socket of an accepted connection; returns the
        :class:`ConnectionHandler` for it, or None to close it.
    channel : str
        The circuits channel of this hub.

    Attributes
    ==========

    has_room : callable
        Returns whether one more connection may be accepted.
    """

    def __init__(
        self,
        timers: timers.Timers,
        bind: tuple[str, int] | None = None,
        on_accept: Callable | None = None,
        channel: str = "hub",
    ):
        self._listening = bind is not None
        self._on_accept = on_accept
        self._paced: dict[socket.socket, None] = {}
        self._ending: dict[socket.socket, None] = {}
        self._pump: timers.TimerHandle | None = None
        self.has_room: Callable[[], bool] = lambda: True
        super().__init__(timers, bind, bufsize=READ_BYTES, channel=channel)

    # -- for users ----------------------------------------------------------

    def send(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes: at once if nothing is buffered, else in order."""
        if sock not in self._handler_by_socket:
            return
        if len(data) > windows.LONG_BYTES:
            self._windows.watch(sock)
        if not self._buffers[sock]:
            try:
                sent = sock.send(data)
            except BlockingIOError:
                sent = 0
            except OSError:
                self._close(sock)
                return
            if sent == len(data):
                return
            data = data[sent:]
        self.write(sock, data)

    def unsent_bytes(self, sock: socket.socket) -> int:
        """Return how many bytes wait to be sent."""
        return sum(len(data) for data in self._buffers.get(sock, ()))

    @property
    def all_unsent_bytes(self) -> int:
        """How many bytes wait to be sent, on all connections."""
        return sum(map(self.unsent_bytes, self._handler_by_socket))

    @property
    def unread_count(self) -> int:
        """On how many connections the kernel holds bytes."""
        return sum(map(self.has_unread, self._handler_by_socket))

    def pace(self, sock: socket.socket) -> None:
        """Read this connection at intervals instead of at each packet.

        Many small packets then cost one read and no event each.
        """
        if sock not in self._handler_by_socket or sock in self._paced:
            return
        self._poller.removeReader(sock)
        self._paced[sock] = None
        if self._pump is None:
            self._pump = self._timers.call_later(
                PACE_SECONDS, self._read_paced
            )

    def pause(self, sock: socket.socket) -> None:
        """Stop reading a paced connection."""
        self._paced.pop(sock, None)

    def hold(self, sock: socket.socket) -> None:
        """Stop reading a connection; :meth:`unpace` goes on."""
        self._paced.pop(sock, None)
        if self._poller.isReading(sock):
            self._poller.removeReader(sock)

    def unpace(self, sock: socket.socket) -> None:
        """Read the connection as its packets come again."""
        if sock in self._handler_by_socket and not self._poller.isReading(
            sock
        ):
            self._paced.pop(sock, None)
            self._poller.addReader(self, sock)

    def adopt(self, sock: socket.socket, user: ConnectionHandler) -> None:
        """Hand an open connection to another user."""
        if sock in self._handler_by_socket:
            self._handler_by_socket[sock] = user

    def shut(self, sock: socket.socket) -> None:
        """Close a connection once what was sent has left."""
        if sock.fileno() >= 0:
            self.close(sock)

    def cut(self, sock: socket.socket) -> None:
        """Close a connection at once, whatever is unsent."""
        if sock in self._handler_by_socket:
            self._close(sock)

    def end_sending(self, sock: socket.socket) -> None:
        """Say that nothing more follows, once what was sent has left."""
        if sock not in self._handler_by_socket:
            return
        self._ending[sock] = None
        if not self._buffers.get(sock):
            self._say_end(sock)

    def read_now(self, sock: socket.socket) -> None:
        """Read what the kernel holds, before a connection is judged.

        In a turn of the loop timers run before sockets: after a pause what
        a timer's function knows of a connection is as old as the pause.
        """
        for _ in range(MOST_READS):
            if not self._read(sock):
                return

    def has_unread(self, sock: socket.socket) -> bool:
        """Return whether the kernel holds bytes of a connection."""
        try:
            return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def accept_now(self) -> None:
        """Accept what waits: closing the listener would reset it."""
        for _ in range(self._backlog):
            if not self._accept():
                return

    def refuse_new(self) -> None:
        """Stop accepting; open connections go on."""
        if self._listening and self._sock is not None:
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None

    # -- circuits' side -----------------------------------------------------

    def _create_socket(self):
        if self._listening:
            return super()._create_socket()
        return None

    @handler("registered", "started", channel="*")
    def _on_registered_or_started(self, component, manager=None):
        if self._poller is not None:
            return
        if isinstance(component, pollers.BasePoller):
            self._poller = component
        elif component is self:
            self._poller = utils.findcmp(self.root, pollers.BasePoller)
            if self._poller is None:
                self._poller = pollers.Poller().register(self)
        if self._poller is not None and self._listening:
            self._poller.addReader(self, self._sock)
            self.fire(events.ready(self, (self.host, self.port)))

    @handler("_write", priority=1)
    def _on_write(self, sock):
        if sock in self._connecting:
            self._opened(sock)
            return
        super()._on_write(sock)
        if sock in self._ending and not self._buffers.get(sock):
            self._say_end(sock)

    @handler("_disconnect", priority=1)
    def _on_disconnect(self, sock):
        if sock in self._connecting:
            self._connect_failed(sock, "refused")
        else:
            self._close(sock)

    def _accept(self) -> bool:
        """Accept a connection, at once; return whether there was one."""
        if self._sock is None:
            return False
        if not self.has_room():
            self.shortage.note("bound of connections")
            self._rest()
            return False
        try:
            sock, _peer = self._sock.accept()
        except (BlockingIOError, ConnectionAbortedError, PermissionError):
            return False
        except OSError as error:
            # Asked again at once, it would fail in each turn of the loop.
            if not self.shortage.relieve(error):
                self._rest()
            return False
        self._on_accept_done(sock)
        return True

    def _on_accept_done(self, sock, fire_connect_event=True):
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = opening.tell(self._on_accept, sock)
        if connection is None:
            sock.close()
            return
        self._clients.append(sock)
        self._handler_by_socket[sock] = connection
        self._poller.addReader(self, sock)

    def _read(self, sock) -> bool:
        """Read once; return whether bytes came."""
        connection = self._handler_by_socket.get(sock)
        if connection is None:
            return False
        try:
            data = sock.recv(READ_BYTES)
        except BlockingIOError:
            return False
        except OSError as error:
            self._close(sock, broken_by=error)
            return False
        if not data:
            self._ended_by_other_side(sock, connection)
            return False
        self._timers.has_read = True
        try:
            connection.received(data)
        except Exception:
            LOG.exception("a connection's handler failed")
            self._close(sock)
        return True

    def _ended_by_other_side(self, sock, connection) -> None:
        """Close; whoever only stopped sending still gets what is unsent."""
        if connection.is_answered and self._buffers.get(sock):
            self._poller.removeReader(sock)
            self.close(sock)
        else:
            self._close(sock)

    def _close(self, sock, broken_by=None):
        connection = self._handler_by_socket.pop(sock, None)
        self._paced.pop(sock, None)
        self._ending.pop(sock, None)
        if sock in self._closeq:
            self._closeq.remove(sock)
        unsent = self.unsent_bytes(sock)
        self._windows.forget(sock)
        super()._close(sock)
        if connection is None:
            return
        if unsent:
            connection.left_unsent(unsent)
        if broken_by is not None:
            timed_out = broken_by.errno == errno.ETIMEDOUT
            opening.tell(connection.was_reset, timed_out)
        else:
            opening.tell(connection.closed)

    # -- own ------------------------------------------------------------------

    def _say_end(self, sock: socket.socket) -> None:
        self._ending.pop(sock, None)
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            self._close(sock)

    def _rest(self) -> None:
        """Let connections wait in the kernel for a moment."""
        self._poller.removeReader(self._sock)
        self._timers.call_later(REST_SECONDS, self._listen_again)

    def _listen_again(self) -> None:
        if self._sock is not None and not self._poller.isReading(self._sock):
            self._poller.addReader(self, self._sock)

    def _read_paced(self) -> None:
        self._pump = None
        for sock in list(self._paced):
            self._read(sock)
        if self._paced:
            self._pump = self._timers.call_later(
                PACE_SECONDS, self._read_paced
            )
