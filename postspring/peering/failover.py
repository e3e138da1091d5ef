"""Calls the log through another VM while this one can't reach it."""

from collections.abc import Callable
import logging
import math

from postspring import keyedlog
from postspring.peering import avoided_vms
from postspring.peering import failover_call
from postspring.peering import hedge_times
from postspring.peering import members as members_module
from postspring.transport import timers as timers_module

__all__ = ["FailoverLog"]

LOG = logging.getLogger(__name__)

# Interval of attempts by the direct path while it fails.
PROBE_SECONDS = 0.5
# The same for reads of records that have to be known within a bound: their
# callers pause between reads.
BOUNDED_PROBE_SECONDS = 0.1
# Time for which a VM that could not help gets no request.
AVOID_SECONDS = 1.0
# Failures in a row after which the whole log counts as unreachable by the
# direct path, and not only the partitions that failed.
FAILURES_IN_A_ROW = 3
# For this long, a partition that no path leads to is tried by the direct path
# only: each call is billed, failed ones too.
UNREACHABLE_SECONDS = 2.0
# Time without any response after which the circuit breaker opens: calls fail
# at once but for one in each PROBE_SECONDS.  All VMs together would otherwise
# send an unreachable log thousands of calls a second.
BREAKER_SECONDS = 0.5
# A direct path that has been lost for longer is not expected back at once; the
# end of a turn waits about as long.
BRIEF_LOSS_SECONDS = 1.0


