"""A sliding window over granted permits."""

from collections.abc import Iterable
import heapq

__all__ = ["SlidingWindow"]


class SlidingWindow:
    """Counts the permits of the last seconds; methods take the time.

    Permits that other VMs granted are added when they are reported, in any
    order.

    Parameters
    ==========

    span : float
        Seconds for which a permit counts.

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
        """Add permits with the times at which they were granted."""
        for at in times:
            heapq.heappush(self._times, at)

    def remove_newest(self) -> None:
        """Remove the newest permit, as its request did not run."""
        if self._times:
            self._times.remove(max(self._times))
            heapq.heapify(self._times)

    def count(self, now: float) -> int:
        """Return the number of permits granted in the span before ``now``."""
        while self._times and self._times[0] <= now - self.span:
            heapq.heappop(self._times)
        return len(self._times)

    def seconds_until(self, below: float, now: float) -> float:
        """Return the seconds until fewer than ``below`` permits count.

        Assumes that no permit is added meanwhile.
        """
        excess = self.count(now) - below
        if excess < 0:
            return 0.0
        count_to_expire = int(excess) + 1
        if count_to_expire > len(self._times):
            return self.span
        last_to_expire = heapq.nsmallest(count_to_expire, self._times)[-1]
        return max(0.0, last_to_expire + self.span - now)
