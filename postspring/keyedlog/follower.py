"""Follows a partition: all there is, then what is added."""

from collections.abc import Callable
import logging
import math
from typing import NamedTuple

from postspring.keyedlog import errors
from postspring.keyedlog import ports
from postspring.transport import timers as timers_module

__all__ = ["AskOthers", "Follower", "Outage"]

LOG = logging.getLogger(__name__)

# Pause after a failed call, in seconds, and after a read that was meant to
# wait and did not: another VM reads without.
RETRY_SECONDS = 0.3
# Pauses after a busy log refused a read, the first, the second and so on; in
# seconds.  What is read has a bound, and such reads are few.
BUSY_RETRY_SECONDS = (0.1, 0.15, 0.2)


AskOthers = Callable[[ports.LogPlace, Callable[[ports.LogPage], None]], None]


class Outage(NamedTuple):
    """What a VM can tell of the time in which it could not read the log.

    Not every call that failed shows that the log was away: one may not have
    been made at all, or was refused as one too many.

    Parameters
    ==========

    answered_at : float
        When the last call that was answered before it was made; seconds.
    lost_at : float
        When the first call that failed was made.
    away_at : float
        When the last call was made that showed the log to be away: it may
        have been back from then on.  Before the outage if there was none.
    regained_at : float
        When a call was answered again.

    Examples
    ========

    >>> outage = Outage(1.0, 2.0, away_at=5.0, regained_at=5.5)
    >>> outage.shortest, outage.longest
    (3.0, 4.5)
    """

    answered_at: float
    lost_at: float
    away_at: float
    regained_at: float

    @property
    def shortest(self) -> float:
        """Seconds that it lasted at least; 0 if one call alone failed."""
        return max(0.0, self.away_at - self.lost_at)

    @property
    def longest(self) -> float:
        """Seconds that it lasted at most."""
        return self.regained_at - self.answered_at


