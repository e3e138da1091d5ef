"""Logs what a process holds when its memory approaches the limit.

A process that exceeds the memory of its machine is killed without a line of
its own, so the cause has to be logged before.
"""

from collections.abc import Callable
from collections.abc import Mapping
import logging
import resource

from postspring import transport

__all__ = ["MemoryWatch", "peak_resident_bytes"]

LOG = logging.getLogger(__name__)

CHECK_SECONDS = 0.5
# Shares of the limit at which a line is logged, once each.
LOGGED_SHARES = (0.5, 0.75, 0.9)
# Unit of ru_maxrss on Linux.
KIBIBYTE = 1024


def peak_resident_bytes() -> int:
    """Return the most resident memory that this process has had, in bytes."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_maxrss * KIBIBYTE


class MemoryWatch:
    """Compares the peak of resident memory with the limit.

    Parameters
    ==========

    limit : int
        Memory of the machine in bytes; 0 if unknown, which disables the
        watch.
    holder_by_name : mapping
        Functions that return the bytes held for a purpose.
    peak : callable
        Returns the peak of resident memory in bytes.
    """

    def __init__(
        self,
        timers: transport.Timers,
        limit: int,
        holder_by_name: Mapping[str, Callable[[], int]],
        peak: Callable[[], int] = peak_resident_bytes,
    ):
        self._timers = timers
        self._limit = limit
        self._holder_by_name = holder_by_name
        self._peak = peak
        self._shares_left = list(LOGGED_SHARES) if limit else []
        self._handle: transport.TimerHandle | None = None

    def start(self) -> None:
        """Check at intervals."""
        if self._shares_left:
            self._handle = self._timers.call_every(CHECK_SECONDS, self.check)

    def close(self) -> None:
        """Stop the checks."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def check(self) -> None:
        """Log what is held, once for each share that the peak has passed."""
        peak = self._peak()
        passed = [i for i in self._shares_left if peak > i * self._limit]
        if not passed:
            return
        self._shares_left = self._shares_left[len(passed) :]
        held = {
            f"{name}_bytes": hold()
            for name, hold in self._holder_by_name.items()
        }
        LOG.warning(
            "resident memory approaches the limit",
            extra={
                "share": passed[-1],
                "peak_bytes": peak,
                "limit_bytes": self._limit,
                **held,
            },
        )
        if not self._shares_left:
            self.close()
