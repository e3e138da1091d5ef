"""Connections that are kept for the next request."""

import h11

from postspring.transport import http_messages
from postspring.transport import sockets

__all__ = ["KeptConnection", "idle_seconds", "may_reuse", "new_connection"]

IDLE_SECONDS = 30.0
# A server that says "Keep-Alive: timeout=N" counts whole seconds; we close
# this much earlier, so that no request crosses its close.
KEEP_ALIVE_MARGIN_SECONDS = 0.5
MAX_HEADER_BYTES = 16 * 1024


class KeptConnection(sockets.ConnectionHandler):
    """A kept connection: whatever it says, it is not used again."""

    def __init__(self, client, address, sock, connection, seconds):
        self.sock = sock
        self.connection = connection
        self.since = client.timers.now()
        # Looked at before each use: after a pause of this process the timer
        # is late, and the other side has closed it.
        self.until = self.since + seconds
        self.expiry = client.timers.call_later(seconds, client.hub.shut, sock)
        self._client = client
        self._address = address

    def received(self, data: bytes) -> None:
        """Close: the other side may not speak now."""
        self._client.forget(self._address, self.sock)
        self._client.hub.shut(self.sock)

    def closed(self) -> None:
        """Forget the connection."""
        self.expiry.cancel()
        self._client.forget(self._address, self.sock)


def new_connection() -> h11.Connection:
    """Return the state of a connection that was just opened."""
    return h11.Connection(
        our_role=h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
    )


def may_reuse(connection: h11.Connection) -> bool:
    """Both sides are done, and nothing follows the answer."""
    surplus, closed = connection.trailing_data
    return (
        connection.our_state is h11.DONE
        and connection.their_state is h11.DONE
        and not surplus
        and not closed
    )


def idle_seconds(headers: dict[str, str]) -> float:
    """Return how long the connection may be kept idle, in seconds.

    A timeout that is no number says nothing; one with many digits is longer
    than any connection is kept.

    Examples
    --------
    >>> [
    ...     idle_seconds({"keep-alive": f"timeout={text}"})
    ...     for text in ("2", "\\xb2", "9" * 5000)
    ... ]
    [1.5, 30.0, 30.0]
    """
    for part in headers.get("keep-alive", "").split(","):
        name, _, value = part.strip().partition("=")
        seconds = http_messages.integer_in(value)
        if name.lower() == "timeout" and seconds is not None:
            return min(IDLE_SECONDS, seconds - KEEP_ALIVE_MARGIN_SECONDS)
    return IDLE_SECONDS
