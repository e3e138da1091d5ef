"""How long something takes of late."""

__all__ = ["UsualTime"]

# What takes longer than this many times its usual time is late.
LATE_TIMES = 2.5


class UsualTime:
    """Follows durations, each new one as much as all before it.

    Attributes
    ==========

    seconds : float
        What it takes of late; 0 if nothing is known.

    Examples
    ========

    >>> usual = UsualTime()
    >>> usual.late_after(0.3)
    0.3
    >>> usual.note(0.4)
    >>> usual.seconds, usual.late_after(0.3), usual.late_after(0.3, 0.4)
    (0.2, 0.5, 0.4)
    """

    def __init__(self):
        self.seconds = 0.0

    def note(self, seconds: float) -> None:
        """Take note of how long it took."""
        self.seconds += (seconds - self.seconds) / 2

    def late_after(self, least: float, most: float = float("inf")) -> float:
        """Return the seconds after which it is late, within bounds."""
        return min(max(least, LATE_TIMES * self.seconds), most)
