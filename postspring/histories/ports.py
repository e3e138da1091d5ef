"""Port through which the journal stores records on other VMs."""

import abc
from collections.abc import Callable

__all__ = ["NoReplicaHolders", "ReplicaHolders"]


class ReplicaHolders(abc.ABC):
    """Other VMs, which hold replicas of records that the log lacks."""

    @abc.abstractmethod
    def replicate(
        self,
        record: bytes,
        on_done: Callable[[int], None],
        is_log_unavailable: bool = False,
    ) -> None:
        """Send a replica to some VMs; report how many of them hold it.

        Parameters
        ----------
        is_log_unavailable : bool
            This VM can't reach the log, so a VM whose log answers fast records
            the replica without the usual delay.
        """

    def is_held_elsewhere(self, record: bytes) -> bool:
        """Return whether a VM of another data centre holds a replica.

        True as well if there is no other data centre, and unless it is
        overridden.
        """
        return True

    def record(
        self,
        turns: list[bytes],
        timeout: float,
        on_done: Callable[[bool], None],
    ) -> None:
        """Have a VM that reaches the log record completed turns.

        Unless it is overridden, no VM records them.

        Parameters
        ----------
        timeout : float
            Seconds after which the turns are reported as not recorded.
        on_done : callable
            Called with whether all of them are in the log.
        """
        on_done(False)

    def hand_over(
        self, records: list[bytes], on_done: Callable[[bool], None]
    ) -> None:
        """Send records to VMs that keep running; report if enough took all.

        Unless it is overridden, no VM takes them.
        """
        on_done(False)


class NoReplicaHolders(ReplicaHolders):
    """A VM without other VMs to hold its replicas."""

    def replicate(self, record, on_done, is_log_unavailable=False) -> None:
        """Report that no VM holds a replica."""
        on_done(0)
