"""Virtual time, and processes that can die and freeze."""

from collections.abc import Callable
import heapq
import itertools

from postspring import transport

__all__ = ["VirtualClock", "VirtualProcess", "VirtualTimers"]


class VirtualClock:
    """Events in the order of their virtual time."""

    def __init__(self):
        self.now = 1000.0
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._tie_break = itertools.count()

    def call_later(
        self, seconds: float, function: Callable, *arguments
    ) -> None:
        """Call a function at a later virtual time."""
        due = self.now + max(0.0, seconds)
        entry = (due, next(self._tie_break), function, arguments)
        heapq.heappush(self._heap, entry)

    def run_until(self, check: Callable[[], bool], seconds: float) -> bool:
        """Let time go by until something holds; return whether it does."""
        deadline = self.now + seconds
        while not check():
            if not self._heap or self._heap[0][0] > deadline:
                self.now = deadline
                return check()
            due, _, function, arguments = heapq.heappop(self._heap)
            self.now = due
            function(*arguments)
        return True

    def run_for(self, seconds: float) -> None:
        """Let that much time go by."""
        self.run_until(lambda: False, seconds)


class VirtualProcess:
    """A process: what reaches it waits while it is frozen."""

    def __init__(self, name: str):
        self.name = name
        self.alive = True
        self.frozen = False
        self._inbox: list[tuple[Callable, tuple]] = []

    def deliver(self, function: Callable, *arguments) -> None:
        """Run a function in the process, now or when it thaws."""
        if not self.alive:
            return
        if self.frozen:
            self._inbox.append((function, arguments))
        else:
            function(*arguments)

    def freeze(self) -> None:
        """Stop the process where it is."""
        self.frozen = True

    def thaw(self) -> None:
        """Let it go on with all that reached it meanwhile."""
        self.frozen = False
        inbox = self._inbox
        self._inbox = []
        for function, arguments in inbox:
            self.deliver(function, *arguments)

    def kill(self) -> None:
        """End it, with all that it kept in memory."""
        self.alive = False
        self.frozen = False
        self._inbox.clear()


class VirtualTimers:
    """The timers of one process, on the virtual clock."""

    def __init__(self, clock: VirtualClock, process: VirtualProcess):
        self._clock = clock
        self._process = process

    def now(self) -> float:
        """Return the virtual time."""
        return self._clock.now

    def call_later(
        self, seconds: float, function: Callable, *arguments
    ) -> transport.TimerHandle:
        """Call ``function(*arguments)`` once, ``seconds`` from now."""
        handle = transport.TimerHandle(function, arguments)
        self._clock.call_later(
            seconds, self._process.deliver, self._run, handle
        )
        return handle

    def call_every(
        self, seconds: float, function: Callable
    ) -> transport.TimerHandle:
        """Call ``function()`` again and again, that many seconds apart."""
        repeated = transport.TimerHandle(function, ())

        def repeat() -> None:
            if repeated.function is None:
                return
            self.call_later(seconds, repeat)
            repeated.function()

        self.call_later(seconds, repeat)
        return repeated

    @staticmethod
    def _run(handle: transport.TimerHandle) -> None:
        if handle.function is not None:
            handle.function(*handle.arguments)
