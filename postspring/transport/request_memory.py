"""Bounds the bytes of requests that a server holds at the same time."""

from collections.abc import Callable
import logging

__all__ = ["RETRY_AFTER_SECONDS", "RequestMemory", "Reservation"]

LOG = logging.getLogger(__name__)
# After a rejection: a few long requests are sent on and answered in this time.
RETRY_AFTER_SECONDS = 0.5
# Shorter requests are not counted, so that long ones can't keep them out.
MIN_COUNTED_BYTES = 64 * 1024


class RequestMemory:
    """Counts the bodies of requests that are received or being served.

    Parameters
    ==========

    limit : callable
        Returns the most bytes to hold; a request that is larger is accepted
        while there is no other.

    Attributes
    ==========

    used : int
        Bytes reserved.

    Examples
    ========

    >>> memory = RequestMemory(lambda: 1_000_000)
    >>> first, second = memory.reserve(), memory.reserve()
    >>> first.grow_to(700_000), second.grow_to(400_000), second.grow_to(1000)
    (True, False, True)
    >>> del first
    >>> second.grow_to(1_100_000), memory.used
    (True, 1100000)
    """

    def __init__(self, limit: Callable[[], int]):
        self._limit = limit
        self.used = 0

    def reserve(self) -> "Reservation":
        """Return an empty reservation."""
        return Reservation(self)

    def has_room(self, reserved: int, size: int) -> bool:
        """Return whether a reservation of some bytes may grow to ``size``."""
        others = self.used - reserved
        return not others or others + size <= self._limit()


class Reservation:
    """Bytes that are counted until this object is freed."""

    __slots__ = ("_memory", "_size")

    def __init__(self, memory: RequestMemory):
        self._memory = memory
        self._size = 0

    def grow_to(self, size: int) -> bool:
        """Reserve ``size`` bytes in all; return whether there is room."""
        if size <= max(self._size, MIN_COUNTED_BYTES):
            return True
        if not self._memory.has_room(self._size, size):
            LOG.info(
                "no memory for another long request",
                extra={"bytes": size, "reserved": self._memory.used},
            )
            return False
        self._memory.used += size - self._size
        self._size = size
        return True

    def __del__(self):
        self._memory.used -= self._size
