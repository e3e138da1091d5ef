"""Lingering close: discard input until the peer has read the response."""

import socket

from postspring.transport import connection_end
from postspring.transport import connection_handler
from postspring.transport import sockets
from postspring.transport import timers as timers_module

__all__ = ["LingeringClose"]

# How long input of the peer is discarded before the close, in seconds: time
# for the response to reach a caller that is still sending, on a link that
# delays packets by half a second.
LINGER_SECONDS = 2.0


class LingeringClose(connection_handler.ConnectionHandler):
    """Discards input, so that closing does not reset the connection.

    Explanation
    ===========

    Closing a socket with unread bytes sends a reset, and a reset destroys
    the part of the response that the peer has not read yet.  So the sending
    side is shut down first, and the connection is closed when the peer has
    closed it, or after ``LINGER_SECONDS``.

    Parameters
    ==========

    previous_handler : ConnectionHandler
        Handler that had the connection; its callbacks for the end of the
        connection are still called.
    """

    def __init__(
        self,
        hub: sockets.SocketHub,
        timers: timers_module.Timers,
        sock: socket.socket,
        previous_handler: connection_handler.ConnectionHandler,
    ):
        self._hub = hub
        self._sock = sock
        self._previous_handler = previous_handler
        self._timer = timers.call_later(LINGER_SECONDS, self._close)
        hub.set_handler(sock, self)
        hub.shutdown_sending(sock)

    @property
    def flushes_on_eof(self) -> bool:
        """Whether buffered bytes are still sent after the peer's EOF."""
        return True

    @property
    def discards_input(self) -> bool:
        """True: the bytes are read so that closing does not reset."""
        return True

    def unsent_discarded(self, unsent: int) -> None:
        """Pass the event to the previous handler."""
        self._previous_handler.unsent_discarded(unsent)

    def ended(self, end: connection_end.ConnectionEnd) -> None:
        """Pass the event to the previous handler."""
        self._timer.cancel()
        self._previous_handler.ended(end)

    def _close(self) -> None:
        """Close once the response has been sent."""
        self._hub.close_when_sent(self._sock)
