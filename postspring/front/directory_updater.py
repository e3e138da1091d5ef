"""Applies upstreams' entries from the log to the directory."""

from collections.abc import Callable
import logging

from postspring import errors
from postspring import keyedlog
from postspring import upstreams

__all__ = ["DirectoryUpdater"]

LOG = logging.getLogger(__name__)

# Ids of upstreams with an unreadable entry that are remembered, so that each
# is logged once and not at every write; further ones are only counted.  They
# take about 100 kB.
MAX_UNREADABLE_IDS = 1000


class DirectoryUpdater:
    """Applies log entries to the directory of upstreams.

    An upstream whose newest entry can't be decoded gets no new work, even if
    an earlier entry was valid; calls that are running there continue.

    Parameters
    ==========

    decode : callable
        Returns the announcement for an upstream's id and its entry's bytes;
        raises :class:`~.errors.UpstreamError` if they encode none.
    on_unreadable : callable
        Called for each entry that can't be decoded, for metrics.
    """

    def __init__(
        self,
        directory: upstreams.Directory,
        decode: Callable[[str, bytes], upstreams.Announcement],
        on_unreadable: Callable[[], None] = lambda: None,
    ):
        self._directory = directory
        self._decode = decode
        self._on_unreadable = on_unreadable
        self._unreadable: set[upstreams.UpstreamId] = set()

    def replace_entries(self, entries: list[keyedlog.LogEntry]) -> None:
        """Replace the directory's content by the newest entry of each key."""
        self._unreadable.clear()
        decoded = []
        unreadable = []
        for entry in entries:
            announcement = self._decode_entry(entry) if entry.value else None
            if announcement is not None:
                decoded.append(announcement)
            elif entry.value:
                unreadable.append(upstreams.UpstreamId(entry.key))
        self._directory.replace_all(decoded, unreadable)

    def apply_entries(self, entries: list[keyedlog.LogEntry]) -> None:
        """Apply entries that were added to the log, in order."""
        for entry in entries:
            upstream = upstreams.UpstreamId(entry.key)
            if not entry.value:
                self._unreadable.discard(upstream)
                self._directory.withdraw(upstream)
                continue
            announcement = self._decode_entry(entry)
            if announcement is not None:
                self._directory.announce(announcement)
            else:
                self._directory.mark_unreadable(upstream)

    def _decode_entry(
        self, entry: keyedlog.LogEntry
    ) -> upstreams.Announcement | None:
        upstream = upstreams.UpstreamId(entry.key)
        try:
            announcement = self._decode(entry.key, entry.value)
        except errors.UpstreamError as error:
            self._report_unreadable(upstream, error)
            return None
        self._unreadable.discard(upstream)
        return announcement

    def _report_unreadable(
        self, upstream: upstreams.UpstreamId, error
    ) -> None:
        """Count an unreadable entry; log an upstream's first in a row."""
        self._on_unreadable()
        if upstream in self._unreadable:
            return
        if len(self._unreadable) >= MAX_UNREADABLE_IDS:
            return
        self._unreadable.add(upstream)
        LOG.error(
            "could not decode entry of upstream",
            extra={"upstream": upstream, "error": str(error)},
        )
