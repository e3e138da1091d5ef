"""What postspring needs of a log whose records have keys.

The adapter of the users' platform and the stand-ins both implement it.
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
    "is_bounded",
]


class Subject(enum.Enum):
    """What a partition holds.

    Operators write the configuration, upstreams announce themselves; the
    other subjects are the system's own.
    """

    CONFIGURATION = "configuration"
    UPSTREAMS = "upstreams"
    MEMBERS = "members"
    PROGRAMS = "programs"
    LOCATIONS = "locations"


class LogPlace(NamedTuple):
    """One partition of the log."""

    subject: Subject
    partition: int


def is_bounded(place: LogPlace) -> bool:
    """Return whether VMs have to know of new records within a bound.

    Examples
    --------
    >>> is_bounded(LogPlace(Subject.CONFIGURATION, 0))
    True
    >>> is_bounded(LogPlace(Subject.PROGRAMS, 0))
    False
    """
    return place.subject in (Subject.CONFIGURATION, Subject.UPSTREAMS)


class LogEntry(NamedTuple):
    """A keyed record; an empty value drops the key."""

    key: str
    value: bytes


class LogPage(NamedTuple):
    """Records read from a partition.

    Parameters
    ==========

    next : int
        Offset to read on from.
    end : int
        Offset behind the partition's last record, as of the read.
    known_after : float
        Seconds after the call began at which the log had no more than this,
        for certain: an answer may be long on its way, and only one without
        records tells how long the log waited for them.
    """

    entries: list[LogEntry]
    next: int
    end: int
    known_after: float = 0.0


OnError = Callable[[errors.KeyedLogError], None]


class KeyedLog(abc.ABC):
    """Appends to and reads from partitions of keyed records.

    Every call ends in exactly one of its two functions.
    """

    @property
    def is_down(self) -> bool:
        """Whether the last call failed."""
        return False

    @abc.abstractmethod
    def append(
        self,
        place: LogPlace,
        entries: Sequence[LogEntry],
        on_done: Callable[[int], None],
        on_error: OnError,
    ) -> None:
        """Append records, all or none; hand over the first one's offset.

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
        """Read records from an offset; :class:`LogExpired` if they went.

        Parameters
        ----------
        wait : float
            Seconds to wait for a record if there is none yet.
        """

    @abc.abstractmethod
    def read_newest(
        self,
        place: LogPlace,
        on_page: Callable[[LogPage], None],
        on_error: OnError,
    ) -> None:
        """Read the newest record of each key, in the log's order."""
