"""Counts the memory that callers have a process hold, in whichever form."""

from collections.abc import Callable
import enum
import sys

__all__ = [
    "CALL_BYTES",
    "CONNECTION_BYTES",
    "FIELD_BYTES",
    "CallerMemory",
    "Holding",
    "MemoryUse",
]

# Objects of an open connection, of a request that is being served, and of
# each of its header fields, beside their own bytes.
CONNECTION_BYTES = 6 * 1024
CALL_BYTES = 16 * 1024
FIELD_BYTES = 512
# Share of the limit that unsent responses may take whatever else is held.
RESPONSE_SHARE = 0.125


class MemoryUse(enum.Enum):
    """What memory is held for; the value is the share of the limit.

    Complete requests may use all of it, so that callers who send requests in
    part or ahead of their turn can't keep others out.
    """

    AHEAD = 0.5
    PARTIAL = 0.75
    COMPLETE = 1.0


class CallerMemory:
    """The sum of what a process holds for callers.

    Parameters
    ==========

    limit : callable, optional
        Returns the most bytes to hold.
    unsent : callable, optional
        Returns the bytes of responses that wait to be sent.

    Attributes
    ==========

    held : int
        Bytes held, without unsent responses.

    Examples
    ========

    >>> memory = CallerMemory(lambda: 1000, lambda: 100)
    >>> holding = memory.hold()
    >>> holding.set(600)
    >>> memory.is_above(MemoryUse.AHEAD)
    True
    >>> memory.is_above(MemoryUse.PARTIAL)
    False
    >>> del holding
    >>> memory.held
    0
    """

    def __init__(
        self,
        limit: Callable[[], int] = lambda: sys.maxsize,
        unsent: Callable[[], int] = lambda: 0,
    ):
        self._limit = limit
        self._unsent = unsent
        self.held = 0

    def hold(self) -> "Holding":
        """Return a holding of nothing."""
        return Holding(self)

    @property
    def limit(self) -> int:
        """Most bytes to hold; ``sys.maxsize`` without a limit."""
        return self._limit()

    @property
    def room_for_responses(self) -> int:
        """Most bytes that unsent responses may take now.

        A part of the limit is always theirs: requests alone don't have the
        responses of slow readers discarded.
        """
        limit = self._limit()
        return max(int(RESPONSE_SHARE * limit), limit - self.held)

    def is_above(self, use: MemoryUse) -> bool:
        """Return whether more is held than may be for this use."""
        return self.held + self._unsent() > use.value * self._limit()


class Holding:
    """Bytes that are counted until this object is freed."""

    __slots__ = ("_memory", "_size")

    def __init__(self, memory: CallerMemory):
        self._memory = memory
        self._size = 0

    def set(self, size: int) -> None:
        """Count ``size`` bytes in all."""
        self._memory.held += size - self._size
        self._size = size

    @property
    def is_only(self) -> bool:
        """Whether nothing else is held."""
        return self._memory.held == self._size

    def __del__(self):
        self._memory.held -= self._size
