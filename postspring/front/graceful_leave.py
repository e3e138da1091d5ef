"""Graceful leave: removes a stopping VM from the member list."""

from collections.abc import Callable

from postspring import histories
from postspring import peering
from postspring import transport

__all__ = ["GracefulLeave"]

# How long a stopping VM waits until the log has recorded its leave, in
# seconds.  Without that record the others only treat the VM as unreachable
# for some time.
LEAVE_TIMEOUT_SECONDS = 1.0


class GracefulLeave:
    """Removes this VM from the member list once its turns are recorded.

    A VM that has left is not asked before another VM answers that a turn
    does not exist, so it must hold nothing that the log lacks.

    Parameters
    ==========

    has_all_recent_turns : callable
        Returns whether the VM's memory covers the retention of turns.
    """

    def __init__(
        self,
        timers: transport.Timers,
        journal: histories.Journal,
        members: peering.Members,
        has_all_recent_turns: Callable[[], bool],
    ):
        self._timers = timers
        self._journal = journal
        self._members = members
        self._has_all_recent_turns = has_all_recent_turns
        self._leave_requested_at: float | None = None

    @property
    def has_started(self) -> bool:
        """Whether the VM has begun to leave the member list."""
        return self._leave_requested_at is not None

    def advance(self) -> bool:
        """Leave the list if allowed; return whether the process may exit."""
        if self._journal.unrecorded:
            return False
        if not self._has_all_recent_turns():
            # This VM may have lost turns when it restarted.  Its entry stays
            # on the list, so that other VMs miss its answer and do not
            # conclude that a turn does not exist.
            return True
        self._members.leave()
        if self._leave_requested_at is None:
            self._leave_requested_at = self._timers.now()
        waited = self._timers.now() - self._leave_requested_at
        return self._members.has_left or waited > LEAVE_TIMEOUT_SECONDS
