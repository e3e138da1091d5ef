"""A connection that is being opened."""

import errno

from postspring import errors

__all__ = ["Connecting", "connect_error", "name_of"]


class Connecting:
    """Who waits for it, and for how long."""

    __slots__ = ("address", "on_open", "on_error", "deadline")

    def __init__(self, address, on_open, on_error, deadline):
        self.address = address
        self.on_open = on_open
        self.on_error = on_error
        self.deadline = deadline


def connect_error(
    address: tuple[str, int], text: str
) -> errors.TransportError:
    """Return the error of a connection that did not open."""
    host, port = address
    return errors.TransportError(
        f"connect to {host}:{port}: {text}",
        sent=False,
        is_unreachable=text in ("timeout", "ETIMEDOUT", "EHOSTUNREACH"),
    )


def name_of(error: Exception) -> str:
    """Return the name of a system error, or what else is known.

    Examples
    --------
    >>> name_of(OSError(errno.EMFILE, "Too many open files"))
    'EMFILE'
    >>> name_of(OverflowError("port must be 0-65535"))
    'port must be 0-65535'
    """
    number = getattr(error, "errno", None)
    return errno.errorcode.get(number, str(error))
