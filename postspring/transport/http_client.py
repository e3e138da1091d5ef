"""HTTP/1.1 client: exchanges on new connections and on kept ones."""

import math
import socket

import h11

from postspring.transport import exchange as exchange_module
from postspring.transport import exchange_observer
from postspring.transport import http_messages
from postspring.transport import kept_connections
from postspring.transport import response_memory
from postspring.transport import sockets
from postspring.transport import timers

__all__ = ["HttpClient"]

MAX_IDLE_PER_ADDRESS = 8


class HttpClient:
    """Sends requests and reuses connections where that is safe.

    Parameters
    ==========

    hub : SocketHub
        Opens and carries the connections.
    timers : Timers
        For timeouts of requests and idle connections.
    memory_bytes : float
        Most bytes to hold of unfinished responses to requests with a
        ``max_response_bytes``; above it, reading pauses.
    """

    def __init__(
        self,
        hub: sockets.SocketHub,
        timers: timers.Timers,
        memory_bytes: float = math.inf,
    ):
        self.hub = hub
        self.timers = timers
        hub.shortage.reclaimers.append(self.close_oldest_idle)
        self.memory = response_memory.ResponseMemory(memory_bytes)
        self.connections_opened = 0
        self.observer = exchange_observer.ExchangeObserver()
        # Exchanges with ``silent_after`` that were sent and have not received
        # a byte of a response.
        self.awaiting_response: dict[exchange_module.Exchange, None] = {}
        self._idle_by_address: dict[
            tuple, list[kept_connections.KeptConnection]
        ] = {}

    def send(
        self,
        request: http_messages.HttpRequest,
        listener: http_messages.HttpListener,
    ) -> exchange_module.Exchange:
        """Send a request; the listener gets the response or the failure."""
        exchange = exchange_module.Exchange(self, request, listener)
        idle = self._acquire_idle(request)
        self.observer.started(exchange, idle is not None)
        if idle is not None:
            self.hub.set_handler(idle.sock, exchange)
            exchange.attach(idle.sock, idle.connection, reused=True)
        else:
            self.connect(exchange)
        return exchange

    def _acquire_idle(
        self, request: http_messages.HttpRequest
    ) -> "kept_connections.KeptConnection | None":
        for exchange in list(self.awaiting_response):
            waited = self.timers.now() - exchange.sent_at
            if waited >= exchange.request.silent_after:
                self.close_older_idle(exchange)
        idle = self._idle_by_address.get(request.address)
        if not idle or request.fresh:
            return None
        newest = idle[-1]
        now = self.timers.now()
        if (
            now > newest.reusable_until
            or now - newest.idle_since > request.max_idle
        ):
            return None
        idle.pop()
        newest.expiry.cancel()
        return newest

    def close_idle_connections(self, address: tuple[str, int]) -> None:
        """Close all idle connections to an address."""
        for idle in list(self._idle_by_address.pop(address, ())):
            idle.expiry.cancel()
            self.hub.close_when_sent(idle.sock)

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle longest, if there is one."""
        oldest = [idle[0] for idle in self._idle_by_address.values() if idle]
        if not oldest:
            return False
        kept = min(oldest, key=lambda item: item.idle_since)
        self.hub.close_when_sent(kept.sock)
        return True

    def close_older_idle(self, silent: exchange_module.Exchange) -> None:
        """Close connections that were idle before an unanswered request.

        All open connections can stop responding at once, without a reset,
        while new ones work; each reuse of one would cost another request
        its timeout.
        """
        address = silent.request.address
        for idle in list(self._idle_by_address.get(address, ())):
            if idle.idle_since <= silent.sent_at:
                idle.expiry.cancel()
                self.remove_idle(address, idle.sock)
                self.hub.close_when_sent(idle.sock)

    def connect(self, exchange: exchange_module.Exchange) -> None:
        """Open a new connection for the exchange."""

        self.connections_opened += 1

        def on_open(sock: socket.socket) -> exchange_module.Exchange:
            return exchange.attach(
                sock, kept_connections.new_connection(), reused=False
            )

        request = exchange.request
        self.hub.open(
            request.address,
            request.connect_timeout,
            on_open,
            exchange.connect_failed,
        )

    def keep_idle(
        self,
        address: tuple[str, int],
        sock: socket.socket | None,
        connection: h11.Connection,
        headers: dict[str, str],
    ) -> None:
        """Keep the connection of a completed exchange if it is reusable."""
        if sock is None:
            return
        if self.hub.has_unsent(sock):
            # The server has responded before it read the whole request.
            self.hub.close_now(sock)
            return
        idle = self._idle_by_address.setdefault(address, [])
        seconds = kept_connections.max_idle_seconds(headers)
        if len(idle) >= MAX_IDLE_PER_ADDRESS or not kept_connections.may_reuse(
            connection
        ):
            seconds = 0.0
        if seconds <= 0:
            self.hub.close_when_sent(sock)
            return
        connection.start_next_cycle()
        kept = kept_connections.KeptConnection(
            self, address, sock, connection, seconds
        )
        idle.append(kept)
        self.hub.set_handler(sock, kept)

    def remove_idle(self, address, sock) -> None:
        """Remove a connection from the idle ones of its address."""
        idle = self._idle_by_address.get(address, [])
        idle[:] = [item for item in idle if item.sock is not sock]
