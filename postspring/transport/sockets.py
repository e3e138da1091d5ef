"""Many TCP connections in one circuits component.

circuits' ``TCPClient`` is a component per connection and polls while it
connects.  ``SocketHub`` uses the poller, buffers and socket options of
circuits' ``TCPServer`` and adds outgoing connections to it, so that opening
one neither busy-waits nor rebuilds the event loop's table of handlers.
"""

from collections.abc import Callable
import logging
import socket

from circuits.core import pollers
from circuits.core import utils
from circuits import handler
from circuits.net import events

from postspring.transport import connecting_hub
from postspring.transport import connection_handler
from postspring.transport import send_windows
from postspring.transport import timers

__all__ = ["ConnectionHandler", "SocketHub"]

ConnectionHandler = connection_handler.ConnectionHandler

LOG = logging.getLogger(__name__)
READ_BYTES = 64 * 1024
PACE_SECONDS = 0.01
# Reads at each interval of a connection whose input is discarded, so that the
# end behind what the kernel holds is seen soon.
DISCARDING_READS = 4
# Small parts that wait to be sent are joined up to this size, in bytes: an
# object for each event of a stream would take more than the event.
JOINED_BYTES = 4096
# Longer data is kept in parts of this size, in bytes.
PART_BYTES = 64 * 1024
# Maximum number of reads in one call of read_pending; together they take more
# than the longest permitted request.
MAX_READS = 128
# How long the listener pauses when no descriptor or slot is free, in seconds:
# connections wait in the kernel's backlog, a delay that callers hardly notice.
LISTENER_PAUSE_SECONDS = 0.05


