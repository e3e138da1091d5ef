"""Follower of a partition: reads its state, then the records added."""

from collections.abc import Callable
from collections.abc import Sequence
import logging
import math
from typing import Any
from typing import NamedTuple

from postspring.keyedlog import errors
from postspring.keyedlog import ports
from postspring.transport import timers as timers_module

__all__ = ["Follower", "Outage", "RequestView"]

LOG = logging.getLogger(__name__)

# Delay after a failed call, in seconds, and after a read that returned without
# the wait it asked for: another VM that reads for this one does not wait.
RETRY_SECONDS = 0.3
# Delays after the first, second and third read in a row that a busy log
# refuses, in seconds.  They are short because the age of a view is bounded and
# such reads are few.
BUSY_RETRY_SECONDS = (0.1, 0.15, 0.2)


RequestView = Callable[[ports.LogPlace, Callable[[ports.LogPage], None]], None]


class Outage(NamedTuple):
    """Bounds on the time in which a VM could not read the log.

    Not every failed call shows that the log was unavailable: it may not have
    been made at all, or a busy log refused it.

    Parameters
    ==========

    answered_at : float
        Start of the last successful call before the outage; seconds.
    failed_at : float
        Start of the first failed call.
    unavailable_at : float
        Start of the last call that showed the log to be unavailable: it may
        have been available again from then on.  Before the outage if no call
        showed that.
    recovered_at : float
        When a call succeeded again.

    Examples
    ========

    >>> outage = Outage(1.0, 2.0, unavailable_at=5.0, recovered_at=5.5)
    >>> outage.shortest, outage.longest
    (3.0, 4.5)
    """

    answered_at: float
    failed_at: float
    unavailable_at: float
    recovered_at: float

    @property
    def shortest(self) -> float:
        """Minimum duration in seconds; 0 if a single call failed."""
        return max(0.0, self.unavailable_at - self.failed_at)

    @property
    def longest(self) -> float:
        """Maximum duration in seconds."""
        return self.recovered_at - self.answered_at


