"""The configuration that this VM currently applies."""

from collections.abc import Callable
import logging

from postspring import errors
from postspring import keyedlog
from postspring import routing

__all__ = ["CurrentConfiguration"]

LOG = logging.getLogger(__name__)


class CurrentConfiguration:
    """Holds the newest configuration; its version never decreases.

    Parameters
    ==========

    key : str
        Key of the configuration's record in the log.
    decode : callable
        Returns the snapshot that a record's bytes encode; raises
        :class:`~.errors.ConfigurationError` if they encode none.
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
        # False if the newest record could not be decoded; the snapshot is
        # then from an older record.
        self.is_newest_readable = True

    @property
    def version(self) -> int:
        """The version of the snapshot; -1 if there is none yet."""
        return -1 if self.snapshot is None else self.snapshot.version

    def apply_entries(self, entries: list[keyedlog.LogEntry]) -> None:
        """Apply the configuration records among log entries, in order."""
        for entry in entries:
            if entry.key == self._key and entry.value:
                self._apply(entry.value)

    def _apply(self, value: bytes) -> None:
        try:
            snapshot = self._decode(value)
        except errors.ConfigurationError as error:
            LOG.error(
                "ignored invalid configuration", extra={"error": str(error)}
            )
            self.is_newest_readable = False
            return
        self.is_newest_readable = True
        if snapshot.version <= self.version:
            return
        LOG.info(
            "configuration in force",
            extra={"version": snapshot.version, "previous": self.version},
        )
        self.snapshot = snapshot
        self._on_change(snapshot)
