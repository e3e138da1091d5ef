"""Moving average of durations, with a threshold for late ones."""

__all__ = ["AverageDuration"]

# An operation that takes longer than this multiple of the average is late.
LATE_FACTOR = 2.5


class AverageDuration:
    """Exponential moving average; each new duration has a weight of half.

    Attributes
    ==========

    seconds : float
        The average; 0 before the first duration.

    Examples
    ========

    >>> average = AverageDuration()
    >>> average.late_threshold(0.3)
    0.3
    >>> average.note(0.4)
    >>> (
    ...     average.seconds,
    ...     average.late_threshold(0.3),
    ...     average.late_threshold(0.3, 0.4),
    ... )
    (0.2, 0.5, 0.4)
    """

    def __init__(self):
        self.seconds = 0.0

    def note(self, seconds: float) -> None:
        """Add a duration."""
        self.seconds += (seconds - self.seconds) / 2

    def late_threshold(
        self, minimum: float, maximum: float = float("inf")
    ) -> float:
        """Return the seconds after which an operation is late, bounded."""
        return min(max(minimum, LATE_FACTOR * self.seconds), maximum)
