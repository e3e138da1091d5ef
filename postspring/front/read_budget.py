"""How a bound on what is known is shared among the reads of the log.

A record is known after the pause between two reads, or the wait of one that
waits, then the reads that are never answered, then the answer.
"""

from postspring.peering import failover

__all__ = ["longest_pause"]

# Reads in a row that may go unanswered while the bound is kept.
LOST_READS = 2
# An answer of the log while it is slow, with the loop's own delay.
ANSWER_SECONDS = 0.3
SHORTEST_PAUSE_SECONDS = 0.1


def longest_pause(bound: float) -> float:
    """Return for how long a VM may not look, or wait, for a record.

    Parameters
    ----------
    bound : float
        Seconds in which a record has to have its effect.

    Examples
    --------
    >>> round(longest_pause(2.0), 2)
    1.1
    >>> longest_pause(0.5)
    0.1
    """
    lost = LOST_READS * failover.HEDGE_SECONDS
    return max(SHORTEST_PAUSE_SECONDS, bound - lost - ANSWER_SECONDS)
