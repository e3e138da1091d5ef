"""Idle client connections that are kept for reuse."""

import h11

from postspring.transport import connection_end
from postspring.transport import http_messages
from postspring.transport import response_limits
from postspring.transport import sockets

__all__ = [
    "KeptConnection",
    "max_idle_seconds",
    "may_reuse",
    "new_connection",
]

IDLE_SECONDS = 30.0
# A server that sends "Keep-Alive: timeout=N" closes after N whole seconds;
# the client closes this much earlier, so that no request meets that close.
KEEP_ALIVE_MARGIN_SECONDS = 0.5


class KeptConnection(sockets.ConnectionHandler):
    """Handler of an idle connection; any event makes it unusable."""

    def __init__(self, client, address, sock, connection, seconds):
        self.sock = sock
        self.connection = connection
        self.idle_since = client.timers.now()
        # Checked before reuse as well: after a pause of this process the
        # expiry timer is late, and the server has closed the connection.
        self.reusable_until = self.idle_since + seconds
        self.expiry = client.timers.call_later(
            seconds, client.hub.close_when_sent, sock
        )
        self._client = client
        self._address = address

    def received(self, data: bytes) -> None:
        """Close: no response is outstanding, so these bytes are invalid."""
        self._client.remove_idle(self._address, self.sock)
        self._client.hub.close_when_sent(self.sock)

    def ended(self, end: connection_end.ConnectionEnd) -> None:
        """Remove the connection from the client's idle ones."""
        self.expiry.cancel()
        self._client.remove_idle(self._address, self.sock)


def new_connection() -> h11.Connection:
    """Return the HTTP protocol state of a newly opened connection."""
    return h11.Connection(
        our_role=h11.CLIENT,
        max_incomplete_event_size=response_limits.MAX_HEADER_BYTES,
    )


def may_reuse(connection: h11.Connection) -> bool:
    """Return whether both sides are done and no data follows the response."""
    surplus, closed = connection.trailing_data
    return (
        connection.our_state is h11.DONE
        and connection.their_state is h11.DONE
        and not surplus
        and not closed
    )


def max_idle_seconds(headers: dict[str, str]) -> float:
    """Return how long the connection may be kept idle, in seconds.

    The default applies if the Keep-Alive timeout is not a number or has
    too many digits to be parsed.

    Examples
    --------
    >>> [
    ...     max_idle_seconds({"keep-alive": f"timeout={text}"})
    ...     for text in ("2", "\\xb2", "9" * 5000)
    ... ]
    [1.5, 30.0, 30.0]
    """
    for part in headers.get("keep-alive", "").split(","):
        name, _, value = part.strip().partition("=")
        seconds = http_messages.parse_integer(value)
        if name.lower() == "timeout" and seconds is not None:
            return min(IDLE_SECONDS, seconds - KEEP_ALIVE_MARGIN_SECONDS)
    return IDLE_SECONDS
