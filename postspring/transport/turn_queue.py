"""Spreads long work over turns of the event loop."""

import collections
from collections.abc import Callable

from postspring.transport import timers as timers_module

__all__ = ["TurnQueue"]

# Longest work in one turn, in seconds: other connections wait for it.
TURN_SECONDS = 0.005
# Sockets are polled meanwhile.
PAUSE_SECONDS = 0.001


class TurnQueue:
    """Calls functions in the order in which they were added.

    Each function does a small part of its work and adds itself again if there
    is more.
    """

    def __init__(self, timers: timers_module.Timers):
        self._timers = timers
        self._waiting: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        self._is_scheduled = False

    def add(self, function: Callable[[], None]) -> None:
        """Call a function in one of the next turns."""
        self._waiting.append(function)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._timers.call_later(PAUSE_SECONDS, self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        until = self._timers.now() + TURN_SECONDS
        while self._waiting and self._timers.now() < until:
            self._waiting.popleft()()
        if self._waiting:
            self._schedule()
