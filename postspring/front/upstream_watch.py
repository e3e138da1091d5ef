"""Turns upstreams' entries in the log into the directory."""

from collections.abc import Callable
import logging

from postspring import errors
from postspring import keyedlog
from postspring import upstreams

__all__ = ["UpstreamWatch"]

LOG = logging.getLogger(__name__)


class UpstreamWatch:
    """Feeds the directory from the log.

    Parameters
    ==========

    decode : callable
        Makes an announcement of an upstream's id and its entry's bytes.
    """

    def __init__(
        self,
        directory: upstreams.Directory,
        decode: Callable[[str, bytes], upstreams.Announcement],
    ):
        self._directory = directory
        self._decode = decode

    def reset(self, entries: list[keyedlog.LogEntry]) -> None:
        """Take all entries that there are."""
        decoded = [self._decoded(entry) for entry in entries if entry.value]
        self._directory.replace_all(
            item for item in decoded if item is not None
        )

    def take(self, entries: list[keyedlog.LogEntry]) -> None:
        """Take what was added."""
        for entry in entries:
            if not entry.value:
                self._directory.withdraw(upstreams.UpstreamId(entry.key))
                continue
            decoded = self._decoded(entry)
            if decoded is not None:
                self._directory.announce(decoded)

    def _decoded(
        self, entry: keyedlog.LogEntry
    ) -> upstreams.Announcement | None:
        try:
            return self._decode(entry.key, entry.value)
        except errors.UpstreamError as error:
            LOG.error("entry refused", extra={"error": str(error)})
            return None
