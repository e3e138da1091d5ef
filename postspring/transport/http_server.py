"""HTTP/1.1 server: accepts connections and dispatches their requests."""

from collections.abc import Callable
import logging
import socket
import sys

from postspring.transport import caller_memory
from postspring.transport import incoming
from postspring.transport import request_memory
from postspring.transport import server_connection
from postspring.transport import sockets
from postspring.transport import timers as timers_module
from postspring.transport import turn_queue
from postspring.transport import unsent_responses

__all__ = ["HttpServer"]

LOG = logging.getLogger(__name__)

# Interval between checks for idle and slow connections.
SWEEP_INTERVAL_SECONDS = 0.5
# An idle connection may be closed in favour of another caller after this long;
# one that was just opened is about to send its request.
MIN_RECLAIM_IDLE_SECONDS = 1.0


class HttpServer:
    """Accepts connections and passes each request to an application.

    Parameters
    ==========

    timers : Timers
        For closing idle and slow connections.
    application : callable
        Called with each :class:`~.incoming.IncomingCall`.
    limits : incoming.ServerLimits
        Read at each use, so that changes take effect at once.
    on_rejected : callable, optional
        Called with the status of each request that could not be read, and
        with 503 for each connection above the limit.
    on_interrupted : callable, optional
        Called with a :class:`~.incoming.InterruptedResponse` for each
        connection that ends while a response is incomplete or partly unsent.

    Attributes
    ==========

    hub : SocketHub or None
        Carries the connections; created by :meth:`listen`.
    discarded_responses : int
        Number of connections closed for what their callers had not read.
    """

    def __init__(
        self,
        timers: timers_module.Timers,
        application: Callable[[incoming.IncomingCall], None],
        limits: incoming.ServerLimits,
        on_rejected: Callable[[int], None] = lambda status: None,
        on_interrupted: Callable[
            [incoming.InterruptedResponse], None
        ] = lambda cut: None,
    ):
        self.hub: sockets.SocketHub | None = None
        self.timers = timers
        self.limits = limits
        self.closing = False
        self.request_memory = request_memory.RequestMemory(
            lambda: self.limits.request_bytes or sys.maxsize
        )
        self.caller_memory = caller_memory.CallerMemory(
            lambda: self.limits.caller_bytes or sys.maxsize,
            lambda: self.unsent_bytes,
        )
        self.turn_queue = turn_queue.TurnQueue(timers)
        self.discarded_responses = 0
        self._is_check_scheduled = False
        self._application = application
        self._on_rejected = on_rejected
        self._on_interrupted = on_interrupted
        self._connections: dict[server_connection.ServerConnection, None] = {}
        self._unsent_responses = unsent_responses.UnsentResponses(
            lambda: self._unsent_limit
        )

    def listen(
        self,
        parent,
        bind: tuple[str, int] | socket.socket,
        channel: str = "http-server",
    ) -> None:
        """Listen on an address or an open listener, on the parent's loop."""
        self.hub = sockets.SocketHub(
            self.timers, bind, self.accept, channel=channel
        ).register(parent)
        self.hub.has_room = self._has_room
        self.hub.shortage.reclaimers.append(self._close_oldest_idle)
        self.timers.call_every(SWEEP_INTERVAL_SECONDS, self._sweep)

    @property
    def address(self) -> tuple[str, int]:
        """IP address and port of the listener."""
        return self.hub.host, self.hub.port

    @property
    def active(self) -> int:
        """Number of requests whose response is not complete."""
        return sum(1 for item in self._connections if item.call is not None)

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def unsent_bytes(self) -> int:
        """Number of response bytes that wait in buffers of this process."""
        return self.hub.all_unsent_bytes

    @property
    def unread_count(self) -> int:
        """Number of connections with unread bytes in the kernel."""
        return self.hub.unread_count

    def accept(
        self, sock: socket.socket
    ) -> server_connection.ServerConnection | None:
        """Create the handler of a new connection, or None at the limit."""
        if len(self._connections) >= self.limits.connections:
            self._on_rejected(503)
            return None
        connection = server_connection.ServerConnection(self, sock)
        self._connections[connection] = None
        return connection

    def remove_connection(
        self, connection: server_connection.ServerConnection
    ) -> None:
        """Remove a closed connection."""
        self._connections.pop(connection, None)

    def check_memory(self) -> None:
        """Discard unread responses soon if there are too many of them."""
        is_above = self.unsent_bytes > self._unsent_limit
        if is_above and not self._is_check_scheduled:
            self._is_check_scheduled = True
            self.timers.call_later(0, self._check_memory)

    def report_rejected(self, status: int) -> None:
        """Report a request that could not be read, with its status."""
        self._on_rejected(status)

    def dispatch(self, call: incoming.IncomingCall) -> None:
        """Pass a request to the application; answer 500 if that raises."""
        try:
            self._application(call)
        except Exception:
            LOG.exception("request handler raised an exception")
            call.respond(500, [])

    def report_interrupted(
        self,
        ended_by: incoming.EndedBy,
        call: incoming.IncomingCall | None,
        unsent: int = 0,
    ) -> None:
        """Report a connection that ended with an incomplete response."""
        seconds = 0.0
        if call is not None:
            seconds = self.timers.now() - call.received_at
        self._on_interrupted(
            incoming.InterruptedResponse(ended_by, call, unsent, seconds)
        )

    def close_idle(self) -> None:
        """Close the connections that have no open or incoming request."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def complete_now(self) -> None:
        """Complete open requests now, and reject partly received ones."""
        self.hub.accept_pending()
        for connection in list(self._connections):
            connection.complete_now()

    def close_all(self) -> None:
        """Close every connection and discard unsent bytes."""
        for connection in list(self._connections):
            connection.close()

    def stop_accepting(self) -> None:
        """Accept the waiting connections, then close the listener."""
        self.hub.accept_pending()
        self.hub.stop_accepting()

    def _has_room(self) -> bool:
        limit = self.limits.connections
        return len(self._connections) < limit or self._close_oldest_idle()

    def _close_oldest_idle(self) -> bool:
        """Close the longest idle connection; return whether it was closed."""
        latest = self.timers.now() - MIN_RECLAIM_IDLE_SECONDS
        idle = [
            item
            for item in self._connections
            if item.call is None
            and not item.is_receiving
            and item.state_since < latest
        ]
        if not idle:
            return False
        oldest = min(idle, key=lambda item: item.state_since)
        oldest.close_if_idle()
        return oldest not in self._connections

    def _sweep(self) -> None:
        now = self.timers.now()
        for connection in list(self._connections):
            connection.close_if_overdue(now)
        self._close_unread(now)

    @property
    def _unsent_limit(self) -> int:
        return min(
            self.limits.unsent_bytes or sys.maxsize,
            self.caller_memory.room_for_responses,
        )

    def _check_memory(self) -> None:
        self._is_check_scheduled = False
        self._close_unread(self.timers.now())

    def _close_unread(self, now: float) -> None:
        """Bound what is held for callers that don't read their responses."""
        waiting = [
            unsent_responses.Waiting(connection, unsent, state)
            for connection, (unsent, state) in (
                self.hub.unsent_by_handler().items()
            )
            if connection in self._connections
        ]
        closed = self._unsent_responses.to_close(waiting, now)
        for connection, reason in closed:
            LOG.warning(
                "unread response discarded", extra={"reason": reason.value}
            )
            self.discarded_responses += 1
            connection.close()
