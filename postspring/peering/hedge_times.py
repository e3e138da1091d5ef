"""How long the log's answers take, and when a call is made elsewhere too."""

from postspring import keyedlog

__all__ = ["HEDGE_SECONDS", "HedgeTimes"]

# A direct call without a response for this long is hedged: another VM makes it
# as well.  Usual responses take 4 ms, those of a slow store 0.25 s.
HEDGE_SECONDS = 0.3
# Appends are hedged later while they have recently taken long: a slow log
# counted as unreachable, and each call was made twice.  This is the upper
# bound; a turn waits for 0.6 s.
MAX_HEDGE_SECONDS = 0.5
# An append is not hedged before this time while the log accepts other calls of
# this VM, and later still if they are as late: appends that are made twice
# queue up in a slow log.
MAX_APPEND_HEDGE_SECONDS = 1.0
# The upper bound for reads.  A partition with a late read counts as
# unreachable, and its appends were made through several other VMs.
MAX_READ_HEDGE_SECONDS = 1.2
# Appends that take longer show that the log is slow, in seconds.
SLOW_APPEND_SECONDS = 0.1
# If the log has accepted a call within this time, its refusals for too many
# calls mean that it is busy; otherwise that it refuses all calls of this VM.
BUSY_SECONDS = 1.0
# The same for a log that is slow: its answers come as far apart as it takes.
MAX_BUSY_SECONDS = 2.0


class HedgeTimes:
    """Times of the hedges of direct calls, by how long the last ones took.

    Examples
    ========

    >>> times = HedgeTimes()
    >>> times.read_extension, times.append_extension, times.append_wait
    (0.0, 0.0, 0.7)
    >>> for _ in range(9):
    ...     times.note_read(1.0)
    >>> round(times.read_extension, 3)
    0.9
    """

    def __init__(self):
        self._append_time = keyedlog.AverageDuration()
        self._read_time = keyedlog.AverageDuration()

    def note_append(self, seconds: float) -> None:
        """Note how long an append took."""
        self._append_time.note(seconds)

    def note_read(self, seconds: float) -> None:
        """Note how long a read took that did not wait for records."""
        self._read_time.note(seconds)

    @property
    def is_slow(self) -> bool:
        """Whether appends have taken long of late."""
        return self._append_time.seconds >= SLOW_APPEND_SECONDS

    @property
    def busy_seconds(self) -> float:
        """Seconds since an answer within which the log accepts calls."""
        return self._append_time.late_threshold(BUSY_SECONDS, MAX_BUSY_SECONDS)

    @property
    def read_extension(self) -> float:
        """Seconds for which a read is hedged later than usual."""
        hedge = self._read_time.late_threshold(
            HEDGE_SECONDS, MAX_READ_HEDGE_SECONDS
        )
        return hedge - HEDGE_SECONDS

    @property
    def append_extension(self) -> float:
        """Seconds for which an append is hedged later than usual."""
        return self._append_hedge - HEDGE_SECONDS

    @property
    def append_wait(self) -> float:
        """Additional seconds while the log accepts other calls."""
        return MAX_APPEND_HEDGE_SECONDS - self._append_hedge

    @property
    def _append_hedge(self) -> float:
        return self._append_time.late_threshold(
            HEDGE_SECONDS, MAX_HEDGE_SECONDS
        )
