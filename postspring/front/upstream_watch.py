"""Turns upstreams' entries in the log into the directory."""

from collections.abc import Callable
import logging

from postspring import errors
from postspring import keyedlog
from postspring import upstreams

__all__ = ["UpstreamWatch"]

LOG = logging.getLogger(__name__)

# Ids whose entries can't be read that are kept in mind, for the log to have
# one line for each and not one for each write: some 100 kB.
MOST_UNREADABLE = 1000


class UpstreamWatch:
    """Feeds the directory from the log.

    An entry that can't be read, in place of a good one too, names no
    upstream to use: it gets no new work, and what runs there goes on.

    Parameters
    ==========

    decode : callable
        Makes an announcement of an upstream's id and its entry's bytes.
    on_refused : callable
        Called for each entry that can't be read, for counters.
    """

    def __init__(
        self,
        directory: upstreams.Directory,
        decode: Callable[[str, bytes], upstreams.Announcement],
        on_refused: Callable[[], None] = lambda: None,
    ):
        self._directory = directory
        self._decode = decode
        self._on_refused = on_refused
        self._unreadable: set[upstreams.UpstreamId] = set()

    def reset(self, entries: list[keyedlog.LogEntry]) -> None:
        """Take all entries that there are."""
        self._unreadable.clear()
        decoded = []
        unreadable = []
        for entry in entries:
            announcement = self._decoded(entry) if entry.value else None
            if announcement is not None:
                decoded.append(announcement)
            elif entry.value:
                unreadable.append(upstreams.UpstreamId(entry.key))
        self._directory.replace_all(decoded, unreadable)

    def take(self, entries: list[keyedlog.LogEntry]) -> None:
        """Take what was added."""
        for entry in entries:
            upstream = upstreams.UpstreamId(entry.key)
            if not entry.value:
                self._unreadable.discard(upstream)
                self._directory.withdraw(upstream)
                continue
            decoded = self._decoded(entry)
            if decoded is not None:
                self._directory.announce(decoded)
            else:
                self._directory.hold_back(upstream)

    def _decoded(
        self, entry: keyedlog.LogEntry
    ) -> upstreams.Announcement | None:
        upstream = upstreams.UpstreamId(entry.key)
        try:
            announcement = self._decode(entry.key, entry.value)
        except errors.UpstreamError as error:
            self._refuse(upstream, error)
            return None
        self._unreadable.discard(upstream)
        return announcement

    def _refuse(self, upstream: upstreams.UpstreamId, error) -> None:
        """Count an entry, and log the first of an upstream's in a row."""
        self._on_refused()
        if upstream in self._unreadable:
            return
        if len(self._unreadable) >= MOST_UNREADABLE:
            return
        self._unreadable.add(upstream)
        LOG.error(
            "entry refused",
            extra={"upstream": upstream, "error": str(error)},
        )