class Follower:
    """Keeps a VM's view of one partition up to date.

    Explanation
    ===========

    A follower that silently stops would look like a bad policy, so it says
    how old its view is, and when it lost and regained the log.

    Parameters
    ==========

    pace : callable
        Returns the least seconds between two reads: each call is paid for,
        and records of no interest end a waiting read as well.
    wait : callable
        Returns the seconds that a read waits for a record.
    on_reset : callable
        Called with the newest record of each key, which is all there is.
    on_entries : callable
        Called with what was added since.
    on_regained : callable
        Called with the outage when the log answers again, before the
        records that were read.
    ask_others : callable, optional
        Asks other VMs for their view while the log does not answer; called
        with the place and who takes a page.
    """

    def __init__(
        self,
        log: ports.KeyedLog,
        timers: timers_module.Timers,
        place: ports.LogPlace,
        on_reset: Callable[[list[ports.LogEntry]], None],
        on_entries: Callable[[list[ports.LogEntry]], None],
        pace: Callable[[], float] = lambda: 0.0,
        wait: Callable[[], float] = lambda: 0.0,
        on_regained: Callable[[Outage], None] = lambda outage: None,
        ask_others: AskOthers = lambda place, on_page: None,
    ):
        self._ask_others = ask_others
        self._newest_by_key: dict[str, ports.LogEntry] = {}
        self._log = log
        self._timers = timers
        self._place = place
        self._on_reset = on_reset
        self._on_entries = on_entries
        self._on_regained = on_regained
        self._pace = pace
        self._wait = wait
        self._next: int | None = None
        self._round = 0
        self._sent_at = timers.now()
        self._may_wait = True
        self._asked = 0.0
        # What another VM told does not count: it may be of any age.
        self.fresh_at = -math.inf
        self._confirmed_at = -math.inf
        self._confirmed_end = -1
        self.lost_since: float | None = None
        self._answered_at = timers.now()
        self._lost_at = timers.now()
        self._away_at = -math.inf
        # Reads in a row that a busy log refused.
        self._refusals = 0

    def start(self) -> None:
        """Begin to follow."""
        self._read()

    def read_now(self) -> None:
        """Drop a read that may hang, and read at once."""
        self._read()

    @property
    def age(self) -> float:
        """Seconds since when records may be missing here.

        Counted from when the log was asked, or had waited in vain; without
        end while it has not answered yet.
        """
        return self._timers.now() - self.fresh_at

    @property
    def confirmed_age(self) -> float:
        """Seconds since the start of the last call that found nothing more.

        Without end while there was none.  That a call waited in vain counts
        for nothing here: only its start is certain to lie before whatever
        it did not find.
        """
        return self._timers.now() - self._confirmed_at

    @property
    def confirmed_end(self) -> int:
        """Offset at which the records ended then; -1 if there was none."""
        return self._confirmed_end

    def note_confirmed(self, end: int, at: float) -> None:
        """Take note that the log confirmed to another VM where it ends.

        Parameters
        ----------
        end : int
            Behind the last record.
        at : float
            Monotonic time of this VM that lies before that for certain.
        """
        knows_all = self._next is not None and self._next >= end
        if end >= 0 and knows_all and at > self._confirmed_at:
            self._confirmed_at = at
            self._confirmed_end = end

    @property
    def view(self) -> ports.LogPage | None:
        """The newest record of each key, as this VM knows them."""
        if self._next is None:
            return None
        entries = list(self._newest_by_key.values())
        return ports.LogPage(entries, self._next, self._next)

    # -- own ------------------------------------------------------------------

    def _read(self) -> None:
        self._round += 1
        self._sent_at = self._timers.now()
        number = self._round

        def on_page(page: ports.LogPage) -> None:
            if number == self._round:
                self._take(page)

        def on_error(error: errors.KeyedLogError) -> None:
            if number == self._round:
                self._failed(error)

        self._asked = 0.0
        if self._next is None:
            self._log.read_newest(self._place, on_page, on_error)
        else:
            can_wait = self._may_wait and self.lost_since is None
            self._asked = self._wait() if can_wait else 0.0
            self._log.read(
                self._place, self._next, on_page, on_error, self._asked
            )

    def _take(self, page: ports.LogPage) -> None:
        was_reset = self._next is None
        self._next = page.next
        self._note_success(page)
        # When records end a read that waited, nobody knows how late they
        # were; the next read does not wait, so that the age stays low.
        self._may_wait = was_reset or not page.entries
        self._keep(page, was_reset)
        if was_reset:
            self._on_reset(page.entries)
        elif page.entries:
            self._on_entries(page.entries)
        behind = page.next < page.end
        self._plan(0.0 if behind else self._pause(page))

    def _pause(self, page: ports.LogPage) -> float:
        if page.entries or page.known_after >= self._asked:
            return self._pace()
        return max(self._pace(), RETRY_SECONDS)

    def _keep(self, page: ports.LogPage, was_reset: bool) -> None:
        if was_reset:
            self._newest_by_key.clear()
        for entry in page.entries:
            if entry.value:
                self._newest_by_key[entry.key] = entry
            else:
                self._newest_by_key.pop(entry.key, None)

    def _take_view(self, page: ports.LogPage) -> None:
        """Begin with another VM's view: the log has not answered yet."""
        if self._next is not None:
            return
        self._next = page.next
        self._keep(page, was_reset=True)
        LOG.info(
            "view of another VM",
            extra={
                "subject": self._place.subject.value,
                "entries": len(page.entries),
            },
        )
        self._on_reset(page.entries)

    def _failed(self, error: errors.KeyedLogError) -> None:
        if isinstance(error, errors.LogExpired):
            self._next = None
            self._plan(0.0)
            return
        if error.shows_away:
            self._away_at = self._sent_at
        if self.lost_since is None:
            self._lost_at = self._sent_at
            self.lost_since = self._timers.now()
            LOG.warning(
                "log lost",
                extra={
                    "subject": self._place.subject.value,
                    "reason": str(error),
                },
            )
        if self._next is None:
            self._ask_others(self._place, self._take_view)
        self._plan(self._pause_after(error))

    def _pause_after(self, error: errors.KeyedLogError) -> float:
        """Return the seconds until a read that failed is made again."""
        if not isinstance(error, errors.LogBusy):
            self._refusals = 0
            return RETRY_SECONDS
        pauses = BUSY_RETRY_SECONDS[self._refusals :]
        self._refusals += 1
        return pauses[0] if pauses else RETRY_SECONDS

    def _note_success(self, page: ports.LogPage) -> None:
        now = self._timers.now()
        self._refusals = 0
        if page.next >= page.end:
            self.fresh_at = min(now, self._sent_at + page.known_after)
        if page.next == page.end:
            self.note_confirmed(page.end, self._sent_at)
        outage = Outage(self._answered_at, self._lost_at, self._away_at, now)
        self._answered_at = self._sent_at
        if self.lost_since is None:
            return
        seconds = now - self.lost_since
        self.lost_since = None
        LOG.info(
            "log regained",
            extra={
                "subject": self._place.subject.value,
                "seconds": round(seconds, 3),
                "longest": round(outage.longest, 3),
                "shortest": round(outage.shortest, 3),
            },
        )
        self._on_regained(outage)

    def _plan(self, seconds: float) -> None:
        number = self._round
        self._timers.call_later(seconds, self._read_if, number)

    def _read_if(self, number: int) -> None:
        if number == self._round:
            self._read()
