"""A connection on which all is said, until the other side has it."""

import socket

from postspring.transport import connection_handler
from postspring.transport import sockets
from postspring.transport import timers as timers_module

__all__ = ["Lingering"]

# How long the other side may go on sending what nobody reads, in seconds:
# time for the answer to reach a caller that is busy sending, on a link
# that holds packets up for half a second.
LINGER_SECONDS = 2.0


class Lingering(connection_handler.ConnectionHandler):
    """Discards what comes, so that closing does not reset the connection.

    Explanation
    ===========

    Closing with unread bytes sends a reset, and a reset destroys what the
    other side has not read yet of the answer.  So we say that nothing more
    follows, and close when the other side has closed, or after a while.

    Parameters
    ==========

    before : ConnectionHandler
        Who had the connection; it is told of its end.
    """

    def __init__(
        self,
        hub: sockets.SocketHub,
        timers: timers_module.Timers,
        sock: socket.socket,
        before: connection_handler.ConnectionHandler,
    ):
        self._hub = hub
        self._sock = sock
        self._before = before
        self._timer = timers.call_later(LINGER_SECONDS, self._close)
        hub.adopt(sock, self)
        hub.end_sending(sock)

    @property
    def is_answered(self) -> bool:
        """Whether only bytes that wait to be sent are owed."""
        return True

    def left_unsent(self, unsent: int) -> None:
        """Pass it on."""
        self._before.left_unsent(unsent)

    def closed(self) -> None:
        """Pass the end on."""
        self._timer.cancel()
        self._before.closed()

    def _close(self) -> None:
        """Close once the answer has left."""
        self._hub.shut(self._sock)
