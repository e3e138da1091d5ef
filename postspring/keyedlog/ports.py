"""Interface of a log whose records have keys.

The adapter of the users' platform and the test doubles implement it.
"""

import abc
from collections.abc import Callable
from collections.abc import Sequence
import enum
from typing import NamedTuple

from postspring.keyedlog import errors

__all__ = [
    "KeyedLog",
    "LogEntry",
    "LogPage",
    "LogPlace",
    "Subject",
    "has_age_bound",
]


class Subject(enum.Enum):
    """Kind of records that a partition holds.

    Operators write the configuration, and upstreams their own entries;
    postspring writes the records of the other subjects.
    """

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    MEMBERS = "members"
    PROGRAMS = "programs"
    LOCATIONS = "locations"


class LogPlace(NamedTuple):
    """Identifies a partition of the log."""

    subject: Subject
    partition: int


def has_age_bound(place: LogPlace) -> bool:
    """Return whether VMs must read new records within a bounded time.

    Examples
    --------
    >>> has_age_bound(LogPlace(Subject.CONFIGURATION, 0))
    True
    >>> has_age_bound(LogPlace(Subject.PROGRAMS, 0))
    False
    """
    return place.subject in (Subject.CONFIGURATION, Subject.UPSTREAMS)


class LogEntry(NamedTuple):
    """A keyed record; an empty value deletes the key."""

    key: str
    value: bytes


class LogPage(NamedTuple):
    """Records read from a partition.

    Parameters
    ==========

    next : int
        Offset at which the next read starts.
    end : int
        Offset after the partition's last record at the time of the read.
    known_after : float
        Seconds after the start of the call at which the log certainly held no
        further records.  A response may be delayed on its way; only one
        without records shows that the log waited for them.
    """

    entries: list[LogEntry]
    next: int
    end: int
    known_after: float = 0.0


OnError = Callable[[errors.KeyedLogError], None]


class KeyedLog(abc.ABC):
    """Appends to and reads from partitions of keyed records.

    Each call invokes exactly one of its two callbacks.
    """

    @property
    def is_down(self) -> bool:
        """Whether the last call failed."""
        return False

    def has_answered_since(self, moment: float) -> bool:
        """Return whether the log is known to have answered since a moment.

        Only answers by this VM's own path to the log count.
        """
        return False

    @abc.abstractmethod
    def append(
        self,
        place: LogPlace,
        entries: Sequence[LogEntry],
        on_done: Callable[[int], None],
        on_error: OnError,
    ) -> None:
        """Append all records or none; ``on_done`` gets the first offset.

        After :class:`LogUnavailable` the append may still take effect.
        """

    @abc.abstractmethod
    def read(
        self,
        place: LogPlace,
        start: int,
        on_page: Callable[[LogPage], None],
        on_error: OnError,
        wait: float = 0.0,
    ) -> None:
        """Read records from an offset.

        ``on_error`` gets :class:`LogExpired` if they have expired.

        Parameters
        ----------
        wait : float
            Seconds that the log waits for a record if there is none yet.
        """

    @abc.abstractmethod
    def read_newest(
        self,
        place: LogPlace,
        on_page: Callable[[LogPage], None],
        on_error: OnError,
    ) -> None:
        """Read the newest record of each key, ordered by offset."""
