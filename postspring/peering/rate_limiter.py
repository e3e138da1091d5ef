"""Limits the rate of the queries that a VM sends to others."""

from collections.abc import Callable

__all__ = ["MessageRateLimiter"]

# Sustained rate of messages for queries, and the largest burst.  A message
# costs both ends about 0.4 ms of processor time, and a VM receives as many as
# it sends: a twentieth of a core, however many VMs there are.
MESSAGES_PER_SECOND = 60.0
MAX_BURST_MESSAGES = 300.0


class MessageRateLimiter:
    """Token bucket that refuses messages beyond the rate at once.

    Explanation
    ===========

    A query to all VMs costs one message for each of them, and while the log is
    unreachable every turn may need such a query: without a limit 67 VMs spent
    all their processor time on queries and answered no callers.

    Parameters
    ==========

    now : callable
        Monotonic time in seconds.

    Examples
    ========

    >>> limiter = MessageRateLimiter(lambda: 0.0)
    >>> limiter.take(250), limiter.take(100), limiter.take(50)
    (True, False, True)
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._refilled_at = now()
        self._tokens = MAX_BURST_MESSAGES

    def take(self, messages: int) -> bool:
        """Take tokens for all of the messages, or for none.

        A query to more VMs than the bucket holds passes when the bucket is
        full, and leaves it in debt.
        """
        now = self._now()
        added = (now - self._refilled_at) * MESSAGES_PER_SECOND
        self._refilled_at = now
        self._tokens = min(MAX_BURST_MESSAGES, self._tokens + added)
        if min(messages, MAX_BURST_MESSAGES) > self._tokens:
            return False
        self._tokens -= messages
        return True