class Follower:
    """Keeps a VM's view of one partition up to date.

    Explanation
    ===========

    Decisions on an outdated view would look like those of a bad policy.  So
    the follower exposes the age of its view, and logs when the log becomes
    unavailable and available again.

    Records have other writers, so a callback that raises an exception neither
    ends the reads nor hides the records beside the one that it fails for.

    Parameters
    ==========

    read_interval : callable
        Returns the minimum seconds between two reads: each call is paid for,
        and irrelevant records end a waiting read too.
    wait : callable
        Returns the seconds for which a read waits for a record.
    on_reset : callable
        Called with the newest record of each key, which replace all others.
    on_entries : callable
        Called with the records added since.
    on_recovered : callable
        Called with the outage when a read succeeds again, before its records
        are applied.
    request_view : callable, optional
        Requests the views of other VMs if a read fails while this VM has no
        view; called with the place and a callback for a page.

    Attributes
    ==========

    failures : int
        Number of callbacks and reads that raised an exception.
    """

    def __init__(
        self,
        log: ports.KeyedLog,
        timers: timers_module.Timers,
        place: ports.LogPlace,
        on_reset: Callable[[list[ports.LogEntry]], None],
        on_entries: Callable[[list[ports.LogEntry]], None],
        read_interval: Callable[[], float] = lambda: 0.0,
        wait: Callable[[], float] = lambda: 0.0,
        on_recovered: Callable[[Outage], None] = lambda outage: None,
        request_view: RequestView = lambda place, on_page: None,
    ):
        self._request_view = request_view
        self._newest_by_key: dict[str, ports.LogEntry] = {}
        self._log = log
        self._timers = timers
        self._place = place
        self._on_reset = on_reset
        self._on_entries = on_entries
        self._on_recovered = on_recovered
        self._read_interval = read_interval
        self._wait = wait
        self._next_offset: int | None = None
        self._read_number = 0
        self._sent_at = timers.now()
        self._may_wait = True
        self._wait_seconds = 0.0
        # Another VM's view does not count here: it may be of any age.
        self.fresh_at = -math.inf
        self._confirmed_at = -math.inf
        self._confirmed_end = -1
        self.failing_since: float | None = None
        self._answered_at = timers.now()
        self._failed_at = timers.now()
        self._unavailable_at = -math.inf
        # Number of reads in a row that a busy log refused.
        self._busy_responses = 0
        self.failures = 0

    def start(self) -> None:
        """Begin to follow the partition."""
        self._read()

    def read_now(self) -> None:
        """Abandon a pending read, which may hang, and read at once."""
        self._read()

    def read_first(self) -> None:
        """Read at once if there is no view yet, as after a start."""
        if self._next_offset is None:
            self._read()

    @property
    def age(self) -> float:
        """Seconds since the view was known to be complete.

        Counted from the start of a read, or from the end of a wait that
        brought no records; infinite until the log has responded.
        """
        return self._timers.now() - self.fresh_at

    @property
    def confirmed_age(self) -> float:
        """Seconds since the start of the last read that reached the end.

        Infinite if there was none.  The time for which a read waited for
        records is not taken into account here: only its start certainly
        precedes each record that it did not find.
        """
        return self._timers.now() - self._confirmed_at

    @property
    def confirmed_end(self) -> int:
        """Offset of the end that this read reached; -1 if there was none."""
        return self._confirmed_end

    def note_confirmed(self, end: int, at: float) -> None:
        """Apply another VM's confirmation of the partition's end.

        Parameters
        ----------
        end : int
            Offset after the last record; negative without confirmation.
        at : float
            Monotonic time of this VM that certainly precedes the start of
            the other VM's read.
        """
        has_all_records = (
            self._next_offset is not None and self._next_offset >= end
        )
        if end >= 0 and has_all_records and at > self._confirmed_at:
            self._confirmed_at = at
            self._confirmed_end = end

    @property
    def view(self) -> ports.LogPage | None:
        """The newest record of each key, or None before the first read."""
        if self._next_offset is None:
            return None
        entries = list(self._newest_by_key.values())
        return ports.LogPage(entries, self._next_offset, self._next_offset)

    # -- own ------------------------------------------------------------------

    def _read(self) -> None:
        self._read_number += 1
        self._sent_at = self._timers.now()
        read_number = self._read_number

        def on_page(page: ports.LogPage) -> None:
            if read_number == self._read_number:
                self._on_page(page)

        def on_error(error: errors.KeyedLogError) -> None:
            if read_number == self._read_number:
                self._on_error(error)

        if not self._call_safely(self._send_read, on_page, on_error):
            on_error(errors.LogUnavailable("not_sent"))

    def _send_read(
        self,
        on_page: Callable[[ports.LogPage], None],
        on_error: Callable[[errors.KeyedLogError], None],
    ) -> None:
        self._wait_seconds = 0.0
        if self._next_offset is None:
            self._log.read_newest(self._place, on_page, on_error)
            return
        can_wait = self._may_wait and self.failing_since is None
        self._wait_seconds = self._wait() if can_wait else 0.0
        self._log.read(
            self._place,
            self._next_offset,
            on_page,
            on_error,
            self._wait_seconds,
        )

    def _on_page(self, page: ports.LogPage) -> None:
        was_reset = self._next_offset is None
        self._next_offset = page.next
        self._note_success(page)
        # If records end a waiting read, their delay on the way is unknown.
        # The next read does not wait, so that the age stays low.
        self._may_wait = was_reset or not page.entries
        if was_reset:
            self._replace_view(page)
        elif page.entries:
            self._add_to_view(page.entries)
            self._apply(self._on_entries, page.entries)
        is_behind = page.next < page.end
        self._schedule_read(0.0 if is_behind else self._read_delay(page))

    def _read_delay(self, page: ports.LogPage) -> float:
        if page.entries or page.known_after >= self._wait_seconds:
            return self._read_interval()
        return max(self._read_interval(), RETRY_SECONDS)

    def _replace_view(self, page: ports.LogPage) -> None:
        earlier_keys = set(self._newest_by_key)
        self._newest_by_key.clear()
        self._add_to_view(page.entries)
        removed_keys = earlier_keys - set(self._newest_by_key)
        removals = [ports.LogEntry(key, b"") for key in sorted(removed_keys)]
        self._apply(self._on_reset, page.entries, removals)

    def _add_to_view(self, entries: list[ports.LogEntry]) -> None:
        for entry in entries:
            if entry.value:
                self._newest_by_key[entry.key] = entry
            else:
                self._newest_by_key.pop(entry.key, None)

    def _apply(
        self,
        apply: Callable[[list[ports.LogEntry]], None],
        entries: list[ports.LogEntry],
        removals: Sequence[ports.LogEntry] = (),
    ) -> None:
        """Pass records to a callback; one by one if it raises an exception.

        Parameters
        ----------
        removals
            Removals of the earlier records that ``entries`` replace.
        """
        if self._call_safely(apply, entries):
            return
        for entry in (*removals, *entries):
            self._call_safely(self._on_entries, [entry])

    def _call_safely(self, function: Callable, *arguments: Any) -> bool:
        """Call a function; return whether it raised no exception."""
        try:
            function(*arguments)
        except Exception:
            self.failures += 1
            LOG.exception(
                "follower of log failed",
                extra={"subject": self._place.subject.value},
            )
            return False
        return True

    def _on_view(self, page: ports.LogPage) -> None:
        """Start from another VM's view unless there is a view already."""
        if self._next_offset is not None:
            return
        self._next_offset = page.next
        LOG.info(
            "view of another VM",
            extra={
                "subject": self._place.subject.value,
                "entries": len(page.entries),
            },
        )
        self._replace_view(page)

    def _on_error(self, error: errors.KeyedLogError) -> None:
        if isinstance(error, errors.LogExpired):
            self._next_offset = None
            self._schedule_read(0.0)
            return
        if error.shows_outage:
            self._unavailable_at = self._sent_at
        if self.failing_since is None:
            self._failed_at = self._sent_at
            self.failing_since = self._timers.now()
            LOG.warning(
                "log lost",
                extra={
                    "subject": self._place.subject.value,
                    "reason": str(error),
                },
            )
        if self._next_offset is None:
            self._call_safely(self._request_view, self._place, self._on_view)
        self._schedule_read(self._retry_delay(error))

    def _retry_delay(self, error: errors.KeyedLogError) -> float:
        """Return the seconds after which a failed read is retried."""
        if not isinstance(error, errors.LogBusy):
            self._busy_responses = 0
            if self._next_offset is not None:
                return RETRY_SECONDS
            # Nothing can be served before the first view, so that a read that
            # hung is not followed by a pause as well.
            elapsed = self._timers.now() - self._sent_at
            return max(0.0, RETRY_SECONDS - elapsed)
        delays = BUSY_RETRY_SECONDS[self._busy_responses :]
        self._busy_responses += 1
        return delays[0] if delays else RETRY_SECONDS

    def _note_success(self, page: ports.LogPage) -> None:
        now = self._timers.now()
        self._busy_responses = 0
        if page.next >= page.end:
            self.fresh_at = min(now, self._sent_at + page.known_after)
        if page.next == page.end:
            self.note_confirmed(page.end, self._sent_at)
        outage = Outage(
            self._answered_at, self._failed_at, self._unavailable_at, now
        )
        self._answered_at = self._sent_at
        if self.failing_since is None:
            return
        seconds = now - self.failing_since
        self.failing_since = None
        LOG.info(
            "log regained",
            extra={
                "subject": self._place.subject.value,
                "seconds": round(seconds, 3),
                "longest": round(outage.longest, 3),
                "shortest": round(outage.shortest, 3),
            },
        )
        self._call_safely(self._on_recovered, outage)

    def _schedule_read(self, seconds: float) -> None:
        read_number = self._read_number
        self._timers.call_later(seconds, self._read_if_current, read_number)

    def _read_if_current(self, read_number: int) -> None:
        if read_number == self._read_number:
            self._read()
