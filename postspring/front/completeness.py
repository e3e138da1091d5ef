"""Whether a VM knows all turns that began here within their retention."""

__all__ = ["is_complete"]

# A VM that has been up for this long knows all that began here within the
# retention of turns, 60 s on the users' routes; in seconds.  With a longer
# retention it takes that, and the margin for turns that end meanwhile.
COMPLETE_SECONDS = 65.0
RETENTION_MARGIN_SECONDS = 5.0
# After an outage that was as long, turns stand only with VMs that keep them:
# in this time these are on the list again (they try each 0.5 s), and append
# them (after 3 s).
LISTED_SECONDS = 10.0


def is_complete(
    is_first_start: bool, uptime: float, listed: float, retention: float
) -> bool:
    """Return whether a VM that has not heard of a turn would have.

    Parameters
    ----------
    is_first_start : bool
        There was no such VM before, so that nothing was forgotten.
    uptime, listed : float
        Seconds since it was started, and since it has been on the list.
    retention : float
        Longest time in seconds for which turns are kept.

    Examples
    --------
    >>> is_complete(False, uptime=64.0, listed=60.0, retention=60.0)
    False
    >>> is_complete(False, uptime=100.0, listed=2.0, retention=60.0)
    False
    """
    needed = max(COMPLETE_SECONDS, retention + RETENTION_MARGIN_SECONDS)
    return is_first_start or (uptime > needed and listed > LISTED_SECONDS)
