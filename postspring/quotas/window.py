"""A sliding window over what was granted."""

from collections.abc import Iterable
import heapq

__all__ = ["SlidingWindow"]


class SlidingWindow:
    """Counts permits of the last seconds; time is an argument.

    Permits of other dealers are added as they become known, in any order.

    Parameters
    ==========

    span : float
        Seconds after which a permit counts no more.

    Examples
    ========

    >>> window = SlidingWindow(span=5.0)
    >>> window.add([1.0, 2.0, 4.0])
    >>> window.count(now=6.5), window.seconds_until(below=2, now=6.5)
    (2, 0.5)
    >>> window.count(now=60.0), window.seconds_until(below=1, now=60.0)
    (0, 0.0)
    """

    def __init__(self, span: float):
        self.span = span
        self._times: list[float] = []

    def add(self, times: Iterable[float]) -> None:
        """Count permits that were granted at some moments."""
        for at in times:
            heapq.heappush(self._times, at)

    def remove_newest(self) -> None:
        """Take the newest permit out again: nothing ran by it."""
        if self._times:
            self._times.remove(max(self._times))
            heapq.heapify(self._times)

    def count(self, now: float) -> int:
        """Return how many were granted in the span before now."""
        while self._times and self._times[0] <= now - self.span:
            heapq.heappop(self._times)
        return len(self._times)

    def seconds_until(self, below: float, now: float) -> float:
        """Return when there are fewer than so many, if none is added."""
        leaving = self.count(now) - below
        if leaving < 0:
            return 0.0
        number = int(leaving) + 1
        if number > len(self._times):
            return self.span
        oldest = heapq.nsmallest(number, self._times)[-1]
        return max(0.0, oldest + self.span - now)