class FailoverLog(keyedlog.KeyedLog):
    """Calls the log directly, or through other VMs while that fails.

    Parameters
    ==========

    direct : KeyedLog
        The log.
    log_via : callable
        Returns the log as reached through a member.
    members : callable
        Returns the other VMs, the best helpers first.
    on_change : callable
        Called when the direct path is lost, and when the log responds again.
    """

    def __init__(
        self,
        direct: keyedlog.KeyedLog,
        log_via: Callable[[members_module.Member], keyedlog.KeyedLog],
        members: Callable[[], list[members_module.Member]],
        timers: timers_module.Timers,
        on_change: Callable[[], None] = lambda: None,
    ):
        self._on_change = on_change
        self._is_down = False
        self.failed_at = -math.inf  # When a call last failed by all paths.
        self._helper: str | None = None
        # Calls in a row that failed by all paths, by whether they were for the
        # configuration: that a partition is unreachable says nothing of the
        # configuration.
        self.failed_calls_in_a_row = {True: 0, False: 0}
        # Start of the first call since which none was answered.
        self._unanswered_since: float | None = None
        self._answered_at = timers.now()
        self._direct_answered_at = self._appended_at = -math.inf
        self._answered_at_by_place: dict[keyedlog.LogPlace, float] = {}
        self._hedge_times = hedge_times.HedgeTimes()
        self.direct = direct
        self._log_via = log_via
        self._members = members
        self._timers = timers
        self._failing_since: float | None = None
        self._failures_in_a_row = 0
        self._probed_at = -math.inf
        self._path_probed_at = -math.inf
        self._has_failed_fast = False
        self._probed_at_by_place: dict[keyedlog.LogPlace, float] = {}
        self._avoided = avoided_vms.AvoidedVms(AVOID_SECONDS, timers.now)
        self._unreachable_until: dict[keyedlog.LogPlace, float] = {}

    @property
    def has_direct_path(self) -> bool:
        """Whether the direct path leads to the log at all."""
        return self._failing_since is None

    @property
    def accepts_calls(self) -> bool:
        """Whether the log has recently answered a direct call of this VM."""
        since = self._timers.now() - self._direct_answered_at
        return since < self._hedge_times.busy_seconds

    @property
    def has_just_answered(self) -> bool:
        """Whether the direct path worked a moment ago."""
        moment = self._timers.now() - hedge_times.HEDGE_SECONDS
        return self.has_answered_since(moment)

    @property
    def reaches_log(self) -> bool:
        """Whether the direct path leads to the log, if not for each call.

        Several lost responses in a row look like a lost path, and most
        interruptions are brief.  So a lost path counts as leading to the log
        for as long as requests of other VMs may wait for its return.
        """
        if self.has_direct_path or self.accepts_calls:
            return True
        return self._timers.now() - self._failing_since < BRIEF_LOSS_SECONDS

    @property
    def is_slow(self) -> bool:
        """Whether appends have taken long of late."""
        return self._hedge_times.is_slow

    def note_late_append(self, sent_at: float) -> None:
        """Take note of an append without an answer, though reads had some.

        If the log has answered another append since, this one was lost.
        """
        if self._appended_at < sent_at:
            self._hedge_times.note_append(self._timers.now() - sent_at)

    def has_answered_since(self, moment: float) -> bool:
        """Return whether a direct call was answered since a moment."""
        return self._direct_answered_at > moment

    def has_place_answered_since(
        self, place: keyedlog.LogPlace, moment: float
    ) -> bool:
        """Return whether a direct call to a partition was answered since."""
        return self._answered_at_by_place.get(place, -math.inf) > moment

    @property
    def silent_seconds(self) -> float:
        """Seconds since the log responded, by any path."""
        return self._timers.now() - self._answered_at

    @property
    def is_breaker_open(self) -> bool:
        """Whether the circuit breaker is open: no path leads to the log.

        The time counts from an unanswered call: one VM of many makes few
        calls, and a pause between them is no outage.
        """
        since = self._unanswered_since
        if self.has_direct_path or since is None:
            return False
        return self._timers.now() - since > BREAKER_SECONDS

    @property
    def is_down(self) -> bool:
        """Whether the last call failed by all paths."""
        return self._is_down

    def append(self, place, entries, on_done, on_error) -> None:
        """Append records, by the direct path or through another VM."""

        def start(log, done, failed) -> None:
            began = self._timers.now()

            def appended(first: int) -> None:
                if log is self.direct:
                    self._appended_at = self._timers.now()
                    self._hedge_times.note_append(self._appended_at - began)
                done(first)

            log.append(place, entries, appended, failed)

        times = self._hedge_times
        extension, extra_wait = times.append_extension, times.append_wait
        self._call(place, start, on_done, on_error, extension, extra_wait)

    def read(self, place, start, on_page, on_error, wait=0.0) -> None:
        """Read records, by the direct path or through another VM.

        Only a working direct path is read with a wait: when reads waited on a
        lost path, and at VMs that the log refused as well, some VMs had
        configurations that were 8 s old.
        """
        if not self.is_direct_usable(place):
            wait = 0.0
        began = self._timers.now()

        def begin(log, done, failed) -> None:
            waits = log is self.direct and self.is_direct_usable(place)
            path_wait = wait if waits else 0.0
            later = self._timers.now() - began

            def take(page: keyedlog.LogPage) -> None:
                if log is self.direct and not path_wait:
                    self._hedge_times.note_read(
                        self._timers.now() - began - later
                    )
                known_after = page.known_after + later
                done(page._replace(known_after=known_after))

            log.read(place, start, take, failed, path_wait)

        extension = wait
        if self.is_direct_usable(place) and not keyedlog.has_age_bound(place):
            # A path that failed before is only probed.
            extension += self._hedge_times.read_extension
        self._call(place, begin, on_page, on_error, extension)

    def read_newest(self, place, on_page, on_error) -> None:
        """Read the newest records, by either path."""

        def start(log, done, failed) -> None:
            log.read_newest(place, done, failed)

        self._call(place, start, on_page, on_error)

    def _call(
        self, place, start, on_done, on_error, wait=0.0, extra_wait=0.0
    ) -> None:
        timeout = hedge_times.HEDGE_SECONDS + wait
        failover_call.FailoverCall(
            self, place, start, on_done, on_error, timeout, extra_wait
        ).start()

    # -- for FailoverCall -----------------------------------------------------

    def note_call(self) -> None:
        """Take note that a call begins."""
        if self._unanswered_since is None:
            self._unanswered_since = self._timers.now()

    def should_fail_fast(self, place: keyedlog.LogPlace) -> bool:
        """Return whether a call should fail at once, as the log is down.

        Reads of the configuration are always made: it has to be in force soon
        after the log's return, and they are few.
        """
        is_configuration = place.subject is keyedlog.Subject.CONFIGURATION
        if not self.is_breaker_open or is_configuration:
            return False
        now = self._timers.now()
        if now - self._probed_at < PROBE_SECONDS:
            self._has_failed_fast = True
            return True
        self._probed_at = now
        return False

    def is_direct_usable(self, place: keyedlog.LogPlace) -> bool:
        """Return whether the direct path works for a partition."""
        return self.has_direct_path and place not in self._probed_at_by_place

    def should_try_direct(self, place: keyedlog.LogPlace) -> bool:
        """Return whether to make a call by the direct path.

        While the partition, or the whole log, can't be reached directly, only
        a probe now and then goes there.  A probe that hangs delays its caller
        until a helper gets the call, so a lost path is probed once for all
        partitions; but reads that have a bound are few, and probe it
        themselves.
        """
        if self.is_direct_usable(place):
            return True
        now = self._timers.now()
        probed_at = self._probed_at_by_place.get(place, -math.inf)
        pause = PROBE_SECONDS
        if keyedlog.has_age_bound(place):
            pause = BOUNDED_PROBE_SECONDS
        elif not self.has_direct_path:
            probed_at = max(probed_at, self._path_probed_at)
        if now - probed_at < pause:
            return False
        self._probed_at_by_place[place] = self._path_probed_at = now
        return True

    def direct_done(self, place: keyedlog.LogPlace, began: float) -> None:
        """Take note that a direct call, begun at a time, was answered."""
        if not math.isfinite(self._direct_answered_at):
            self._note_first_answer()
        self._direct_answered_at = self._timers.now()
        self._answered_at_by_place[place] = self._direct_answered_at
        self._failures_in_a_row = 0
        self._probed_at_by_place.pop(place, None)
        if self._failing_since is not None:
            seconds = self._timers.now() - self._failing_since
            self._failing_since = None
            LOG.info(
                "direct path to the log restored",
                extra={
                    "seconds": round(seconds, 2),
                    "subject": place.subject.value,
                    "call_seconds": round(self._timers.now() - began, 2),
                },
            )
            self._timers.call_later(0, self._on_change)

    def _note_first_answer(self) -> None:
        """Forget which partitions failed before: the log was out of reach."""
        if self._probed_at_by_place and self._failing_since is None:
            self._timers.call_later(0, self._on_change)
        self._probed_at_by_place.clear()

    def direct_failed(
        self, place: keyedlog.LogPlace, reason: str, sent_at: float
    ) -> None:
        """Take note that a direct call was not answered.

        If another one was answered since it was sent, the path is not lost:
        the partition may be unreachable, or the response was lost.
        """
        now = self._timers.now()
        self._probed_at_by_place.setdefault(place, now)
        if self.has_answered_since(sent_at):
            return
        self._failures_in_a_row += 1
        if self._failing_since is not None:
            return
        if self._failures_in_a_row >= FAILURES_IN_A_ROW:
            self._lose_path(reason)

    def _lose_path(self, reason: str) -> None:
        self._failing_since = self._timers.now()
        LOG.info("direct path to the log lost", extra={"reason": reason})
        self._timers.call_later(0, self._on_change)

    def note_isolated(self) -> None:
        """Take note that this VM is isolated; calls under way go on."""
        self._is_down = True
        if self._failing_since is None:
            self._lose_path("isolated")

    def direct_refused(self, place: keyedlog.LogPlace) -> None:
        """Take note that the log refused a direct call because it is busy."""
        self._probed_at_by_place[place] = self._timers.now()

    def note_outcome(self, place: keyedlog.LogPlace, is_down: bool) -> None:
        """Take note of how a call ended."""
        self._is_down = is_down
        now = self._timers.now()
        if is_down:
            self.failed_at = now
            if self._unreachable_until.get(place, 0.0) <= now:
                self._unreachable_until[place] = now + UNREACHABLE_SECONDS
            return
        self._answered_at = now
        self._unanswered_since = None
        if self._has_failed_fast:
            self._has_failed_fast = False
            self._timers.call_later(0, self._on_change)
        self._unreachable_until.pop(place, None)

    def helpers(self, place: keyedlog.LogPlace) -> list[members_module.Member]:
        """Return the VMs that may relay calls for a partition, best first."""
        now = self._timers.now()
        is_away = self._unreachable_until.get(place, 0.0) > now
        if is_away and place.subject is not keyedlog.Subject.CONFIGURATION:
            return []
        found = [
            member for member in self._members() if member not in self._avoided
        ]
        found.sort(key=lambda member: member.name != self._helper)
        return found

    @property
    def has_helper(self) -> bool:
        """Whether another VM has helped and has not failed since."""
        return self._helper is not None

    def note_helper(self, member: members_module.Member) -> None:
        """Remember a VM that relayed a call: until it fails, it is asked."""
        self._helper = member.name

    def log_via(self, member: members_module.Member) -> keyedlog.KeyedLog:
        """Return the log as reached through a VM."""
        return self._log_via(member)

    def avoid(self, member: members_module.Member, asked_at: float) -> None:
        """Avoid a VM that could not help for a while.

        The time counts from the request: calls that hang on connections which
        fell silent together end one after the other, and each end would keep
        the only helper avoided for 1 s more.
        """
        if member.name == self._helper:
            self._helper = None
        self._avoided.add(member, asked_at)

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._timers.now()

    def call_later(self, seconds: float, function: Callable):
        """Call a function after some seconds."""
        return self._timers.call_later(seconds, function)
