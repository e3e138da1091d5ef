"""Limits on what the store sends to a VM."""

import dataclasses

__all__ = ["READ_KIBIBYTES", "StoreLimits"]

# Size of the records that one read requests.
READ_KIBIBYTES = 1024
# Bytes of keys, offsets and names of fields in a page of newest records.
PAGE_FIELD_BYTES = 1024 * 1024
# Share of the VM's memory for a partition's newest records: they are kept
# until the last page is there.
NEWEST_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limits of the store's responses, in bytes.

    Parameters
    ==========

    record : int
        Largest record.
    newest : int
        Most newest records of a partition, with the objects of each.
    append : int
        Longest response to an append, a short document.
    """

    record: int = 256 * 1024
    newest: int = 64 * 1024 * 1024
    append: int = 64 * 1024

    @classmethod
    def within(cls, record_bytes: int, memory_mb: int) -> "StoreLimits":
        """Return the limits of a VM; its memory is 0 if it is not known.

        Examples
        --------
        >>> StoreLimits.within(262144, 160).newest
        41943040
        """
        if not memory_mb:
            return cls(record_bytes)
        newest = int(NEWEST_SHARE * memory_mb * 1024 * 1024)
        return cls(record_bytes, newest)

    @property
    def page(self) -> int:
        """Longest page of records.

        The last record may begin just below the size that a read requests.
        Lengths of short records, or base64, take as much again at most.
        """
        records = 2 * (READ_KIBIBYTES * 1024 + self.record)
        return records + PAGE_FIELD_BYTES
