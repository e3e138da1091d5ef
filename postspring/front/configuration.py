"""The configuration in force on this VM."""

from collections.abc import Callable
import logging

from postspring import errors
from postspring import keyedlog
from postspring import routing

__all__ = ["CurrentConfiguration"]

LOG = logging.getLogger(__name__)


class CurrentConfiguration:
    """Keeps the newest configuration; a version never goes back.

    Parameters
    ==========

    key : str
        The record's key in the log.
    decode : callable
        Makes a snapshot of the record's bytes.
    on_change : callable
        Called with each new snapshot.
    """

    def __init__(
        self,
        key: str,
        decode: Callable[[bytes], routing.Snapshot],
        on_change: Callable[[routing.Snapshot], None],
    ):
        self._key = key
        self._decode = decode
        self._on_change = on_change
        self.snapshot: routing.Snapshot | None = None
        # Whether the last record could be read; else an older one counts.
        self.is_newest = True

    @property
    def version(self) -> int:
        """The version in force, or -1."""
        return -1 if self.snapshot is None else self.snapshot.version

    def take(self, entries: list[keyedlog.LogEntry]) -> None:
        """Apply the configurations among some records, in their order."""
        for entry in entries:
            if entry.key == self._key and entry.value:
                self._apply(entry.value)

    def _apply(self, value: bytes) -> None:
        try:
            snapshot = self._decode(value)
        except errors.ConfigurationError as error:
            LOG.error("configuration refused", extra={"error": str(error)})
            self.is_newest = False
            return
        self.is_newest = True
        if snapshot.version <= self.version:
            return
        LOG.info(
            "configuration in force",
            extra={"version": snapshot.version, "previous": self.version},
        )
        self.snapshot = snapshot
        self._on_change(snapshot)
