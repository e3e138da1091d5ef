"""What a caller's connection needs of its server."""

from typing import Any
from typing import Protocol

from postspring.transport import caller_memory
from postspring.transport import incoming
from postspring.transport import request_memory
from postspring.transport import sockets
from postspring.transport import timers as timers_module
from postspring.transport import turn_queue

__all__ = ["Server"]


class Server(Protocol):
    """Interface of a connection to its server."""

    hub: sockets.SocketHub
    timers: timers_module.Timers
    limits: incoming.ServerLimits
    closing: bool
    request_memory: request_memory.RequestMemory
    caller_memory: caller_memory.CallerMemory
    turn_queue: turn_queue.TurnQueue

    def report_rejected(self, status: int) -> None:
        """Report a request that could not be read, with its status."""

    def dispatch(self, call: incoming.IncomingCall) -> None:
        """Pass a request to the application."""

    def check_memory(self) -> None:
        """Check soon whether responses have to be discarded."""

    def remove_connection(self, connection: Any) -> None:
        """Remove a closed connection."""

    def report_interrupted(
        self,
        ended_by: incoming.EndedBy,
        call: incoming.IncomingCall | None,
        unsent: int = 0,
    ) -> None:
        """Report a connection that ended with an incomplete response."""
