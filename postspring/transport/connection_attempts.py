"""Outgoing connections that are being established, and their errors."""

import errno

from postspring import errors

__all__ = ["PendingConnection", "connect_error", "error_name"]


class PendingConnection:
    """An outgoing connection whose TCP handshake is not complete.

    Parameters
    ==========

    on_open, on_error : callable
        See :meth:`ConnectingHub.open`.
    deadline : TimerHandle
        Timer that fails the attempt.
    """

    __slots__ = ("address", "on_open", "on_error", "deadline")

    def __init__(self, address, on_open, on_error, deadline):
        self.address = address
        self.on_open = on_open
        self.on_error = on_error
        self.deadline = deadline


def connect_error(
    address: tuple[str, int], reason: str
) -> errors.TransportError:
    """Return the error for a connection that could not be established."""
    host, port = address
    return errors.TransportError(
        f"connect to {host}:{port}: {reason}",
        sent=False,
        is_unreachable=reason in ("timeout", "ETIMEDOUT", "EHOSTUNREACH"),
        is_refused=reason in ("refused", "ECONNREFUSED"),
    )


def error_name(error: Exception) -> str:
    """Return the symbolic errno of an error, or its text without one.

    Examples
    --------
    >>> error_name(OSError(errno.EMFILE, "Too many open files"))
    'EMFILE'
    >>> error_name(OverflowError("port must be 0-65535"))
    'port must be 0-65535'
    """
    number = getattr(error, "errno", None)
    return errno.errorcode.get(number, str(error))
