"""What histories need of the other VMs."""

import abc
from collections.abc import Callable

__all__ = ["NoReplicaHolders", "ReplicaHolders"]


class ReplicaHolders(abc.ABC):
    """Other VMs that keep copies of what is not in the log yet."""

    @abc.abstractmethod
    def keep(
        self,
        record: bytes,
        on_done: Callable[[int], None],
        is_log_away: bool = False,
    ) -> None:
        """Give a copy to some VMs; hand over how many have it.

        If the log is away here, one that has it records the copy at once.
        """

    def record(
        self,
        turns: list[bytes],
        timeout: float,
        on_done: Callable[[bool], None],
    ) -> None:
        """Have a VM that reaches the log record whole turns, for certain.

        Nobody does, unless this is overridden.

        Parameters
        ----------
        timeout : float
            Seconds after which the answer is that nobody has.
        on_done : callable
            Told whether all of them stand in the log.
        """
        on_done(False)

    def hand_over(
        self, records: list[bytes], on_done: Callable[[bool], None]
    ) -> None:
        """Give records to VMs that stay; tell if enough have all of them.

        Nobody takes them, unless this is overridden.
        """
        on_done(False)


class NoReplicaHolders(ReplicaHolders):
    """A VM alone."""

    def keep(self, record, on_done, is_log_away=False) -> None:
        """Report that nobody has a copy."""
        on_done(0)
