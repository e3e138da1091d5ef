"""The log by way of another VM, while this one can't reach it."""

from collections.abc import Callable
import functools
import logging
import math

from postspring import keyedlog
from postspring.peering import members as members_module
from postspring.transport import timers as timers_module

__all__ = ["FailoverLog"]

LOG = logging.getLogger(__name__)

# A direct call without an answer for this long is made by another VM as
# well, in seconds: usual answers take 4 ms, the slow store's 0.25 s.
HEDGE_SECONDS = 0.3
# While the direct way fails, it is tried again this often, in seconds.
PROBE_SECONDS = 0.5
# A VM that could not help is not asked for this long, in seconds.
AVOID_SECONDS = 1.0
MAX_HELPERS = 2
# After so many failures without a success the whole log counts as out of
# reach; before, the partitions that failed.
FAILURES_IN_A_ROW = 3
# A partition that no way leads to is only tried directly for this long, in
# seconds: each call is paid for, failed ones too.
PLACE_AWAY_SECONDS = 2.0
# Without any answer for this long the log counts as down, in seconds: then
# calls fail at once but for one in each PROBE_SECONDS.  All VMs together
# would otherwise send it thousands of calls a second.
BREAKER_SECONDS = 0.5
# Then a call is given up after this long, in seconds: above the hedge, and
# below the store's own time-out, so that the next one is soon made.
BROKEN_PATIENCE_SECONDS = 0.5
# A log that has taken a call within this time and refuses others as too many
# is busy; otherwise it turns this VM away.  In seconds.
BUSY_SECONDS = 1.0
# Longest wait of a read that another VM makes, in seconds: below the time
# that it gives a call.
HELPED_WAIT_SECONDS = 0.8


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
        self._answered_at = timers.now()
        self._taken_at = -math.inf
        self._direct = direct
        self._through = through
        self._members = members
        self._timers = timers
        self._failing_since: float | None = None
        self._failures_in_a_row = 0
        self._probed_at = -math.inf
        self._was_down = False
        self._probed_at_by_place: dict[keyedlog.LogPlace, float] = {}
        self._avoided_until: dict[str, float] = {}
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
    def silence(self) -> float:
        """Seconds since the log answered, by any way."""
        return self._timers.now() - self._answered_at

    @property
    def is_broken(self) -> bool:
        """Whether no way has led to the log for some time."""
        return not self.is_direct and self.silence > BREAKER_SECONDS

    @property
    def is_down(self) -> bool:
        """Whether the last call failed, by all ways."""
        return self._is_down

    def append(self, place, entries, on_done, on_error) -> None:
        """Append records, by one way or another."""

        def start(log, done, failed) -> None:
            log.append(place, entries, done, failed)

        _Call(self, place, start, on_done, on_error, HEDGE_SECONDS).start()

    def read(self, place, start, on_page, on_error, wait=0.0) -> None:
        """Read records, by one way or another."""

        began = self._timers.now()

        def begin(log, done, failed) -> None:
            longest = wait if log is self._direct else HELPED_WAIT_SECONDS
            later = self._timers.now() - began

            def take(page: keyedlog.LogPage) -> None:
                known_after = page.known_after + later
                done(page._replace(known_after=known_after))

            log.read(place, start, take, failed, min(wait, longest))

        patience = HEDGE_SECONDS + wait
        _Call(self, place, begin, on_page, on_error, patience).start()

    def read_newest(self, place, on_page, on_error) -> None:
        """Read the newest records, by one way or another."""

        def start(log, done, failed) -> None:
            log.read_newest(place, done, failed)

        _Call(self, place, start, on_page, on_error, HEDGE_SECONDS).start()

    # -- for calls ------------------------------------------------------------

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

    def try_direct(self, place: keyedlog.LogPlace) -> bool:
        """Return whether a call should go the direct way.

        Not while the partition, or the whole log, can't be reached that
        way, but for a try now and then.
        """
        probed_at = self._probed_at_by_place.get(place)
        if probed_at is None and self.is_direct:
            return True
        now = self._timers.now()
        if probed_at is not None and now - probed_at < PROBE_SECONDS:
            return False
        self._probed_at_by_place[place] = now
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

    def direct_failed(self, place: keyedlog.LogPlace, reason: str) -> None:
        """Take note that the direct way does not work."""
        now = self._timers.now()
        self._probed_at_by_place.setdefault(place, now)
        self._failures_in_a_row += 1
        if self._failing_since is not None:
            return
        if self._failures_in_a_row >= FAILURES_IN_A_ROW:
            self._failing_since = now
            LOG.info("direct way lost", extra={"reason": reason})
            self._timers.call_later(0, self._on_change)

    def note_outcome(self, place: keyedlog.LogPlace, is_down: bool) -> None:
        """Take note of how a call ended."""
        self._is_down = is_down
        if not is_down:
            self._answered_at = self._timers.now()
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
        if self._away_until.get(place, 0.0) > now:
            return []
        found = [
            member
            for member in self._members()
            if self._avoided_until.get(member.name, 0.0) <= now
        ]
        return found[:MAX_HELPERS]

    def through(self, member: members_module.Member) -> keyedlog.KeyedLog:
        """Return the log as reached through a VM."""
        return self._through(member)

    def avoid(self, member: members_module.Member) -> None:
        """Don't ask a VM again for a while."""
        until = self._timers.now() + AVOID_SECONDS
        self._avoided_until[member.name] = until

    def call_later(self, seconds: float, function: Callable):
        """Call a function later."""
        return self._timers.call_later(seconds, function)


