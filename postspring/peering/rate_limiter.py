"""Limits the rate of the queries that a VM sends to others."""

from collections.abc import Callable

__all__ = ["MessageRateLimiter", "QueryReservation", "messages_per_second"]

# Sustained rate of messages for queries of a VM whose processor is not known,
# and the largest burst.
MESSAGES_PER_SECOND = 60.0
MAX_BURST_MESSAGES = 300.0
# A message costs both ends about 0.4 ms of processor time, and a VM receives
# as many as it sends.
SECONDS_PER_MESSAGE = 0.0008
# Share of its processor that a VM may use for queries.  With the log away,
# every program that moves or begins needs one message to each VM: 80 programs
# a second on 60 VMs are 79 messages a second and VM, and queries that the
# limit refuses come back.
PROCESSOR_SHARE = 0.1
# A query to hundreds of VMs costs them all, however large the sender is.
MAX_MESSAGES_PER_SECOND = 150.0


def messages_per_second(cores: float) -> float:
    """Return the rate of messages that a VM's processor allows.

    Parameters
    ----------
    cores : float
        The VM's processor; 0 if it is not known.

    Examples
    --------
    >>> messages_per_second(0.0), messages_per_second(1.0)
    (60.0, 125.0)
    """
    affordable = PROCESSOR_SHARE * cores / SECONDS_PER_MESSAGE
    return min(max(MESSAGES_PER_SECOND, affordable), MAX_MESSAGES_PER_SECOND)


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
    per_second : float
        Sustained rate of messages.

    Examples
    ========

    >>> limiter = MessageRateLimiter(lambda: 0.0)
    >>> limiter.take(250), limiter.take(100), limiter.take(50)
    (True, False, True)
    """

    def __init__(
        self,
        now: Callable[[], float],
        per_second: float = MESSAGES_PER_SECOND,
    ):
        self._now = now
        self._per_second = per_second
        self._refilled_at = now()
        self._tokens = MAX_BURST_MESSAGES

    def take(self, messages: int) -> bool:
        """Take tokens for all of the messages, or for none.

        A query to more VMs than the bucket holds passes when the bucket is
        full, and leaves it in debt.
        """
        now = self._now()
        added = (now - self._refilled_at) * self._per_second
        self._refilled_at = now
        self._tokens = min(MAX_BURST_MESSAGES, self._tokens + added)
        if min(messages, MAX_BURST_MESSAGES) > self._tokens:
            return False
        self._tokens -= messages
        return True

    def refund(self, messages: int) -> None:
        """Return tokens of messages that were not sent."""
        self._tokens = min(MAX_BURST_MESSAGES, self._tokens + messages)


class QueryReservation:
    """Tokens for one query, which is sent to VMs in stages.

    Explanation
    ===========

    A new program may only begin once all VMs have responded, so the messages
    of such a query are reserved together: one that was refused between two
    stages wasted the first one's.  For a program that goes on, the first VMs
    asked mostly are enough.

    Parameters
    ==========

    limiter : MessageRateLimiter
        Holds the tokens.

    Examples
    ========

    >>> limiter = MessageRateLimiter(lambda: 0.0)
    >>> reservation = QueryReservation(limiter)
    >>> reservation.take(1, 0), reservation.take(9, 290), limiter.take(1)
    (True, True, False)
    >>> reservation.close()
    >>> limiter.take(290)
    True
    """

    def __init__(self, limiter: MessageRateLimiter):
        self._limiter = limiter
        self._reserved = 0

    def take(self, messages: int, later_messages: int) -> bool:
        """Take the tokens of a stage, and reserve those of later stages."""
        if self._reserved < messages:
            if not self._limiter.take(messages + later_messages):
                return False
            self._reserved += messages + later_messages
        self._reserved -= messages
        return True

    def close(self) -> None:
        """Return the tokens of stages that were not sent."""
        self._limiter.refund(self._reserved)
        self._reserved = 0
