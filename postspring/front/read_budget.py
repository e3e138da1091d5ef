"""Derives the longest pause between log reads from a staleness bound.

In the worst case a VM learns of a new record after the pause between two
reads (or the wait of a long poll), the time-outs of the reads whose answers
are lost, and the delay of the answer that arrives.
"""

from postspring.peering import hedge_times

__all__ = ["max_read_pause"]

# Consecutive lost answers that the bound has to tolerate.
TOLERATED_LOST_READS = 2
# Delay of an answer while the log is slow, with the event loop's own delay.
SLOW_ANSWER_SECONDS = 0.3
MIN_PAUSE_SECONDS = 0.1


def max_read_pause(bound: float) -> float:
    """Return the longest pause between reads, or wait of a long poll.

    Parameters
    ----------
    bound : float
        Seconds in which a record has to take effect.

    Examples
    --------
    >>> round(max_read_pause(2.0), 2)
    1.1
    >>> max_read_pause(0.5)
    0.1
    """
    lost_seconds = TOLERATED_LOST_READS * hedge_times.HEDGE_SECONDS
    return max(MIN_PAUSE_SECONDS, bound - lost_seconds - SLOW_ANSWER_SECONDS)
