"""Reads the records of one partition and folds them."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from postspring import keyedlog

__all__ = ["PartitionReader"]

OnEntries = Callable[[Sequence[keyedlog.LogEntry]], None]


class PartitionReader:
    """A fold, and the offset up to which it includes the partition's records.

    Parameters
    ==========

    fold_type : type
        Creates the fold, and a new one when the records have to be read from
        the start.
    on_entries : callable
        Called with the entries of each page that was read, once they are
        folded.

    Attributes
    ==========

    known_end : int
        Offset up to which the partition is known to reach.
    """

    def __init__(
        self,
        log: keyedlog.KeyedLog,
        place: keyedlog.LogPlace,
        fold_type: type,
        on_entries: OnEntries,
    ):
        self._log = log
        self._place = place
        self._fold_type = fold_type
        self._on_entries = on_entries
        self._next_offset = 0
        self.fold: Any = fold_type()
        self.known_end = 0

    def read_to(
        self,
        end: int | None,
        on_read: Callable[[], None],
        on_error: Callable[[keyedlog.KeyedLogError], None],
    ) -> None:
        """Fold up to ``end``, or up to the partition's end as of now."""

        def on_page(page: keyedlog.LogPage) -> None:
            self._fold_page(page)
            try:
                self._on_entries(page.entries)
            finally:
                continue_read(page.end if end is None else end)

        def continue_read(target: int) -> None:
            if self._next_offset >= target:
                on_read()
            else:
                self.read_to(target, on_read, on_error)

        def on_read_error(error: keyedlog.KeyedLogError) -> None:
            if isinstance(error, keyedlog.LogExpired):
                self._read_newest(end, on_read, on_error)
            else:
                on_error(error)

        self._log.read(self._place, self._next_offset, on_page, on_read_error)

    def look_up(
        self,
        start: int,
        on_found: OnEntries,
        on_error: Callable[[keyedlog.KeyedLogError], None],
    ) -> None:
        """Read entries from an offset on, and fold none of them."""
        self._log.read(
            self._place,
            start,
            lambda page: on_found(page.entries),
            on_error,
        )

    def add_appended(
        self, first: int, entries: Sequence[keyedlog.LogEntry]
    ) -> bool:
        """Fold appended records if no other ones have to be read before.

        Returns whether they are folded.
        """
        end = first + len(entries)
        self.known_end = max(self.known_end, end)
        if self._next_offset >= end:
            # Read while their append was under way.
            return True
        is_next = self._next_offset == first
        if is_next:
            for entry in entries:
                self.fold.apply(entry.value)
            self._next_offset = end
        return is_next

    # -- own ------------------------------------------------------------------

    def _fold_page(self, page: keyedlog.LogPage) -> None:
        for entry in page.entries:
            self.fold.apply(entry.value)
        self._next_offset = page.next
        self.known_end = max(self.known_end, page.end)

    def _read_newest(
        self,
        end: int | None,
        on_read: Callable[[], None],
        on_error: Callable[[keyedlog.KeyedLogError], None],
    ) -> None:
        def on_page(page: keyedlog.LogPage) -> None:
            # Compaction may have dropped records before those that are left,
            # so nothing may be decided by their order.
            self.fold = self._fold_type()
            for entry in page.entries:
                self.fold.apply(entry.value, is_ordered=False)
            self._next_offset = page.next
            try:
                self._on_entries(page.entries)
            finally:
                self.read_to(end, on_read, on_error)

        self._log.read_newest(self._place, on_page, on_error)
