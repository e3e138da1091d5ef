"""Timers: call a function later, on the circuits loop."""

from collections.abc import Callable
import heapq
import itertools
import logging
import time

from circuits import BaseComponent
from circuits import handler

__all__ = ["TimerHandle", "Timers"]

LOG = logging.getLogger(__name__)


class TimerHandle:
    """A call that is due later; :meth:`cancel` takes it back."""

    __slots__ = ("function", "arguments")

    def __init__(self, function: Callable | None, arguments: tuple):
        self.function = function
        self.arguments = arguments

    def cancel(self) -> None:
        """Don't make the call; harmless if it was made already."""
        self.function = None
        self.arguments = ()


class Timers(BaseComponent):
    """All timeouts of a process in one heap.

    Explanation
    ===========

    circuits has a component per timer, and registering one rebuilds the
    loop's table of handlers.  With several timeouts for each request that
    costs more than the request; here a timeout costs a push on a heap.
    """

    channel = "timers"

    def __init__(self):
        super().__init__()
        self._heap: list[tuple[float, int, TimerHandle]] = []
        self._tie_break = itertools.count()

    @staticmethod
    def now() -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def call_later(
        self, seconds: float, function: Callable, *arguments
    ) -> TimerHandle:
        """Call ``function(*arguments)`` once, ``seconds`` from now."""
        handle = TimerHandle(function, arguments)
        due = self.now() + seconds
        heapq.heappush(self._heap, (due, next(self._tie_break), handle))
        return handle

    def call_every(self, seconds: float, function: Callable) -> TimerHandle:
        """Call ``function()`` again and again, that many seconds apart."""
        repeated = TimerHandle(function, ())

        def repeat() -> None:
            if repeated.function is None:
                return
            self.call_later(seconds, repeat)
            repeated.function()

        self.call_later(seconds, repeat)
        return repeated

    @handler("generate_events", channel="*", priority=5)
    def _on_generate_events(self, event):
        heap = self._heap
        ran = False
        while heap and (heap[0][2].function is None or heap[0][0] <= now()):
            handle = heapq.heappop(heap)[2]
            if handle.function is not None:
                ran = True
                self._run(handle)
        if ran:
            event.reduce_time_left(0)
        elif heap:
            event.reduce_time_left(max(0.0, heap[0][0] - now()))

    def _run(self, handle: TimerHandle) -> None:
        try:
            handle.function(*handle.arguments)
        except Exception:
            LOG.exception("a timer's function failed")


now = Timers.now
