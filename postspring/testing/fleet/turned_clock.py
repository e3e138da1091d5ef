"""A clock that passes by turns of the loops, not by the machine's time."""

__all__ = ["TurnedClock"]


class TurnedClock:
    """Stands in for the module ``time`` where timers read it.

    Explanation
    ===========

    All parts of a fleet share one process.  If the machine does not run it
    for a while, the store and the VMs stand still together, and when it runs
    again, timeouts of VMs pass before the store has done what it would have
    done meanwhile.  No two machines do that to each other.  With this clock
    each part gets its turns within the time that it has.

    Parameters
    ==========

    step : float
        Seconds that one turn takes.

    Examples
    ========

    >>> clock = TurnedClock(0.5)
    >>> started_at = clock.monotonic()
    >>> clock.advance()
    >>> clock.monotonic() - started_at
    0.5
    """

    def __init__(self, step: float):
        self._step = step
        self._now = 1000.0

    def monotonic(self) -> float:
        """Return the time in seconds."""
        return self._now

    def advance(self) -> None:
        """Let the time of one turn pass."""
        self._now += self._step
