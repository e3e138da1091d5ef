"""A batching model engine in virtual time.

What matters for placement, and no more: slots, a queue in order of urgency
and then of arrival, prompts read in chunks between the tokens of the others,
and memory that keeps what was read until something newer needs the room.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools

from postspring.testing.virtual import clock as clock_module

__all__ = ["BatchingEngine", "EngineShape", "Job"]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineShape:
    """The traits of an engine; times in seconds, memory in tokens.

    Parameters
    ==========

    step : float
        One token of every running request.
    tokens_per_second : float
        How fast prompts are read.
    chunk : int
        Prompt tokens that one step reads at most.
    queue : int
        Requests that wait at most; further ones are refused.
    obeys_urgency : bool
        More urgent requests are admitted first and preempt others.
    """

    slots: int = 8
    step: float = 0.00337
    tokens_per_second: float = 61_200.0
    chunk: int = 2048
    memory: int = 70_731
    queue: int = 24
    obeys_urgency: bool = True


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One request.

    Parameters
    ==========

    parts : tuple of (str, int)
        Id and tokens of each part of the prompt, in order.
    first_event : int
        Tokens after which the first event is sent.
    on_event : callable
        Called at each further event; events have as many tokens as the
        first one, the last one may have fewer.
    urgency : int
        0 comes first; 5 is that of requests that state none.
    arrival : int
        Orders requests of the same urgency.
    """

    parts: tuple[tuple[str, int], ...]
    output: int
    first_event: int
    on_first: Callable[[], None]
    on_done: Callable[[], None]
    on_event: Callable[[], None] = lambda: None
    urgency: int = 5
    arrival: int = 0
    unread: int = 0
    generated: int = 0

    @property
    def tokens(self) -> int:
        """Tokens that it needs memory for."""
        return sum(tokens for _, tokens in self.parts) + self.output

    @property
    def order(self) -> tuple[int, int]:
        """Position among the waiting requests; the least comes first."""
        return self.urgency, self.arrival

    def __lt__(self, other: "Job") -> bool:
        return self.order < other.order


class BatchingEngine:
    """Runs jobs; :meth:`offer` returns False where the queue is full.

    Parameters
    ==========

    slowness : callable
        Returns how many times as slow as its shape the engine is at a time.
    """

    def __init__(
        self,
        clock: clock_module.VirtualClock,
        shape: EngineShape,
        slowness: Callable[[float], float] = lambda now: 1.0,
    ):
        self._clock = clock
        self._slowness = slowness
        self._shape = shape
        self._waiting: list[Job] = []
        self._arrivals = itertools.count()
        self._running: list[Job] = []
        self._kept: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._kept_tokens = 0
        self._turning = False
        self.read_tokens = 0
        self.turned_away = 0
        self.preempted = 0

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return len(self._running) + len(self._waiting)

    def offer(self, job: Job) -> bool:
        """Take a job, or refuse it."""
        if len(self._waiting) >= self._shape.queue:
            self.turned_away += 1
            return False
        job.arrival = next(self._arrivals)
        if not self._shape.obeys_urgency:
            job.urgency = 0
        heapq.heappush(self._waiting, job)
        if not self._turning:
            self._turning = True
            self._clock.call_later(0.0, self._turn)
        return True

    def drop_all(self) -> None:
        """Drop all requests, as their connections are gone."""
        self._waiting.clear()
        self._running.clear()

    def _turn(self) -> None:
        shape = self._shape
        self._preempt()
        while self._waiting and len(self._running) < shape.slots:
            self._admit(heapq.heappop(self._waiting))
        if not self._running:
            self._turning = False
            return
        budget = shape.chunk
        done = []
        started = []
        progressed = []
        for job in self._running:
            if job.unread:
                read = min(budget, job.unread)
                job.unread -= read
                budget -= read
                continue
            job.generated += 1
            if job.generated == min(job.first_event, job.output):
                started.append(job)
            elif (
                job.generated % job.first_event == 0
                or job.generated >= job.output
            ):
                progressed.append(job)
            if job.generated >= job.output:
                done.append(job)
        seconds = shape.step + (shape.chunk - budget) / shape.tokens_per_second
        seconds *= self._slowness(self._clock.now)
        self._clock.call_later(
            seconds, self._stepped, started, progressed, done
        )

    def _preempt(self) -> None:
        """Put running requests back for waiting ones that are more urgent."""
        while self._waiting and len(self._running) >= self._shape.slots:
            last = max(self._running)
            if self._waiting[0].urgency >= last.urgency:
                return
            self._running.remove(last)
            heapq.heappush(self._waiting, last)
            self.preempted += 1
            self._admit(heapq.heappop(self._waiting))

    def _stepped(
        self, started: list[Job], progressed: list[Job], done: list[Job]
    ) -> None:
        # Requests may have been dropped during the step.
        started = [job for job in started if job in self._running]
        progressed = [job for job in progressed if job in self._running]
        done = [job for job in done if job in self._running]
        for job in started:
            job.on_first()
        for job in progressed:
            job.on_event()
        for job in done:
            self._running.remove(job)
            self._keep(job)
        for job in done:
            job.on_done()
        self._turn()

    def _admit(self, job: Job) -> None:
        kept = True
        # A preempted request reads again what it has generated.
        job.unread = job.generated
        for part, tokens in job.parts:
            kept = kept and part in self._kept
            if not kept:
                job.unread += tokens
        self.read_tokens += job.unread
        self._running.append(job)

    def _keep(self, job: Job) -> None:
        for part, tokens in reversed(job.parts):
            if part in self._kept:
                self._kept.move_to_end(part)
            else:
                self._kept[part] = tokens
                self._kept_tokens += tokens
        running = sum(job.tokens for job in self._running)
        while self._kept and self._kept_tokens + running > self._shape.memory:
            _, tokens = self._kept.popitem(last=False)
            self._kept_tokens -= tokens
