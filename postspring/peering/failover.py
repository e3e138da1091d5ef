"""The log by way of another VM, while this one can't reach it."""

from collections.abc import Callable
import logging
import math

from postspring import keyedlog
from postspring.peering import avoidance
from postspring.peering import failover_call
from postspring.peering import members as members_module
from postspring.transport import timers as timers_module

__all__ = ["FailoverLog"]

LOG = logging.getLogger(__name__)

# A direct call without an answer for this long is made by another VM as
# well, in seconds: usual answers take 4 ms, the slow store's 0.25 s.
HEDGE_SECONDS = 0.3
# But not before it is late for what appends take of late: a slow log was taken
# for one out of reach, and each call made twice.  At the latest after this
# long, in seconds: a turn waits for 0.6 s.
LONGEST_HEDGE_SECONDS = 0.5
# An append is not made by another VM before this long while the log takes
# other calls of this one, in seconds: made twice, appends of a slow log queue
# up.  Its own time-out is 1.2 s.
LONGEST_APPEND_SECONDS = 1.0
# While the direct way fails, it is tried again this often, in seconds.
PROBE_SECONDS = 0.5
# The same for reads that have a bound, in seconds: their callers pause.
BOUNDED_PROBE_SECONDS = 0.1
# A VM that could not help is not asked for this long, in seconds.
AVOID_SECONDS = 1.0
# After so many failures without a success the whole log counts as out of
# reach; before, the partitions that failed.
FAILURES_IN_A_ROW = 3
# A partition that no way leads to is only tried directly for this long, in
# seconds: each call is paid for, failed ones too.
PLACE_AWAY_SECONDS = 2.0
# When calls have had no answer for this long the log counts as down, in
# seconds.  Then calls fail at once but for one in each PROBE_SECONDS: all VMs
# together would otherwise send it thousands of calls a second.
BREAKER_SECONDS = 0.5
# A way that has been lost for this long is not expected back at once, in
# seconds; the end of a turn waits about as long.
LOST_SECONDS = 1.0
# A log that has taken a call within this time and refuses others as too many
# is busy; otherwise it turns this VM away.  In seconds.
BUSY_SECONDS = 1.0


