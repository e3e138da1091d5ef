"""Opening connections on circuits' server of sockets."""

from collections.abc import Callable
import errno
import logging
import os
import socket

from circuits.net import sockets

from postspring import errors
from postspring.transport import connecting
from postspring.transport import connection_handler
from postspring.transport import files
from postspring.transport import timers as timers_module
from postspring.transport import windows

__all__ = ["OpeningHub", "tell"]

LOG = logging.getLogger(__name__)


class OpeningHub(sockets.TCPServer):
    """A server of sockets that also opens connections.

    Attributes
    ==========

    shortage : Shortage
        What is done when no file is left; users of connections that they
        can do without add themselves.
    """

    def __init__(self, timers: timers_module.Timers, bind, **options):
        self._timers = timers
        self._handler_by_socket: dict[
            socket.socket, connection_handler.ConnectionHandler
        ] = {}
        self._connecting: dict[socket.socket, connecting.Connecting] = {}
        self._windows = windows.WindowWatch(timers)
        self.shortage = files.Shortage(timers)
        super().__init__(bind, **options)

    def open(
        self,
        address: tuple[str, int],
        timeout: float,
        on_open: Callable[
            [socket.socket], connection_handler.ConnectionHandler
        ],
        on_error: Callable[[errors.TransportError], None],
    ) -> None:
        """Open a connection; exactly one of the two functions is called.

        Parameters
        ----------
        address
            IP number and port.
        timeout : float
            Seconds after which to give up.
        on_open, on_error
            Called with the socket, and with a TransportError that says
            ``sent=False``.
        """
        try:
            sock = self._begin_to_open(address)
        except (OSError, OverflowError) as error:
            # No file is left, or the address is none.
            text = connecting.name_of(error)
            failure = connecting.connect_error(address, text)
            self._timers.call_later(0, on_error, failure)
            return
        deadline = self._timers.call_later(timeout, self._timed_out, sock)
        self._connecting[sock] = connecting.Connecting(
            address, on_open, on_error, deadline
        )
        self._poller.addWriter(self, sock)

    # -- own ------------------------------------------------------------------

    def _opened(self, sock: socket.socket) -> None:
        """Hand a connection over, or tell why it did not open."""
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._connect_failed(sock, errno.errorcode.get(code, str(code)))
            return
        self._poller.removeWriter(sock)
        opening = self._connecting.pop(sock)
        opening.deadline.cancel()
        self._clients.append(sock)
        user = tell(opening.on_open, sock)
        if user is None:
            self._close(sock)
            text = "its user failed"
            failure = connecting.connect_error(opening.address, text)
            tell(opening.on_error, failure)
        elif sock in self._clients:
            self._handler_by_socket[sock] = user
            self._poller.addReader(self, sock)

    def _begin_to_open(self, address: tuple[str, int]) -> socket.socket:
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            if not self.shortage.relieve(error):
                raise
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._windows.bind(sock)
            code = sock.connect_ex(address)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, os.strerror(code))
        except (OSError, OverflowError):
            self._windows.forget(sock)
            sock.close()
            raise
        return sock

    def _timed_out(self, sock: socket.socket) -> None:
        if sock in self._connecting:
            self._connect_failed(sock, "timeout")

    def _connect_failed(self, sock: socket.socket, text: str) -> None:
        opening = self._connecting.pop(sock)
        opening.deadline.cancel()
        self._poller.discard(sock)
        self._buffers.pop(sock, None)
        self._windows.forget(sock)
        sock.close()
        tell(opening.on_error, connecting.connect_error(opening.address, text))


def tell(function: Callable, *arguments):
    """Call a user of the hub; what it raises must end no other's work."""
    try:
        return function(*arguments)
    except Exception:
        LOG.exception("a connection's user failed")
        return None
