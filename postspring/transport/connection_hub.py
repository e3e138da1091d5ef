"""Connections on circuits' ``TCPServer``: reads, sends and their ends."""

import errno
import logging
import socket
import struct

from circuits.net import sockets

from postspring.transport import connection_end
from postspring.transport import connection_handler
from postspring.transport import send_windows
from postspring.transport import timers as timers_module

__all__ = ["ConnectionHub"]

LOG = logging.getLogger(__name__)
# struct linger of Linux: on, 0 seconds.
_NO_LINGER = struct.pack("ii", 1, 0)


class ConnectionHub(sockets.TCPServer):
    """Reads and writes connections, and decides how each of them ended."""

    def __init__(self, timers: timers_module.Timers, bind, **options):
        self._timers = timers
        self._handler_by_socket: dict[
            socket.socket, connection_handler.ConnectionHandler
        ] = {}
        # The kernel reports the error of a connection once; after that, reads
        # return what has arrived and then an EOF.
        self._error_by_socket: dict[socket.socket, OSError] = {}
        self._send_windows = send_windows.SendWindowMonitor(timers)
        self._paused: set[socket.socket] = set()
        self._unsent_total = 0
        super().__init__(bind, **options)

    def unsent_bytes(self, sock: socket.socket) -> int:
        """Return how many bytes are buffered in this process for sending."""
        return sum(len(data) for data in self._buffers.get(sock, ()))

    @property
    def all_unsent_bytes(self) -> int:
        """Number of bytes buffered for sending on all connections."""
        return self._unsent_total

    def has_unsent(self, sock: socket.socket) -> bool:
        """Return whether bytes wait in this process or for the peer's window.

        Bytes in the kernel count only where it tells how many there are.
        """
        if self.unsent_bytes(sock):
            return True
        state = send_windows.read_send_state(sock)
        return state is not None and state.unsent > 0

    def has_unread(self, sock: socket.socket) -> bool:
        """Return whether the kernel holds unread bytes of a connection."""
        try:
            return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except BlockingIOError:
            return False
        except OSError as error:
            self._note_error(sock, error)
            return False

    def reset(self, sock: socket.socket) -> None:
        """Close a connection with a reset, which no peer takes for an EOF."""
        if sock not in self._handler_by_socket:
            return
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self._poller.discard(sock)
        # circuits would shut it down first, which sends an EOF.
        sock.close()
        self._end(sock, connection_end.ConnectionEnd.LOCAL)

    # -- from circuits --------------------------------------------------------

    def _write(self, sock, data):
        unsent = self._send_now(sock, data)
        self._unsent_total -= len(data) - len(unsent)
        if unsent:
            self._buffers[sock].appendleft(unsent)

    def _close(self, sock):
        """Close a connection; circuits calls this for closes of this side."""
        self._end(sock, connection_end.ConnectionEnd.LOCAL)

    # -- own ------------------------------------------------------------------

    def _read(self, sock) -> bool:
        """Read once; return whether bytes were received."""
        conn_handler = self._handler_by_socket.get(sock)
        if conn_handler is None:
            return False
        try:
            data = sock.recv(conn_handler.read_bytes or self._bufsize)
        except BlockingIOError:
            return False
        except OSError as error:
            self._end(sock, connection_end.ConnectionEnd.of_error(error))
            return False
        if not data:
            self._handle_remote_end(sock, conn_handler)
            return False
        self._timers.has_read = True
        try:
            conn_handler.received(data)
        except Exception:
            LOG.exception("connection handler raised an exception")
            self._end(sock, connection_end.ConnectionEnd.HANDLER_FAILED)
        return True

    def _handle_remote_end(self, sock, conn_handler) -> None:
        """Handle EOF: close, after sending buffered bytes if so requested."""
        if conn_handler.flushes_on_eof and self._buffers.get(sock):
            self._poller.removeReader(sock)
            self.close(sock)
        else:
            self._end(sock, connection_end.ConnectionEnd.EOF)

    def _send_now(self, sock: socket.socket, data: bytes) -> bytes:
        """Send bytes; return those that the kernel has not taken."""
        try:
            return data[sock.send(data) :]
        except BlockingIOError:
            return data
        except OSError as error:
            if error.errno != errno.ENOBUFS:
                self._note_error(sock, error)
            return data

    def _note_error(self, sock: socket.socket, error: OSError) -> None:
        """Remember the first error of a connection, and end it soon.

        It is not ended here: callers may be in the middle of a change.
        """
        if sock in self._handler_by_socket:
            if sock not in self._error_by_socket:
                self._error_by_socket[sock] = error
                self._poller.discard(sock)
                self._timers.call_later(0, self._end_broken, sock)

    def _end_broken(self, sock: socket.socket) -> None:
        """End a broken connection, after the bytes that have arrived."""
        conn_handler = self._handler_by_socket.get(sock)
        if conn_handler is None:
            return
        if conn_handler.reads_after_break:
            while self._read(sock):
                pass
        if sock in self._handler_by_socket:
            self._end(sock, connection_end.ConnectionEnd.RESET)

    def _end(
        self, sock: socket.socket, end: connection_end.ConnectionEnd
    ) -> None:
        """Close a connection, and report to its handler how it ended."""
        error = self._error_by_socket.pop(sock, None)
        if error is not None and not _is_after_eof(error, end):
            end = connection_end.ConnectionEnd.of_error(error)
        conn_handler = self._handler_by_socket.pop(sock, None)
        self._forget(sock)
        if sock in self._closeq:
            self._closeq.remove(sock)
        unsent = self.unsent_bytes(sock)
        self._unsent_total -= unsent
        self._paused.discard(sock)
        self._send_windows.remove(sock)
        super()._close(sock)
        if conn_handler is None:
            return
        if unsent:
            conn_handler.unsent_discarded(unsent)
        connection_handler.call_safely(conn_handler.ended, end)

    def _forget(self, sock: socket.socket) -> None:
        """Drop what a subclass keeps for a connection that has ended."""


def _is_after_eof(error: OSError, end: connection_end.ConnectionEnd) -> bool:
    """Return whether an EOF of the peer came before an error.

    Linux reports a reset as EPIPE instead of ECONNRESET if the peer's EOF
    had arrived (``tcp_reset`` in CLOSE_WAIT).
    """
    return (
        end is connection_end.ConnectionEnd.EOF and error.errno == errno.EPIPE
    )