class SocketHub(connecting_hub.ConnectingHub):
    """Opens, accepts, reads and writes TCP connections.

    Parameters
    ==========

    timers : Timers
        For connect timeouts and paced reading.
    bind : tuple of (str, int) or socket, optional
        Address to listen on, or a listener that is open already; without it
        the hub only opens connections.
    on_accept : callable, optional
        Called with the socket of an accepted connection; returns the
        :class:`ConnectionHandler` for it, or None to close it.
    channel : str
        The circuits channel of this hub.

    Attributes
    ==========

    has_room : callable
        Returns whether another connection may be accepted.
    """

    def __init__(
        self,
        timers: timers.Timers,
        bind: tuple[str, int] | socket.socket | None = None,
        on_accept: Callable | None = None,
        channel: str = "hub",
    ):
        self._listening = bind is not None
        self._on_accept = on_accept
        self._paced: dict[socket.socket, None] = {}
        self._half_closing: dict[socket.socket, None] = {}
        self._paced_timer: timers.TimerHandle | None = None
        self.has_room: Callable[[], bool] = lambda: True
        super().__init__(timers, bind, bufsize=READ_BYTES, channel=channel)

    # -- for owners of connections ----------------------------------------

    def send(
        self, sock: socket.socket, data: bytes, is_kept: bool = False
    ) -> None:
        """Send bytes at once; buffer those that the kernel does not take.

        Parameters
        ----------
        is_kept : bool
            The owner keeps the bytes until they are sent, so that they need
            not be copied.
        """
        if sock not in self._handler_by_socket:
            return
        if len(data) > send_windows.MIN_WATCHED_BYTES:
            self._send_windows.watch(sock)
        if not self._buffers[sock]:
            data = self._send_now(sock, memoryview(data))
        if data:
            self._buffer(sock, data, is_kept)
            is_broken = sock in self._error_by_socket
            if not is_broken and not self._poller.isWriting(sock):
                self._poller.addWriter(self, sock)

    def unsent_by_handler(
        self,
    ) -> dict[ConnectionHandler, tuple[int, send_windows.SendState | None]]:
        """Return the buffered bytes and the kernel's state, if any are."""
        return {
            conn_handler: (unsent, send_windows.read_send_state(sock))
            for sock, conn_handler in self._handler_by_socket.items()
            if (unsent := self.unsent_bytes(sock))
        }

    @property
    def unread_count(self) -> int:
        """Number of connections with unread bytes in the kernel."""
        return sum(map(self.has_unread, self._handler_by_socket))

    def start_paced_reading(self, sock: socket.socket) -> None:
        """Read a connection at intervals instead of at each packet.

        Many small packets then cost a single read, and no event each.
        """
        if sock not in self._handler_by_socket or sock in self._paced:
            return
        self._paused.discard(sock)
        self._poller.removeReader(sock)
        self._paced[sock] = None
        if self._paced_timer is None:
            self._paced_timer = self._timers.call_later(
                PACE_SECONDS, self._read_paced
            )

    def stop_paced_reading(self, sock: socket.socket) -> None:
        """Stop reading a connection that is read at intervals."""
        self._paced.pop(sock, None)

    def pause_reading(self, sock: socket.socket) -> None:
        """Stop reading a connection until :meth:`resume_reading` is called."""
        self._paced.pop(sock, None)
        self._paused.add(sock)
        if self._poller.isReading(sock):
            self._poller.removeReader(sock)

    def resume_reading(self, sock: socket.socket) -> None:
        """Read a connection whenever it has input, as at the start."""
        self._paused.discard(sock)
        if sock in self._handler_by_socket and not self._poller.isReading(
            sock
        ):
            self._paced.pop(sock, None)
            self._poller.addReader(self, sock)

    def set_handler(
        self, sock: socket.socket, new_handler: ConnectionHandler
    ) -> None:
        """Replace the handler of an open connection."""
        if sock in self._handler_by_socket:
            self._handler_by_socket[sock] = new_handler

    def close_when_sent(self, sock: socket.socket) -> None:
        """Close a connection once its buffered bytes are sent."""
        if sock.fileno() >= 0:
            self.close(sock)

    def close_now(self, sock: socket.socket) -> None:
        """Close a connection at once and discard buffered bytes."""
        if sock in self._handler_by_socket:
            self._close(sock)

    def shutdown_sending(self, sock: socket.socket) -> None:
        """Shut the sending side down once buffered bytes are sent."""
        if sock not in self._handler_by_socket:
            return
        self._half_closing[sock] = None
        if not self._buffers.get(sock):
            self._shutdown_sending_now(sock)

    def read_pending(self, sock: socket.socket) -> None:
        """Read the bytes that the kernel holds for a connection.

        The event loop runs timers before it polls sockets.  After a pause, a
        timer has to call this before it acts on the state of a connection,
        which is otherwise as old as the pause.
        """
        for _ in range(MAX_READS):
            if sock in self._paused or not self._read(sock):
                return

    def accept_pending(self) -> None:
        """Accept waiting connections: closing the listener resets them."""
        for _ in range(self._backlog):
            if not self._accept():
                return

    def stop_accepting(self) -> None:
        """Close the listener; open connections remain."""
        if self._listening and self._sock is not None:
            self._poller.discard(self._sock)
            self._sock.close()
            self._sock = None

    # -- from circuits --------------------------------------------------------

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
            self._finish_connect(sock)
            return
        if sock in self._error_by_socket:
            return
        super()._on_write(sock)
        if self._buffers.get(sock):
            return
        if sock in self._half_closing:
            self._shutdown_sending_now(sock)
        conn_handler = self._handler_by_socket.get(sock)
        if conn_handler is not None and sock not in self._closeq:
            connection_handler.call_safely(conn_handler.drained)

    @handler("_disconnect", priority=1)
    def _on_disconnect(self, sock):
        if sock in self._connecting:
            self._connect_failed(sock, "refused")
        else:
            self._end_broken(sock)

    def _accept(self) -> bool:
        """Accept one waiting connection; return whether one was accepted."""
        if self._sock is None:
            return False
        if not self.has_room():
            self.shortage.record("bound of connections")
            self._pause_listening()
            return False
        try:
            sock, _peer = self._sock.accept()
        except (BlockingIOError, ConnectionAbortedError, PermissionError):
            return False
        except OSError as error:
            # Without a pause, accept() would fail in each loop iteration.
            if not self.shortage.close_idle_connection(error):
                self._pause_listening()
            return False
        self._on_accept_done(sock)
        return True

    def _on_accept_done(self, sock, fire_connect_event=True):
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn_handler = connection_handler.call_safely(self._on_accept, sock)
        if conn_handler is None:
            sock.close()
            return
        self._clients.append(sock)
        self._handler_by_socket[sock] = conn_handler
        self._poller.addReader(self, sock)

    # -- own ------------------------------------------------------------------

    def _forget(self, sock: socket.socket) -> None:
        self._paced.pop(sock, None)
        self._half_closing.pop(sock, None)

    def _buffer(
        self, sock: socket.socket, data: bytes | memoryview, is_kept: bool
    ) -> None:
        """Keep bytes in parts that are freed one by one as they are sent."""
        parts = self._buffers[sock]
        self._unsent_total += len(data)
        if parts and len(parts[-1]) + len(data) <= JOINED_BYTES:
            parts.append(b"".join((parts.pop(), data)))
            return
        rest = memoryview(data)
        for start in range(0, len(rest), PART_BYTES):
            part = rest[start : start + PART_BYTES]
            parts.append(part if is_kept else bytes(part))

    def _shutdown_sending_now(self, sock: socket.socket) -> None:
        self._half_closing.pop(sock, None)
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            self._note_error(sock, error)

    def _pause_listening(self) -> None:
        """Leave new connections in the kernel's backlog for a moment."""
        self._poller.removeReader(self._sock)
        self._timers.call_later(LISTENER_PAUSE_SECONDS, self._resume_listening)

    def _resume_listening(self) -> None:
        if self._sock is not None and not self._poller.isReading(self._sock):
            self._poller.addReader(self, self._sock)

    def _read_paced(self) -> None:
        self._paced_timer = None
        for sock in list(self._paced):
            # Another connection's read may have ended this one.
            conn_handler = self._handler_by_socket.get(sock)
            if conn_handler is None:
                continue
            reads = DISCARDING_READS if conn_handler.discards_input else 1
            for _ in range(reads):
                if not self._read(sock):
                    break
        if self._paced:
            self._paced_timer = self._timers.call_later(
                PACE_SECONDS, self._read_paced
            )
