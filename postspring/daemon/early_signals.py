"""Signals that arrive while a process is still starting.

This module imports nothing that takes long, as it is used before the rest of
the program is imported.
"""

from collections.abc import Callable
import signal

__all__ = ["EarlySignals"]


class EarlySignals:
    """Records signals during the start, in place of their default action.

    Examples
    ========

    >>> early = EarlySignals()
    >>> early.record(signal.SIGHUP)
    >>> early.has(signal.SIGHUP), early.has(signal.SIGTERM)
    (True, False)
    >>> early.replay(signal.SIGHUP, lambda: print("read again"))
    read again
    >>> early.replay(signal.SIGHUP, lambda: print("read again"))
    """

    def __init__(self):
        self._recorded: set[int] = set()

    def install(self) -> None:
        """Record signals from now on, until other handlers are installed."""
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda number, frame: self.record(number))

    def record(self, number: int) -> None:
        """Record a signal; repeated ones count once."""
        self._recorded.add(number)

    def has(self, *numbers: int) -> bool:
        """Return whether one of these signals is recorded."""
        return not self._recorded.isdisjoint(numbers)

    def take(self, number: int) -> bool:
        """Return whether the signal was recorded, and clear it."""
        was_recorded = number in self._recorded
        self._recorded.discard(number)
        return was_recorded

    def replay(self, number: int, function: Callable[[], None]) -> None:
        """Call ``function`` if the signal was recorded, and clear it."""
        if self.take(number):
            function()
