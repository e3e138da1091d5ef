"""The callers' edge of a front VM alone: a server and its stop.

Real sockets, with a clock that a test sets: a machine that is busy, or a
process that is paused, is one for which time has passed and whose loop has
not turned.
"""

from collections.abc import Callable
import time
import types
from unittest import mock

from circuits import BaseComponent
from circuits.core import pollers

from postspring.front import shutdown
from postspring.testing.fleet import caller as caller_module
from postspring import transport
from postspring.transport import timers as timers_module

__all__ = ["CallersEdge"]

MAX_TURNS = 4000
GRACE_SECONDS = 8.0


class CallersEdge(BaseComponent):
    """One loop with a server for callers, turned by hand.

    Parameters
    ==========

    application : callable, optional
        Takes each call; without it calls are kept in ``calls``.
    options : dict
        Further arguments of the server.

    Attributes
    ==========

    stopped : bool
        Whether the process would have ended by now.
    """

    channel = "edge"

    def __init__(
        self,
        application: Callable[[transport.IncomingCall], None] | None = None,
        **options,
    ):
        super().__init__()
        pollers.EPoll().register(self)
        self.timers = transport.Timers().register(self)
        self.calls: list[transport.IncomingCall] = []
        self.limits = transport.ServerLimits()
        self.callers = transport.HttpServer(
            self.timers,
            application or self.calls.append,
            self.limits,
            **options,
        )
        self.callers.listen(self, ("127.0.0.1", 0))
        self.is_recorded = True
        self.stopped = False
        self.shutdown = shutdown.Shutdown(
            self.timers,
            self.callers,
            GRACE_SECONDS,
            lambda: self.is_recorded,
            self._end,
            lambda: int(not self.is_recorded),
        )
        self._connected: list[caller_module.Caller] = []
        self._late = 0.0
        self._frozen_at: float | None = None
        clock = types.SimpleNamespace(monotonic=self._read_clock)
        self._clock = mock.patch.object(timers_module, "time", clock)
        self._clock.start()
        self._running = True
        self.run_loop()
        # A server that listens no more has none.
        self._address = self.callers.address

    def connect(self) -> caller_module.Caller:
        """Connect a caller; the server has yet to accept it."""
        caller = caller_module.Caller(self._address)
        self._connected.append(caller)
        return caller

    def ask(self, caller: caller_module.Caller, body: bytes = b"") -> None:
        """Send a request; the server has yet to read it."""
        caller.send("POST" if body else "GET", "/", {"Host": "a"}, body)

    def pass_time(self, seconds: float) -> None:
        """Let time pass in which the process does not run."""
        self._late += seconds

    def freeze(self) -> None:
        """Let time pass by :meth:`pass_time` alone from now on."""
        self._frozen_at = time.monotonic()

    def run_loop(self, count: int = 5) -> None:
        """Turn the loop some times."""
        for _ in range(count):
            if self.stopped:
                return
            self.tick(timeout=0.001)

    def run_loop_until(self, check: Callable[[], bool]) -> None:
        """Turn the loop, and let callers read, until something holds."""
        for _ in range(MAX_TURNS):
            if check():
                return
            self.run_loop(1)
            for caller in self._connected:
                caller.poll()
        raise AssertionError("the loop was turned in vain")

    def close(self) -> None:
        """Close every connection."""
        self._clock.stop()
        for caller in self._connected:
            caller.close()
        self._close_sockets()

    def _read_clock(self) -> float:
        now = self._frozen_at
        return (time.monotonic() if now is None else now) + self._late

    def _end(self) -> None:
        """Do what the kernel does when the process ends."""
        self.stopped = True
        self._close_sockets()

    def _close_sockets(self) -> None:
        hub = self.callers.hub
        for sock in hub._clients:
            sock.close()
        if hub._sock is not None:
            hub._sock.close()
