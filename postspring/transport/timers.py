"""Timers that call functions on the circuits event loop."""

from collections.abc import Callable
import heapq
import itertools
import logging
import math
import time

from circuits import BaseComponent
from circuits import handler

__all__ = ["TimerHandle", "Timers"]

LOG = logging.getLogger(__name__)

# Timers that are later than this wait until received data has been read.  It
# is a small fraction of the shortest timeout in use, 0.1 s.
LATENESS_TOLERANCE_SECONDS = 0.02
# A pause of the event loop above this is logged and counted: it delayed calls,
# in this process or in others that waited for it.
MIN_PAUSE_SECONDS = 0.25
# One poll of the sockets reads only a part of a long response.  After a pause,
# sockets are polled again as long as data arrives, for at most this long, in
# seconds; a response of a megabyte is read within a few ms.
CATCH_UP_SECONDS = 0.1
# Repeated calls at intervals up to this, in seconds, share wake-ups. At longer
# intervals a wake-up of its own costs little.
MAX_SHARED_INTERVAL_SECONDS = 1.0
# Rounding errors of a due time, as a share of its interval.
ROUNDING_SHARE = 1e-6


class TimerHandle:
    """A scheduled call; :meth:`cancel` prevents it."""

    __slots__ = ("function", "arguments")

    def __init__(self, function: Callable | None, arguments: tuple):
        self.function = function
        self.arguments = arguments

    def cancel(self) -> None:
        """Cancel the call; no effect if it was made already."""
        self.function = None
        self.arguments = ()


class Timers(BaseComponent):
    """All timers of a process in one heap.

    Explanation
    ===========

    circuits has a component per timer, and registering one rebuilds the
    event loop's table of handlers.  With several timeouts for each request
    that costs more than the request; here a timer costs a push on a heap.

    Timers run before sockets are polled.  After a pause of the process, all
    timeouts that passed meanwhile would fire although responses wait unread
    in the kernel, and live peers would count as unresponsive.  So late
    timers are deferred until the received data has been read.

    Attributes
    ==========

    has_read : bool
        Set by :class:`SocketHub` each time that it has read data.
    pauses : int
        How often the event loop paused for longer than callers notice.
    paused_seconds : float
        Total duration of these pauses.
    wake_ups : int
        How often calls were due: of a process without work, what it costs.
    """

    channel = "timers"

    def __init__(self):
        super().__init__()
        self._heap: list[tuple[float, int, TimerHandle]] = []
        self._tie_break = itertools.count()
        # Short intervals are counted from here.
        self._started_at = self.now()
        self._input_deadline: float | None = None
        self.has_read = False
        self.pauses = 0
        self.paused_seconds = 0.0
        self.wake_ups = 0

    @staticmethod
    def now() -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()

    def call_later(
        self, seconds: float, function: Callable, *arguments
    ) -> TimerHandle:
        """Call ``function(*arguments)`` once, ``seconds`` from now."""
        handle = TimerHandle(function, arguments)
        self._schedule(self.now() + seconds, handle)
        return handle

    def call_every(self, seconds: float, function: Callable) -> TimerHandle:
        """Call ``function()`` repeatedly, every ``seconds`` seconds.

        Short intervals are counted from a moment that is the same for all of
        them, so that the first call may come sooner.  A process that has
        nothing to do then wakes up once for all calls that are due.
        """
        handle = TimerHandle(function, ())

        def repeat() -> None:
            if handle.function is None:
                return
            schedule()
            handle.function()

        def schedule() -> None:
            due = self._next_due(seconds)
            self._schedule(due, TimerHandle(repeat, ()))

        schedule()
        return handle

    def _next_due(self, interval: float) -> float:
        time_now = self.now()
        if interval > MAX_SHARED_INTERVAL_SECONDS:
            return time_now + interval
        passed = (time_now - self._started_at) / interval
        count = math.floor(passed + ROUNDING_SHARE) + 1
        return self._started_at + count * interval

    def _schedule(self, due: float, handle: TimerHandle) -> None:
        heapq.heappush(self._heap, (due, next(self._tie_break), handle))

    @handler("generate_events", channel="*", priority=5)
    def _on_generate_events(self, event):
        heap = self._heap
        while heap and heap[0][2].function is None:
            heapq.heappop(heap)
        if not heap:
            return
        started_at = now()
        late = started_at - heap[0][0]
        if late < 0:
            self._input_deadline = None
            event.reduce_time_left(-late)
            return
        event.reduce_time_left(0)
        if late > LATENESS_TOLERANCE_SECONDS and self._should_read_first(
            started_at, late
        ):
            return
        self._input_deadline = None
        self.wake_ups += 1
        self._run_due(started_at + LATENESS_TOLERANCE_SECONDS)

    def _should_read_first(self, time_now: float, late: float) -> bool:
        """Return whether to poll the sockets before running late timers."""
        if self._input_deadline is None:
            self._input_deadline = time_now
            self.has_read = False
            if late > MIN_PAUSE_SECONDS:
                self._input_deadline += CATCH_UP_SECONDS
                self._record_pause(late)
            return True
        if not self.has_read or time_now > self._input_deadline:
            return False
        self.has_read = False
        return True

    def _record_pause(self, seconds: float) -> None:
        self.pauses += 1
        self.paused_seconds += seconds
        LOG.warning(
            "event loop was paused", extra={"seconds": round(seconds, 2)}
        )

    def _run_due(self, until: float) -> None:
        """Run due timers; those not started by ``until`` run later."""
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
            LOG.exception("timer callback raised an exception")


now = Timers.now
