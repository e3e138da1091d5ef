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

# Timers that are later than this wait for what has come meanwhile to be read:
# it is a small part of the shortest time that others are given, 0.1 s.
LATE_SECONDS = 0.02
# A loop that stood still for longer is worth a line to whoever is on call:
# calls in that time were late, here or elsewhere.
PAUSE_SECONDS = 0.25
# One look at the sockets reads a part of long answers.  After a pause more
# looks are taken while they find something, for this long at most, in
# seconds; a whole answer of a megabyte is read in some ms.
CATCH_UP_SECONDS = 0.1


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

    Timers run before the sockets are asked.  After a pause of the process
    all timeouts that passed meanwhile would fire while the answers to them
    lie in the kernel, and others would be taken for silent: so what is late
    waits until what has come is read.

    Attributes
    ==========

    has_read : bool
        Set by whoever reads sockets, each time that something came.
    pauses : int
        How often the loop stood still for longer than callers notice.
    paused_seconds : float
        How long in all.
    """

    channel = "timers"

    def __init__(self):
        super().__init__()
        self._heap: list[tuple[float, int, TimerHandle]] = []
        self._tie_break = itertools.count()
        self._reads_until: float | None = None
        self.has_read = False
        self.pauses = 0
        self.paused_seconds = 0.0

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
        while heap and heap[0][2].function is None:
            heapq.heappop(heap)
        if not heap:
            return
        began = now()
        late = began - heap[0][0]
        if late < 0:
            self._reads_until = None
            event.reduce_time_left(-late)
            return
        event.reduce_time_left(0)
        if late > LATE_SECONDS and self._reads_first(began, late):
            return
        self._reads_until = None
        self._run_due(began + LATE_SECONDS)

    def _reads_first(self, time_now: float, late: float) -> bool:
        """Whether the sockets are to be read before timers that are late."""
        if self._reads_until is None:
            self._reads_until = time_now
            self.has_read = False
            if late > PAUSE_SECONDS:
                self._reads_until += CATCH_UP_SECONDS
                self._note_pause(late)
            return True
        if not self.has_read or time_now > self._reads_until:
            return False
        self.has_read = False
        return True

    def _note_pause(self, seconds: float) -> None:
        self.pauses += 1
        self.paused_seconds += seconds
        LOG.warning("loop stood still", extra={"seconds": round(seconds, 2)})

    def _run_due(self, until: float) -> None:
        """Run what is due; what takes long leaves the rest for later."""
        heap = self._heap
        while heap:
            due, _tie, handle = heap[0]
            if handle.function is not None:
                time_now = now()
                if due > time_now or time_now > until:
                    return
            heapq.heappop(heap)
            if handle.function is not None:
                self._run(handle)

    def _run(self, handle: TimerHandle) -> None:
        try:
            handle.function(*handle.arguments)
        except Exception:
            LOG.exception("a timer's function failed")


now = Timers.now
