"""Interface between a socket hub and the owner of a connection."""

from collections.abc import Callable
import logging

from postspring.transport import connection_end

__all__ = ["ConnectionHandler", "call_safely"]

LOG = logging.getLogger(__name__)


class ConnectionHandler:
    """Receives the events of one TCP connection; subclasses override them.

    Attributes
    ==========

    read_bytes : int
        Most bytes to read at once; 0 for as many as the hub reads otherwise.
    """

    read_bytes = 0

    def received(self, data: bytes) -> None:
        """Handle bytes that the peer sent."""

    @property
    def flushes_on_eof(self) -> bool:
        """Whether buffered bytes are still sent after the peer's EOF.

        True if nothing but those bytes remains to be sent.  If False, the
        hub closes the connection at the EOF and discards them.
        """
        return False

    @property
    def discards_input(self) -> bool:
        """Whether received bytes are discarded."""
        return False

    def drained(self) -> None:
        """Handle that the kernel has taken all buffered bytes."""

    @property
    def reads_after_break(self) -> bool:
        """Whether bytes that arrived before a reset are still received.

        False if they ask for something that nobody awaits any more.
        """
        return True

    def ended(self, end: connection_end.ConnectionEnd) -> None:
        """Handle the end of the connection; no other call follows."""

    def unsent_discarded(self, unsent: int) -> None:
        """Handle the loss of ``unsent`` buffered bytes.

        The hub calls :meth:`ended` right after this.
        """


def call_safely(function: Callable, *arguments):
    """Call a callback of a connection's owner; log and drop exceptions.

    An exception of one owner must not affect other connections.
    """
    try:
        return function(*arguments)
    except Exception:
        LOG.exception("connection callback raised an exception")
        return None
