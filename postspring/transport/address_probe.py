"""Finds out whether a process listens at an address."""

from collections.abc import Callable
import functools
import socket

from postspring import errors
from postspring.transport import connection_handler
from postspring.transport import sockets
from postspring.transport import timers as timers_module

__all__ = ["probe_address"]

# An address in the same network answers within some ms.
PROBE_TIMEOUT_SECONDS = 0.05


def probe_address(
    hub: sockets.SocketHub,
    timers: timers_module.Timers,
    address: tuple[str, int],
    on_result: Callable[[bool], None],
) -> None:
    """Open a connection and close it.

    Parameters
    ----------
    on_result : callable
        Called with whether the connection was refused.
    """

    def opened(sock: socket.socket) -> connection_handler.ConnectionHandler:
        timers.call_later(0, hub.close_now, sock)
        on_result(False)
        return connection_handler.ConnectionHandler()

    hub.open(
        address,
        PROBE_TIMEOUT_SECONDS,
        opened,
        functools.partial(_report_error, on_result),
    )


def _report_error(
    on_result: Callable[[bool], None], error: errors.TransportError
) -> None:
    on_result(error.is_refused)