class _Call:
    """One call; the first way that succeeds ends it."""

    def __init__(
        self, log: FailoverLog, place, start, on_done, on_error, patience
    ):
        self._log = log
        self._place = place
        self._start = start
        self._on_done = on_done
        self._on_error = on_error
        self._patience = patience
        self._open = 0
        self._helpers: list[members_module.Member] | None = None
        self._finished = False
        self._timer = None
        self._limit = None

    def start(self) -> None:
        """Go the direct way if it may work, else through another VM.

        While the log does not answer at all, a call that hangs would keep
        the next one from hearing that it is back.
        """
        if self._log.is_broken:
            self._limit = self._log.call_later(
                BROKEN_PATIENCE_SECONDS, self._give_up
            )
        if self._log.fails_at_once(self._place):
            error = keyedlog.LogDown("down")
            self._log.call_later(0, functools.partial(self._fail, error))
        elif self._log.try_direct(self._place):
            self._open += 1
            self._timer = self._log.call_later(self._patience, self._overdue)
            self._start(
                self._log._direct, self._direct_done, self._direct_failed
            )
        else:
            self._ask(keyedlog.LogUnavailable("direct way lost"))

    def _direct_done(self, result) -> None:
        self._log.direct_done(self._place)
        self._done(result)

    def _direct_failed(self, error: keyedlog.KeyedLogError) -> None:
        self._open -= 1
        if isinstance(error, keyedlog.LogExpired):
            self._log.direct_done(self._place)
            self._fail(error)
            return
        if isinstance(error, keyedlog.LogBusy) and self._log.takes_calls:
            # It takes some calls of this VM, and this one would be one too
            # many from another VM as well.
            self._fail(error)
            return
        self._log.direct_failed(self._place, str(error))
        self._ask(error)

    def _overdue(self) -> None:
        if not self._finished:
            self._log.direct_failed(self._place, "slow")
            self._ask(keyedlog.LogUnavailable("slow"))

    def _give_up(self) -> None:
        if not self._finished:
            self._fail(keyedlog.LogUnavailable("slow"))

    def _ask(self, error: keyedlog.KeyedLogError) -> None:
        """Try the next helper; without one, the call has failed."""
        if self._finished:
            return
        if self._helpers is None:
            self._helpers = self._log.helpers(self._place)
        if not self._helpers:
            if not self._open:
                self._fail(error)
            return
        member = self._helpers.pop(0)
        self._open += 1

        def failed(error: keyedlog.KeyedLogError) -> None:
            self._open -= 1
            if isinstance(error, keyedlog.LogExpired):
                self._fail(error)
                return
            self._log.avoid(member)
            self._ask(error)

        self._start(self._log.through(member), self._done, failed)

    def _done(self, result) -> None:
        self._log.note_outcome(self._place, is_down=False)
        if not self._finished:
            self._finish()
            self._on_done(result)

    def _fail(self, error: keyedlog.KeyedLogError) -> None:
        # A busy log is not away: others may be spending by it.
        if not isinstance(error, keyedlog.LogBusy):
            is_down = not isinstance(error, keyedlog.LogExpired)
            self._log.note_outcome(self._place, is_down)
        if not self._finished:
            self._finish()
            self._on_error(error)

    def _finish(self) -> None:
        self._finished = True
        for timer in (self._timer, self._limit):
            if timer is not None:
                timer.cancel()
