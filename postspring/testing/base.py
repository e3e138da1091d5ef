"""What all stand-ins share: one loop, one HTTP server, faults."""

from collections.abc import Callable
import json
import signal
from typing import Any

from circuits import BaseComponent
from circuits.core import pollers
from circuits import handler

from postspring import transport
from postspring import web

__all__ = ["StandIn", "run_until_signal"]


class StandIn(BaseComponent):
    """An HTTP program with routes and faults that a test can set.

    Explanation
    ===========

    ``POST /faults`` with a JSON object replaces the faults; ``GET /faults``
    reads them.  What each fault does is up to the stand-in, but for these:
    ``down`` answers 503 to everything else, and ``silent`` answers nothing.

    Parameters
    ==========

    bind : tuple of (str, int)
        IP number and port to listen on.
    """

    channel = "stand-in"
    router: web.Router

    def __init__(self, bind: tuple[str, int]):
        super().__init__()
        self.faults: dict[str, Any] = {}
        pollers.EPoll().register(self)
        self.timers = transport.Timers().register(self)
        limits = web.WebLimits(body=64 * 1024 * 1024)
        self.web = web.WebServer(
            bind, self._handle, self.timers, limits
        ).register(self)

    @property
    def address(self) -> str:
        """``ip:port`` that it listens on."""
        host, port = self.web.address
        return f"{host}:{port}"

    def _handle(self, request: web.IncomingRequest) -> None:
        if request.path == "/faults":
            self._handle_faults(request)
            return
        if self.faults.get("silent"):
            return
        if self.faults.get("down"):
            request.respond_json(503, {"error": "down"})
            return
        found = self.router.find(request.method, request.path)
        if found is None:
            request.respond_json(404, {"error": "not found"})
            return
        function, arguments = found
        function(self, request, **arguments)

    def _handle_faults(self, request: web.IncomingRequest) -> None:
        if request.method == "POST":
            self.faults = json.loads(request.body)
            self.faults_changed()
        request.respond_json(200, self.faults)

    def faults_changed(self) -> None:
        """Take note that a test has set other faults."""

    def later(self, fault: str, function: Callable, *arguments: Any) -> None:
        """Call a function after the delay that a fault asks for, if any."""
        seconds = float(self.faults.get(fault, 0))
        if seconds:
            self.timers.call_later(seconds, function, *arguments)
        else:
            function(*arguments)

    def take_fault(self, fault: str) -> bool:
        """Count a fault that is set for a number of times; tell if it was."""
        left = int(self.faults.get(fault, 0))
        if left <= 0:
            return False
        self.faults[fault] = left - 1
        return True


class _Signals(BaseComponent):
    """Stops the loop at once: a stand-in has nothing to finish."""

    @handler("signal", channel="*")
    def _on_signal(self, number, stack):
        if number in (signal.SIGTERM, signal.SIGINT):
            raise SystemExit(0)


def run_until_signal(stand_in: StandIn) -> None:
    """Run a stand-in in this process until it is told to stop."""
    _Signals().register(stand_in)
    print(stand_in.address, flush=True)
    stand_in.run()
