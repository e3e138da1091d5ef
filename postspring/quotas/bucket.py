"""A token bucket that starts empty."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Fills at a rate; time is an argument.

    Explanation
    ===========

    In any span ``s`` it gives at most ``capacity + rate * s`` tokens.  One
    that starts empty gives at most ``rate * s`` from then on: so in place of
    another one, of which nothing is known but that it gives no more, it
    keeps both together within the bound of one.

    Parameters
    ==========

    rate : float
        Tokens a second.
    capacity : float
        Most tokens at a time.
    now : float
        Monotonic time in seconds, as in all calls.

    Examples
    ========

    >>> bucket = TokenBucket(rate=2.0, capacity=4.0, now=0.0)
    >>> bucket.take(1.0, now=0.0), bucket.seconds_until(1.0, now=0.0)
    (False, 0.5)
    >>> bucket.take(1.0, now=0.5), bucket.level(100.0)
    (True, 4.0)
    """

    def __init__(self, rate: float, capacity: float, now: float):
        self.rate = rate
        self.capacity = capacity
        self._level = 0.0
        self._at = now

    def level(self, now: float) -> float:
        """Return how many tokens there are."""
        if now > self._at:
            added = (now - self._at) * self.rate
            self._level = min(self.capacity, self._level + added)
            self._at = now
        return self._level

    def take(self, least: float, now: float) -> bool:
        """Take one token, if there are at least so many."""
        if self.level(now) < least:
            return False
        self._level -= 1.0
        return True

    def seconds_until(self, least: float, now: float) -> float:
        """Return when there will be so many, if nobody takes any."""
        missing = least - self.level(now)
        return max(0.0, missing / self.rate)

    def change(self, rate: float, capacity: float, now: float) -> None:
        """Go on at another rate with what there is, as far as it fits."""
        level = self.level(now)
        self.rate = rate
        self.capacity = capacity
        self._level = min(level, capacity)
