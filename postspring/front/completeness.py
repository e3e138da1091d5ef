"""Decides whether a VM's memory covers the retention of turns.

A VM loses its turns when it restarts.  That a VM lacks a turn is evidence
that the turn does not exist only if its memory covers the retention again.
"""

__all__ = ["has_all_recent_turns"]

# After this uptime a VM remembers every turn that started on it within the
# retention of turns, which is 60 s on the users' routes.  For a longer
# retention the required uptime is that retention and a margin for turns that
# end meanwhile.  In seconds.
MIN_UPTIME_SECONDS = 65.0
RETENTION_MARGIN_SECONDS = 5.0
# During an outage of the log that outlasts the uptime above, completed turns
# exist only as copies on other VMs.  After the outage these VMs rejoin the
# member list (they retry every 0.5 s) and append the copies (after 3 s); this
# many seconds cover both.
MIN_LISTED_SECONDS = 10.0


def has_all_recent_turns(
    is_first_start: bool,
    uptime: float,
    listed_seconds: float,
    retention: float,
) -> bool:
    """Return whether a VM's memory covers the retention of turns.

    Parameters
    ----------
    is_first_start : bool
        Whether no VM of this name ran before, so that no memory was lost.
    uptime, listed_seconds : float
        Seconds since the VM started, and since it joined the member list.
    retention : float
        Longest retention of any route's turns in seconds.

    Examples
    --------
    >>> has_all_recent_turns(
    ...     False, uptime=64.0, listed_seconds=60.0, retention=60.0
    ... )
    False
    >>> has_all_recent_turns(
    ...     False, uptime=100.0, listed_seconds=2.0, retention=60.0
    ... )
    False
    """
    needed = max(MIN_UPTIME_SECONDS, retention + RETENTION_MARGIN_SECONDS)
    return is_first_start or (
        uptime > needed and listed_seconds > MIN_LISTED_SECONDS
    )
