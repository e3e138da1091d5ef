"""Outgoing connections."""

from collections.abc import Callable
import errno
import os
import socket

from postspring import errors
from postspring.transport import connection_attempts
from postspring.transport import connection_handler
from postspring.transport import connection_hub
from postspring.transport import descriptor_limits
from postspring.transport import timers as timers_module

__all__ = ["ConnectingHub"]

# No descriptor is free, or an address can't be reached or is invalid.
_CONNECT_ERRORS = (OSError, OverflowError, TypeError, ValueError)


class ConnectingHub(connection_hub.ConnectionHub):
    """A hub that opens connections.

    Attributes
    ==========

    shortage : ConnectionShortage
        Frees a descriptor when none is left; owners of idle connections
        add their callables to its ``reclaimers``.
    """

    def __init__(self, timers: timers_module.Timers, bind, **options):
        self._connecting: dict[
            socket.socket, connection_attempts.PendingConnection
        ] = {}
        self.shortage = descriptor_limits.ConnectionShortage(timers)
        super().__init__(timers, bind, **options)

    def open(
        self,
        address: tuple[str, int],
        timeout: float,
        on_open: Callable[
            [socket.socket], connection_handler.ConnectionHandler
        ],
        on_error: Callable[[errors.TransportError], None],
    ) -> None:
        """Open a connection and report success or failure to its owner.

        Parameters
        ----------
        address
            IP address and port.
        timeout : float
            Limit for establishing the connection, in seconds.
        on_open
            Called with the connected socket; returns its handler.
        on_error
            Called with a TransportError that has ``sent=False`` if the
            connection could not be opened, or if ``on_open`` raised.
        """
        try:
            sock = self._start_connect(address)
        except _CONNECT_ERRORS as error:
            reason = connection_attempts.error_name(error)
            failure = connection_attempts.connect_error(address, reason)
            self._timers.call_later(0, on_error, failure)
            return
        deadline = self._timers.call_later(
            timeout, self._connect_timed_out, sock
        )
        self._connecting[sock] = connection_attempts.PendingConnection(
            address, on_open, on_error, deadline
        )
        self._poller.addWriter(self, sock)

    # -- own ------------------------------------------------------------------

    def _finish_connect(self, sock: socket.socket) -> None:
        """Pass the connection to its owner, or report why it failed."""
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._connect_failed(sock, errno.errorcode.get(code, str(code)))
            return
        self._poller.removeWriter(sock)
        pending = self._connecting.pop(sock)
        pending.deadline.cancel()
        self._clients.append(sock)
        new_handler = connection_handler.call_safely(pending.on_open, sock)
        if new_handler is None:
            self._close(sock)
            reason = "its user failed"
            failure = connection_attempts.connect_error(
                pending.address, reason
            )
            connection_handler.call_safely(pending.on_error, failure)
        elif sock in self._clients:
            self._handler_by_socket[sock] = new_handler
            self._poller.addReader(self, sock)

    def _start_connect(self, address: tuple[str, int]) -> socket.socket:
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            if not self.shortage.close_idle_connection(error):
                raise
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._send_windows.set_ack_timeout(sock)
            code = sock.connect_ex(address)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, os.strerror(code))
        except _CONNECT_ERRORS:
            self._send_windows.remove(sock)
            sock.close()
            raise
        return sock

    def _connect_timed_out(self, sock: socket.socket) -> None:
        if sock in self._connecting:
            self._connect_failed(sock, "timeout")

    def _connect_failed(self, sock: socket.socket, reason: str) -> None:
        pending = self._connecting.pop(sock)
        pending.deadline.cancel()
        self._poller.discard(sock)
        self._buffers.pop(sock, None)
        self._send_windows.remove(sock)
        sock.close()
        connection_handler.call_safely(
            pending.on_error,
            connection_attempts.connect_error(pending.address, reason),
        )