class FailoverLog(keyedlog.KeyedLog):
    """Calls the log directly, or through other VMs while that fails.

    Parameters
    ==========

    direct : KeyedLog
        The log.
    through : callable
        Returns the log as reached through a member.
    members : callable
        Returns the other VMs, best helpers first.
    on_change : callable
        Called when the direct way is lost, and when the log answers again.
    """

    def __init__(
        self,
        direct: keyedlog.KeyedLog,
        through: Callable[[members_module.Member], keyedlog.KeyedLog],
        members: Callable[[], list[members_module.Member]],
        timers: timers_module.Timers,
        on_change: Callable[[], None] = lambda: None,
    ):
        self._on_change = on_change
        self._is_down = False
        self._helper: str | None = None
        # Calls in a row that failed by all ways, by whether they were for the
        # configuration: a partition that is away says nothing of that.
        self.calls_in_vain = {True: 0, False: 0}
        # When the first call was made that nothing has answered since.
        self._unanswered_since: float | None = None
        self._answered_at = timers.now()
        self._taken_at = -math.inf
        self._append_time = keyedlog.UsualTime()
        self.direct = direct
        self._through = through
        self._members = members
        self._timers = timers
        self._failing_since: float | None = None
        self._failures_in_a_row = 0
        self._probed_at = -math.inf
        self._way_probed_at = -math.inf
        self._was_down = False
        self._probed_at_by_place: dict[keyedlog.LogPlace, float] = {}
        self._avoided = avoidance.AvoidedVms(AVOID_SECONDS, timers.now)
        self._away_until: dict[keyedlog.LogPlace, float] = {}

    @property
    def is_direct(self) -> bool:
        """Whether the direct way leads to the log at all."""
        return self._failing_since is None

    @property
    def takes_calls(self) -> bool:
        """Whether the log has taken a call of this VM lately."""
        return self._timers.now() - self._taken_at < BUSY_SECONDS

    @property
    def reaches_log(self) -> bool:
        """Whether the direct way leads to the log, if not for each call.

        Answers that are lost one after the other look like a lost way, and
        most interruptions are short: it counts as one that leads there for
        as long as what is asked of this VM may wait for its return.
        """
        if self.is_direct or self.takes_calls:
            return True
        return self._timers.now() - self._failing_since < LOST_SECONDS

    def has_taken_since(self, moment: float) -> bool:
        """Whether the direct way has answered since a moment."""
        return self._taken_at > moment

    @property
    def silence(self) -> float:
        """Seconds since the log answered, by any way."""
        return self._timers.now() - self._answered_at

    @property
    def is_broken(self) -> bool:
        """Whether no way has led to the log for some time.

        Counted from a call that was not answered: a VM of many makes few
        calls, and took its own rest for an outage.
        """
        since = self._unanswered_since
        if self.is_direct or since is None:
            return False
        return self._timers.now() - since > BREAKER_SECONDS

    @property
    def is_down(self) -> bool:
        """Whether the last call failed, by all ways."""
        return self._is_down

    def append(self, place, entries, on_done, on_error) -> None:
        """Append records, by one way or another."""

        def start(log, done, failed) -> None:
            began = self._timers.now()

            def appended(first: int) -> None:
                if log is self.direct:
                    self._append_time.note(self._timers.now() - began)
                done(first)

            log.append(place, entries, appended, failed)

        hedge = self._append_time.late_after(
            HEDGE_SECONDS, LONGEST_HEDGE_SECONDS
        )
        longer = hedge - HEDGE_SECONDS
        more = LONGEST_APPEND_SECONDS - hedge
        self._call(place, start, on_done, on_error, longer, more)

    def read(self, place, start, on_page, on_error, wait=0.0) -> None:
        """Read records, by one way or another.

        Only a way that works is read with a wait: reads that waited on a
        lost way, and at VMs that were turned away as well, left VMs with
        configurations that were 8 s old.
        """
        if not self.works(place):
            wait = 0.0
        began = self._timers.now()

        def begin(log, done, failed) -> None:
            waits = log is self.direct and self.works(place)
            way_wait = wait if waits else 0.0
            later = self._timers.now() - began

            def take(page: keyedlog.LogPage) -> None:
                known_after = page.known_after + later
                done(page._replace(known_after=known_after))

            log.read(place, start, take, failed, way_wait)

        self._call(place, begin, on_page, on_error, wait)

    def read_newest(self, place, on_page, on_error) -> None:
        """Read the newest records, by one way or another."""

        def start(log, done, failed) -> None:
            log.read_newest(place, done, failed)

        self._call(place, start, on_page, on_error)

    def _call(
        self, place, start, on_done, on_error, wait=0.0, more=0.0
    ) -> None:
        timeout = HEDGE_SECONDS + wait
        failover_call.FailoverCall(
            self, place, start, on_done, on_error, timeout, more
        ).start()

    # -- for calls ------------------------------------------------------------

    def note_asked(self) -> None:
        """Take note that a call begins."""
        if self._unanswered_since is None:
            self._unanswered_since = self._timers.now()

    def fails_at_once(self, place: keyedlog.LogPlace) -> bool:
        """Return whether a call should fail at once, for the log is down.

        The configuration is always asked for: it has to be in force soon
        after the log's return, and its reads are few.
        """
        if not self.is_broken:
            return False
        if place.subject is keyedlog.Subject.CONFIGURATION:
            return False
        now = self._timers.now()
        if now - self._probed_at < PROBE_SECONDS:
            self._was_down = True
            return True
        self._probed_at = now
        return False

    def works(self, place: keyedlog.LogPlace) -> bool:
        """Return whether the direct way works, as far as is known."""
        return self.is_direct and place not in self._probed_at_by_place

    def try_direct(self, place: keyedlog.LogPlace) -> bool:
        """Return whether a call should go the direct way.

        Not while the partition, or the whole log, can't be reached that
        way, but for a try now and then.  One that hangs keeps its caller
        waiting until others are asked, so a lost way is tried once for all
        partitions; but the reads that have a bound are few, and try it
        themselves.
        """
        if self.works(place):
            return True
        now = self._timers.now()
        probed_at = self._probed_at_by_place.get(place, -math.inf)
        pause = PROBE_SECONDS
        if keyedlog.is_bounded(place):
            pause = BOUNDED_PROBE_SECONDS
        elif not self.is_direct:
            probed_at = max(probed_at, self._way_probed_at)
        if now - probed_at < pause:
            return False
        self._probed_at_by_place[place] = self._way_probed_at = now
        return True

    def direct_done(self, place: keyedlog.LogPlace) -> None:
        """Take note that the direct way works."""
        self._taken_at = self._timers.now()
        self._failures_in_a_row = 0
        self._probed_at_by_place.pop(place, None)
        if self._failing_since is not None:
            seconds = self._timers.now() - self._failing_since
            self._failing_since = None
            LOG.info("direct way back", extra={"seconds": round(seconds, 2)})
            self._timers.call_later(0, self._on_change)

    def direct_failed(
        self, place: keyedlog.LogPlace, reason: str, sent_at: float
    ) -> None:
        """Take note that a call by the direct way was not answered.

        If another one was since, the way is not lost: the partition may be
        away, or the answer was lost.
        """
        now = self._timers.now()
        self._probed_at_by_place.setdefault(place, now)
        if self.has_taken_since(sent_at):
            return
        self._failures_in_a_row += 1
        if self._failing_since is not None:
            return
        if self._failures_in_a_row >= FAILURES_IN_A_ROW:
            self._failing_since = now
            LOG.info("direct way lost", extra={"reason": reason})
            self._timers.call_later(0, self._on_change)

    def direct_refused(self, place: keyedlog.LogPlace) -> None:
        """Take note that the log, as busy as it is, refused a call."""
        self._probed_at_by_place[place] = self._timers.now()

    def note_outcome(self, place: keyedlog.LogPlace, is_down: bool) -> None:
        """Take note of how a call ended."""
        self._is_down = is_down
        if not is_down:
            self._answered_at = self._timers.now()
            self._unanswered_since = None
            if self._was_down:
                self._was_down = False
                self._timers.call_later(0, self._on_change)
            self._away_until.pop(place, None)
        elif self._away_until.get(place, 0.0) <= self._timers.now():
            until = self._timers.now() + PLACE_AWAY_SECONDS
            self._away_until[place] = until

    def helpers(self, place: keyedlog.LogPlace) -> list[members_module.Member]:
        """Return the VMs to ask for help with a partition."""
        now = self._timers.now()
        is_away = self._away_until.get(place, 0.0) > now
        if is_away and place.subject is not keyedlog.Subject.CONFIGURATION:
            return []
        found = [
            member for member in self._members() if member not in self._avoided
        ]
        found.sort(key=lambda member: member.name != self._helper)
        return found

    @property
    def has_helper(self) -> bool:
        """Whether another VM has helped, and none has failed since."""
        return self._helper is not None

    def note_helper(self, member: members_module.Member) -> None:
        """Ask a VM that helped first, and alone, the next time."""
        self._helper = member.name

    def through(self, member: members_module.Member) -> keyedlog.KeyedLog:
        """Return the log as reached through a VM."""
        return self._through(member)

    def avoid(self, member: members_module.Member, asked_at: float) -> None:
        """Don't ask a VM for a while that was asked in vain.

        Counted from the question: calls that hang on connections that fell
        silent together end one after the other, and each one kept the only
        helper away for 1 s more (a configuration known after 2.2 to 2.5 s).
        """
        if member.name == self._helper:
            self._helper = None
        self._avoided.add(member, asked_at)

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._timers.now()

    def call_later(self, seconds: float, function: Callable):
        """Call a function later."""
        return self._timers.call_later(seconds, function)
