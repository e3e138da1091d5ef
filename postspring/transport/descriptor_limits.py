"""How many connections fit into the limit of open file descriptors."""

from collections.abc import Callable
import errno
import logging
import resource

from postspring.transport import timers as timers_module

__all__ = ["ConnectionShortage", "connection_limit", "connections_for_files"]

LOG = logging.getLogger(__name__)

# Descriptors that are not connections: listeners, logs, files that libraries
# open.  The platform reserves the same number; of a low limit, a share is
# reserved instead.
RESERVED_FILES = 200
RESERVED_SHARE = 0.25
# A caller's connection takes about 20 KB, and a VM has 160 MB of memory.
MAX_CONNECTIONS = 4000
# Interval between log lines; a shortage lasts, and its lines say the same.
LOG_INTERVAL_SECONDS = 1.0
SHORTAGE_CODES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def connections_for_files(files: int) -> int:
    """Return how many callers fit into a limit of open files.

    Each call also needs a connection to an upstream, so callers get half of
    the descriptors that are not reserved.

    Examples
    --------
    >>> [connections_for_files(files) for files in (64, 1024, 8200, 10**6)]
    [24, 412, 4000, 4000]
    """
    reserved = min(RESERVED_FILES, round(RESERVED_SHARE * files))
    return max(1, min(MAX_CONNECTIONS, (files - reserved) // 2))


def connection_limit(max_files: int = 0) -> int:
    """Return how many callers may be connected to this process at once.

    Parameters
    ----------
    max_files : int
        Limit of open files that the platform sets; 0 if it is unknown.
    """
    files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if files == resource.RLIM_INFINITY:
        files = 2 * MAX_CONNECTIONS + RESERVED_FILES
    return connections_for_files(min(files, max_files or files))


class ConnectionShortage:
    """Closes idle connections when descriptors run out; counts shortages.

    Attributes
    ==========

    reclaimers : list of callables
        Each closes one idle connection, and returns whether it found one.
    count : int
        How often a connection could not be opened or accepted because no
        descriptor was left or the limit of connections was reached.
    """

    def __init__(self, timers: timers_module.Timers):
        self._timers = timers
        self._logged_at = -LOG_INTERVAL_SECONDS
        self.reclaimers: list[Callable[[], bool]] = []
        self.count = 0

    def close_idle_connection(self, error: OSError) -> bool:
        """Close one idle connection if descriptors or memory ran out.

        Counts the shortage, and returns whether a connection was closed,
        so that a retry may succeed.
        """
        if error.errno not in SHORTAGE_CODES:
            return False
        closed_idle = any(reclaim() for reclaim in self.reclaimers)
        self.record(str(error), closed_idle)
        return closed_idle

    def record(self, reason: str, closed_idle: bool = False) -> None:
        """Count a connection that was delayed or not opened, and log it."""
        self.count += 1
        now = self._timers.now()
        if now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        LOG.warning(
            "no file descriptor or connection slot is free",
            extra={
                "reason": reason,
                "count": self.count,
                "idle_given_up": closed_idle,
            },
        )
