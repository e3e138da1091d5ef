"""Memory of the responses that a client receives and keeps whole."""

import math
from typing import Any

__all__ = ["ResponseMemory"]

# Responses that have at most this many bytes so far are read on whatever
# others hold: most are short, and waiting would only delay them.
SHORT_BYTES = 16 * 1024


class ResponseMemory:
    """Counts the bodies of unfinished exchanges.

    Explanation
    ===========

    Above the limit, reading pauses and the rest of the responses waits at
    their servers.  The response that became long first is read on: its
    length and its time are limited, so it makes room for the next one.

    Parameters
    ==========

    limit : float
        Most bytes to hold.

    Attributes
    ==========

    held : int
        Bytes held.
    """

    def __init__(self, limit: float = math.inf):
        self._limit = limit
        self.held = 0
        self._bytes_by_exchange: dict[Any, int] = {}
        self._long: dict[Any, None] = {}

    def add(self, exchange: Any, count: int) -> None:
        """Count bytes that an exchange has received; it may be paused."""
        self.held += count
        total = self._bytes_by_exchange.get(exchange, 0) + count
        self._bytes_by_exchange[exchange] = total
        if total <= SHORT_BYTES:
            return
        self._long.setdefault(exchange)
        if self.held > self._limit and not self._is_first(exchange):
            exchange.pause_reading()

    def remove(self, exchange: Any) -> None:
        """Forget an exchange that has ended, and read others on."""
        count = self._bytes_by_exchange.pop(exchange, 0)
        if not count:
            return
        self.held -= count
        self._long.pop(exchange, None)
        for other in self._long:
            if self.held <= self._limit or self._is_first(other):
                other.resume_reading()

    def _is_first(self, exchange: Any) -> bool:
        return next(iter(self._long)) is exchange
