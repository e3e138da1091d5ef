"""How large records may be, and what of them is sent in one call."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from postspring import keyedlog

__all__ = [
    "Sizes",
    "first_batch_length",
]

# Bytes that an entry takes beside its key and value.
ENTRY_OVERHEAD_BYTES = 5
# Bytes of a turn's record beside what went in and came out: ids of two turns,
# the claim, names of a VM and an upstream.
TURN_OVERHEAD_BYTES = 2048
# Of a record this much stays for what comes out of a turn, in bytes: answers
# have some ten KB.
OUTPUT_BYTES = 32 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Sizes:
    """What the log takes, in bytes.

    Parameters
    ==========

    record, call : int
        Most of one record; most of the records of one call together.
    """

    record: int = 256 * 1024
    call: int = 2 * 1024 * 1024

    @property
    def turn(self) -> int:
        """Most that may go into a turn and come out of it."""
        return self.record - TURN_OVERHEAD_BYTES

    @property
    def input(self) -> int:
        """Most that may go into a turn."""
        return self.turn - OUTPUT_BYTES


def first_batch_length(
    entries: Sequence[keyedlog.LogEntry], max_bytes: int
) -> int:
    """Return how many entries go into the first call; one at least.

    Examples
    --------
    >>> entries = [keyedlog.LogEntry("k", b"v" * 94)] * 3
    >>> first_batch(entries, 250), first_batch(entries, 50)
    (2, 1)
    """
    total = 0
    for count, size in enumerate(_entry_sizes(entries)):
        total += size
        if total > max_bytes and count:
            return count
    return len(entries)


def _entry_sizes(entries: Sequence[keyedlog.LogEntry]) -> Iterator[int]:
    for entry in entries:
        yield ENTRY_OVERHEAD_BYTES + len(entry.key.encode()) + len(entry.value)
