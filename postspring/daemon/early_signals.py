"""Signals that come before anyone can act on them.

This module imports nothing that takes long: it is there to be used before
the rest of the program is imported.
"""

from collections.abc import Callable
import signal

__all__ = ["EarlySignals"]


class EarlySignals:
    """Keeps signals during the start, instead of their default action.

    Examples
    ========

    >>> early = EarlySignals()
    >>> early.take(signal.SIGHUP)
    >>> early.has(signal.SIGHUP), early.has(signal.SIGTERM)
    (True, False)
    >>> early.replay(signal.SIGHUP, lambda: print("read again"))
    read again
    >>> early.replay(signal.SIGHUP, lambda: print("read again"))
    """

    def __init__(self):
        self._numbers: set[int] = set()

    def install(self) -> None:
        """Keep what comes from now on, until others take its place."""
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda number, frame: self.take(number))

    def take(self, number: int) -> None:
        """Keep a signal; several of a kind are one."""
        self._numbers.add(number)

    def has(self, *numbers: int) -> bool:
        """Return whether one of these has come."""
        return not self._numbers.isdisjoint(numbers)

    def replay(self, number: int, function: Callable[[], None]) -> None:
        """Act on a signal that was kept, once its handler stands."""
        if number in self._numbers:
            self._numbers.discard(number)
            function()
