"""The store as a process, with delays and faults that a run sets."""

import json
import random

from circuits import BaseComponent
from circuits.core import pollers

from postspring.platform import names
from postspring.testing.fleet import store_service
from postspring.testing.soak import leaving
from postspring import transport

__all__ = ["SlowStore", "run_store"]

FAULTS_PATH = "/faults"
CONFIGURATION_PATH = "/put"
# An answer of the users' store, in seconds.
ANSWER_SECONDS = 0.004
# Shape of the delays' tail: one in forty is over five times the least.
TAIL_SHAPE = 2.3


class SlowStore(store_service.StoreService):
    """Delays each call; faults are set by a call on a port of its own.

    Explanation
    ===========

    ``slow`` multiplies the time of an answer; ``tail`` draws it from a
    distribution with a long tail, ``longest`` seconds at most.  ``refuse``,
    ``silent`` and ``lose_answers`` are those of the base.
    """

    def __init__(self, parent, timers, bind, control, seed: int):
        self.slow = 1.0
        self.tail = False
        self.longest = 2.0
        self._draw = random.Random(seed)
        super().__init__(parent, timers, bind)
        self._control = transport.HttpServer(
            timers, self._set, store_service.LIMITS
        )
        self._control.listen(parent, control, "store-control")

    def _handle(self, call: transport.IncomingCall) -> None:
        self.calls.clear()
        self._timers.call_later(self._delay(), super()._handle, call)

    def _delay(self) -> float:
        seconds = ANSWER_SECONDS * self.slow
        if self.tail:
            seconds *= self._draw.paretovariate(TAIL_SHAPE)
        return min(seconds, self.longest)

    def _set(self, call: transport.IncomingCall) -> None:
        body = json.loads(call.body)
        if call.target == CONFIGURATION_PATH:
            self.put(body["topic"], body["key"], body["value"])
        else:
            for name, value in body.items():
                setattr(self, name, value)
        call.respond(200, store_service.JSON_FIELDS, b"{}")


def run_store(address: tuple, control: tuple, seed: int) -> None:
    """Serve until the process is ended."""
    root = BaseComponent()
    pollers.EPoll().register(root)
    timers = transport.Timers().register(root)
    service = SlowStore(root, timers, address, control, seed)
    leaving.EntryLeases(timers, names.SERVERS_TOPIC, service).start()
    root.run()
