"""The files that this process may open; each connection is one."""

from collections.abc import Callable
import errno
import logging
import resource

from postspring.transport import timers as timers_module

__all__ = ["Shortage", "connection_bound", "connections_within"]

LOG = logging.getLogger(__name__)

# Files that are no connections: listeners, logs, what libraries open.  The
# platform keeps as many apart; of a small limit it is a share.
OTHER_FILES = 200
OTHER_SHARE = 0.25
# A caller's connection costs about 20 KB, and a VM has 160 MB.
MOST_CONNECTIONS = 4000
# How often a shortage is told; it lasts, and each line says the same.
TELL_SECONDS = 1.0
SHORTAGE_CODES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def connections_within(files: int) -> int:
    """Return how many callers fit into a limit of files.

    Each call has a connection to an upstream besides the caller's own, so
    callers get half of what is left.

    Examples
    --------
    >>> [connections_within(files) for files in (64, 1024, 8200, 10**6)]
    [24, 412, 4000, 4000]
    """
    others = min(OTHER_FILES, round(OTHER_SHARE * files))
    return max(1, min(MOST_CONNECTIONS, (files - others) // 2))


def connection_bound(most_files: int = 0) -> int:
    """Return how many callers may be connected to this process.

    Parameters
    ----------
    most_files : int
        What the platform lets it open; 0 if that isn't known.
    """
    files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if files == resource.RLIM_INFINITY:
        files = 2 * MOST_CONNECTIONS + OTHER_FILES
    return connections_within(min(files, most_files or files))


class Shortage:
    """What is done when no file is left for a connection.

    Attributes
    ==========

    reclaimers : list of callables
        Each closes a connection that nobody uses, and returns whether it
        found one.
    count : int
        How often there was none left, or the bound was reached.
    """

    def __init__(self, timers: timers_module.Timers):
        self._timers = timers
        self._told_at = -TELL_SECONDS
        self.reclaimers: list[Callable[[], bool]] = []
        self.count = 0

    def relieve(self, error: OSError) -> bool:
        """Give an unused connection up; tell if another try may do."""
        if error.errno not in SHORTAGE_CODES:
            return False
        relieved = any(reclaim() for reclaim in self.reclaimers)
        self.note(str(error), relieved)
        return relieved

    def note(self, why: str, relieved: bool = False) -> None:
        """Count that a connection had to wait or was not opened."""
        self.count += 1
        now = self._timers.now()
        if now - self._told_at < TELL_SECONDS:
            return
        self._told_at = now
        LOG.warning(
            "no room for a connection",
            extra={
                "reason": why,
                "count": self.count,
                "idle_given_up": relieved,
            },
        )
