"""Taking leave of the other VMs."""

from collections.abc import Callable

from postspring import histories
from postspring import peering
from postspring import transport

__all__ = ["Leaving"]

# How long a VM that stops waits for the log to take its leave, in seconds:
# without it the VM counts as not heard for a while, no more.
LEAVE_SECONDS = 1.0


class Leaving:
    """Takes a VM off the others' list once all is recorded.

    Whoever is not on it isn't asked before a turn is said not to exist.

    Parameters
    ==========

    is_complete : callable
        Returns whether the VM knows all that began here lately.
    """

    def __init__(
        self,
        timers: transport.Timers,
        journal: histories.Journal,
        members: peering.Members,
        is_complete: Callable[[], bool],
    ):
        self._timers = timers
        self._journal = journal
        self._members = members
        self._is_complete = is_complete
        self._left_at: float | None = None

    @property
    def has_begun(self) -> bool:
        """Whether the VM has begun to take its leave."""
        return self._left_at is not None

    def go_on(self) -> bool:
        """Leave if that may be; tell if the VM may end."""
        if self._journal.unrecorded:
            return False
        if not self._is_complete():
            # It has forgotten what it kept before: it is to be missed.
            return True
        self._members.leave()
        if self._left_at is None:
            self._left_at = self._timers.now()
        waited = self._timers.now() - self._left_at
        return self._members.has_left or waited > LEAVE_SECONDS
