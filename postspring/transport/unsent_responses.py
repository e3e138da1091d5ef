"""Bounds the response bytes that a server holds for callers that read slowly.

A caller whose machine answers but which does not read is slow: its responses
are kept, as they may be read late.  A caller whose machine does not answer is
dead: after a while nothing is kept for it.
"""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses
import enum
from typing import NamedTuple

from postspring.transport import send_windows

__all__ = ["Reason", "UnsentResponses", "Waiting"]

# A caller that acknowledges nothing for this long is dead, in seconds.  A
# network partition of some seconds ends before that.
DEAD_SECONDS = 30.0


class Reason(enum.Enum):
    """Why a connection with an unsent response is closed."""

    DEAD = "dead_caller"
    MEMORY = "unsent_bytes"


class Waiting(NamedTuple):
    """A connection with response bytes buffered in this process.

    Parameters
    ==========

    connection : object
        Identifies the connection.
    unsent : int
        Bytes buffered.
    state : SendState or None
        The kernel's state of sending; None if it is unavailable.
    """

    connection: Hashable
    unsent: int
    state: send_windows.SendState | None


@dataclasses.dataclass(slots=True)
class _Observation:
    """What was seen last, and when the caller last read or answered."""

    unsent: int
    progress_at: float
    alive_at: float


class UnsentResponses:
    """Decides which connections to close for what they have not read.

    Parameters
    ==========

    limit : callable
        Returns the most bytes to hold for all callers together.

    Examples
    ========

    >>> alive = send_windows.SendState(0, 0, 5)
    >>> dead = send_windows.SendState(4, 3, 5)
    >>> responses = UnsentResponses(lambda: 100)
    >>> first = [Waiting("a", 60, alive), Waiting("b", 30, dead)]
    >>> responses.to_close(first, 0.0)
    []
    >>> [(name, why.value) for name, why in responses.to_close(first, 31.0)]
    [('b', 'dead_caller')]
    >>> later = [Waiting("a", 60, alive), Waiting("c", 50, alive)]
    >>> [(name, why.value) for name, why in responses.to_close(later, 32.0)]
    [('a', 'unsent_bytes')]
    """

    def __init__(self, limit: Callable[[], int]):
        self._limit = limit
        self._seen: dict[Hashable, _Observation] = {}

    def to_close(
        self, waiting: Iterable[Waiting], now: float
    ) -> list[tuple[Hashable, Reason]]:
        """Return the connections to close, each with a :class:`Reason`.

        Above the limit, those that have read nothing for the longest time are
        closed, of several the one with the most bytes.
        """
        waiting = list(waiting)
        self._seen = {
            item.connection: self._observe(item, now) for item in waiting
        }
        dead = [
            item
            for item in waiting
            if now - self._seen[item.connection].alive_at > DEAD_SECONDS
        ]
        closed = [(item.connection, Reason.DEAD) for item in dead]
        kept = [item for item in waiting if item not in dead]
        total = sum(item.unsent for item in kept)
        kept.sort(key=self._time_without_progress, reverse=True)
        for item in kept:
            if total <= self._limit():
                break
            closed.append((item.connection, Reason.MEMORY))
            total -= item.unsent
        return closed

    def _observe(self, item: Waiting, now: float) -> _Observation:
        seen = self._seen.get(item.connection)
        if seen is None:
            return _Observation(item.unsent, now, now)
        if item.unsent < seen.unsent:
            seen.progress_at = seen.alive_at = now
        elif item.state is None or item.state.is_window_closed:
            # Without the kernel's state, no caller counts as dead.
            seen.alive_at = now
        seen.unsent = item.unsent
        return seen

    def _time_without_progress(self, item: Waiting) -> tuple[float, int]:
        return (-self._seen[item.connection].progress_at, item.unsent)
