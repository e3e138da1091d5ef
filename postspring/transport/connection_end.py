"""How a TCP connection ended."""

import enum
import errno

__all__ = ["ConnectionEnd"]


class ConnectionEnd(enum.Enum):
    """How a TCP connection ended.

    Explanation
    ===========

    Only ``EOF`` says that the peer has sent all that it meant to send.  After
    any other end, bytes may be missing.

    Examples
    ========

    >>> ConnectionEnd.of_error(OSError(errno.ECONNRESET, "reset"))
    <ConnectionEnd.RESET: 'reset'>
    >>> ConnectionEnd.of_error(OSError(errno.ETIMEDOUT, "timed out"))
    <ConnectionEnd.TIMED_OUT: 'timed_out'>
    """

    EOF = "eof"
    """The peer ended its sending, and all its bytes were received."""
    RESET = "reset"
    """The peer reset the connection, or the kernel reported an error."""
    TIMED_OUT = "timed_out"
    """The kernel gave up on bytes that the peer did not acknowledge."""
    LOCAL = "local"
    """This process closed the connection."""
    HANDLER_FAILED = "handler_failed"
    """This process closed it, as its handler raised an exception."""

    @classmethod
    def of_error(cls, error: OSError) -> "ConnectionEnd":
        """Return the end that a socket error stands for."""
        if error.errno == errno.ETIMEDOUT:
            return cls.TIMED_OUT
        return cls.RESET

    @property
    def is_break(self) -> bool:
        """Whether the connection failed."""
        return self in (ConnectionEnd.RESET, ConnectionEnd.TIMED_OUT)

    @property
    def is_remote(self) -> bool:
        """Whether the peer or the network ended the connection."""
        return self is ConnectionEnd.EOF or self.is_break
