"""Size limits of records and of append calls."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses

from postspring import keyedlog

__all__ = ["SizeLimits", "first_batch_length"]

# Bytes that an entry takes besides its key and value.
ENTRY_OVERHEAD_BYTES = 5
# Bytes of a turn's record besides its input and output: the ids of two turns,
# the claim, the names of a VM and an upstream.
TURN_OVERHEAD_BYTES = 2048
# Bytes of a record that are kept free for a turn's output: answers have some
# ten KB.
OUTPUT_BYTES = 32 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class SizeLimits:
    """Size limits of the log, in bytes.

    Parameters
    ==========

    record, call : int
        Largest record; largest total of the records in one call.
    """

    record: int = 256 * 1024
    call: int = 2 * 1024 * 1024

    @property
    def turn(self) -> int:
        """Largest total of a turn's input and output."""
        return self.record - TURN_OVERHEAD_BYTES

    @property
    def input(self) -> int:
        """Largest input of a turn."""
        return self.turn - OUTPUT_BYTES


def first_batch_length(
    entries: Sequence[keyedlog.LogEntry], max_bytes: int
) -> int:
    """Return how many entries fit into the first call, at least one.

    Examples
    --------
    >>> entries = [keyedlog.LogEntry("k", b"v" * 94)] * 3
    >>> first_batch_length(entries, 250), first_batch_length(entries, 50)
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
