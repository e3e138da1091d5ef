"""HTTP/1.1 server side: accepts, and hands each request on."""

from collections.abc import Callable
import logging
import socket

from postspring.transport import incoming
from postspring.transport import server_connection
from postspring.transport import sockets
from postspring.transport import timers as timers_module

__all__ = ["HttpServer"]

LOG = logging.getLogger(__name__)

# How often connections are checked for being idle or too slow, in seconds.
SWEEP_SECONDS = 0.5
# A connection that has been idle for this long may be given up for another
# caller, in seconds; one that was just opened is about to send its request.
SPARE_SECONDS = 1.0


class HttpServer:
    """Accepts connections and hands each request to an application.

    Parameters
    ==========

    hub : SocketHub
        A hub that listens; its ``on_accept`` has to be :meth:`accept`.
    timers : Timers
        For sweeping out idle and slow connections.
    application : callable
        Called with each :class:`~.incoming.IncomingCall`.
    limits : incoming.ServerLimits
        Bounds, read at each use.
    on_refused : callable, optional
        Called with the status of each request that could not be read.
    on_cut : callable, optional
        Called with a :class:`~.incoming.Cut` for each connection that ends
        with a request open or with unsent bytes.
    """

    def __init__(
        self,
        timers: timers_module.Timers,
        application: Callable[[incoming.IncomingCall], None],
        limits: incoming.ServerLimits,
        on_refused: Callable[[int], None] = lambda status: None,
        on_cut: Callable[[incoming.Cut], None] = lambda cut: None,
    ):
        self.hub: sockets.SocketHub | None = None
        self.timers = timers
        self.limits = limits
        self.closing = False
        self._application = application
        self._on_refused = on_refused
        self._on_cut = on_cut
        self._connections: dict[server_connection.ServerConnection, None] = {}

    def listen(
        self, parent, bind: tuple[str, int], channel: str = "http-server"
    ) -> None:
        """Listen on an IP number and port, on the parent's loop."""
        self.hub = sockets.SocketHub(
            self.timers, bind, self.accept, channel=channel
        ).register(parent)
        self.hub.has_room = self._has_room
        self.hub.shortage.reclaimers.append(self._give_up_idle)
        self.timers.call_every(SWEEP_SECONDS, self._sweep)

    @property
    def address(self) -> tuple[str, int]:
        """The IP number and port that it listens on."""
        return self.hub.host, self.hub.port

    @property
    def active(self) -> int:
        """Number of requests that are not answered yet."""
        return sum(1 for item in self._connections if item.call is not None)

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of answers that callers have not taken yet."""
        return self.hub.all_unsent_bytes

    @property
    def unread_count(self) -> int:
        """Number of connections of which the kernel holds bytes."""
        return self.hub.unread_count

    def accept(
        self, sock: socket.socket
    ) -> server_connection.ServerConnection | None:
        """Take a new connection, or refuse it if there are too many."""
        if len(self._connections) >= self.limits.connections:
            self._on_refused(503)
            return None
        connection = server_connection.ServerConnection(self, sock)
        self._connections[connection] = None
        return connection

    def forget(self, connection: server_connection.ServerConnection) -> None:
        """Drop a connection that is gone."""
        self._connections.pop(connection, None)

    def count_refusal(self, status: int) -> None:
        """Report a request that could not be read."""
        self._on_refused(status)

    def dispatch(self, call: incoming.IncomingCall) -> None:
        """Hand a request to the application."""
        try:
            self._application(call)
        except Exception:
            LOG.exception("a request's handler failed")
            call.respond(500, [])

    def report_cut(
        self,
        ended_by: incoming.EndedBy,
        call: incoming.IncomingCall | None,
        unsent: int = 0,
    ) -> None:
        """Report a connection that ends with something owed."""
        seconds = 0.0
        if call is not None:
            seconds = self.timers.now() - call.received_at
        self._on_cut(incoming.Cut(ended_by, call, unsent, seconds))

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def give_up(self) -> None:
        """Have every request answered now, whatever it waits for."""
        self.hub.accept_now()
        for connection in list(self._connections):
            connection.give_up()

    def close_all(self) -> None:
        """Close every connection, whatever is owed."""
        for connection in list(self._connections):
            connection.close()

    def refuse_new(self) -> None:
        """Accept what waits and no more; open connections go on."""
        self.hub.accept_now()
        self.hub.refuse_new()

    def _has_room(self) -> bool:
        bound = self.limits.connections
        return len(self._connections) < bound or self._give_up_idle()

    def _give_up_idle(self) -> bool:
        """Close the connection that was idle for longest; tell if it is."""
        latest = self.timers.now() - SPARE_SECONDS
        idle = [
            item
            for item in self._connections
            if item.call is None and not item.receiving and item.since < latest
        ]
        if not idle:
            return False
        oldest = min(idle, key=lambda item: item.since)
        oldest.close_if_idle()
        return oldest not in self._connections

    def _sweep(self) -> None:
        now = self.timers.now()
        for connection in list(self._connections):
            connection.close_if_overdue(now)
