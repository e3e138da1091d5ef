"""One call to the log, by the first path that leads there."""

import functools

from postspring import keyedlog
from postspring.peering import members as members_module

__all__ = ["FailoverCall"]

# Timeout of a call while the circuit breaker is open: longer than the hedge,
# and shorter than the store's own timeout, so that the next call soon follows.
OUTAGE_TIMEOUT_SECONDS = 0.5
# Timeout of an append while no call at all is answered.
SILENT_TIMEOUT_SECONDS = 1.2
# VMs that are asked to relay a call, one after the other.  When the log
# refuses two thirds of the VMs, one of this many helps in 24 of 25 calls (by
# chance, if none is known to be able to).  With two, and a third of the VMs
# refused, one call in eight failed, and its partition then counted as
# unreachable for 2 s.
MAX_HELPERS = 8
# VMs asked after the busy log refused a call.  The call would be one too many
# from other VMs as well, so only reads of the configuration, which has to be
# known within a bound, are made through them.
MAX_BUSY_HELPERS = 2
# VMs asked for the configuration in parallel while none has helped recently.
CONFIGURATION_HELPERS_AT_ONCE = 3
# After this many calls in a row with which no VM could help, the log counts as
# unreachable for all VMs: only one is asked then, as each message costs
# processor time.
OUTAGE_CALLS = 2
# A read of records that have to be known within a bound is sent again on
# another connection after each such time without a response, and at most
# MAX_DIRECT_TRIES times in all.
DIRECT_RETRY_SECONDS = 0.3
MAX_DIRECT_TRIES = 3
# The log may refuse a helper as well: if it has not responded to a read of the
# configuration for this long, the next one gets the read, too.
CONFIGURATION_HEDGE_SECONDS = 0.1
# The same for other calls: longer than the slow store's response, as appends
# that are made twice are billed twice.
HELPER_HEDGE_SECONDS = 0.3


class FailoverCall:
    """One call; the first path that succeeds ends it.

    Parameters
    ==========

    log : FailoverLog
        State of the paths.
    start : callable
        Begins the call on a log, with callbacks for the result and the error.
    timeout : float
        Seconds after which other paths are tried as well.
    extra_wait : float
        Additional seconds if the log answered another direct call since this
        one began: then it is slow and not lost, and would be as slow for
        another VM.
    """

    def __init__(
        self, log, place, start, on_done, on_error, timeout, extra_wait=0.0
    ):
        self._log = log
        self._place = place
        self._start = start
        self._on_done = on_done
        self._on_error = on_error
        self._timeout = timeout
        self._extra_wait = extra_wait
        self._is_append = extra_wait > 0
        self._began = self._sent_at = log.now()
        self._is_configuration = (
            place.subject is keyedlog.Subject.CONFIGURATION
        )
        self._has_age_bound = keyedlog.has_age_bound(place)
        self._tries = 0
        self._pending = 0
        self._helpers: list[members_module.Member] | None = None
        self._helpers_asked = 0
        self._late_helpers: set[str] = set()
        self._busy: keyedlog.LogBusy | None = None
        self._finished = False
        self._hedge_timer = None
        self._outage_timer = None

    def start(self) -> None:
        """Use the direct path if it may work, else another VM.

        While the log does not respond at all, a call that hangs would delay
        the discovery that it is back, so calls have a shorter timeout then.
        """
        self._log.note_call()
        if self._log.is_breaker_open:
            self._outage_timer = self._log.call_later(
                OUTAGE_TIMEOUT_SECONDS, self._give_up
            )
        if self._log.should_fail_fast(self._place):
            error = keyedlog.LogDown("down")
            self._log.call_later(0, functools.partial(self._fail, error))
        elif self._log.should_try_direct(self._place):
            if self._is_append and self._outage_timer is None:
                self._outage_timer = self._log.call_later(
                    SILENT_TIMEOUT_SECONDS, self._give_up_if_silent
                )
            if self._is_configuration and not self._log.is_direct_usable(
                self._place
            ):
                self._timeout = CONFIGURATION_HEDGE_SECONDS
            self._hedge_timer = self._log.call_later(
                self._timeout, self._direct_overdue
            )
            self._send_direct()
        else:
            self._ask_helpers(keyedlog.LogUnavailable("direct way lost"))

    def _send_direct(self) -> None:
        self._pending += 1
        self._tries += 1
        self._sent_at = self._log.now()
        self._start(self._log.direct, self._direct_done, self._direct_failed)

    def _direct_done(self, result) -> None:
        self._log.direct_done(self._place, self._began)
        self._done(result)

    def _direct_failed(self, error: keyedlog.KeyedLogError) -> None:
        self._pending -= 1
        if self._hedge_timer is not None:
            # The timer would count the same failure again, as a slow response.
            self._hedge_timer.cancel()
        if isinstance(error, keyedlog.LogExpired):
            self._log.direct_done(self._place, self._began)
            self._fail(error)
            return
        if isinstance(error, keyedlog.LogBusy) and self._log.accepts_calls:
            self._refused_as_busy(error)
            return
        if self._is_append and self._fail_as_slow(error):
            return
        self._log.direct_failed(self._place, str(error), self._sent_at)
        self._ask_helpers(error)

    def _fail_as_slow(self, error: keyedlog.KeyedLogError) -> bool:
        """Fail an append if only others that wait before it delay it.

        Either the log refused it as overloaded and is known to be slow, or the
        partition answered reads of this VM meanwhile.  The append would wait
        behind the same ones from another VM.
        """
        if isinstance(error, keyedlog.LogOverloaded):
            is_slow = self._log.accepts_calls and (
                self._log.is_slow or self._log.has_just_answered
            )
            slow_error = keyedlog.LogBusy(error.reason)
        else:
            is_slow = self._is_late_as_others
            slow_error = keyedlog.LogLate(str(error))
        if is_slow:
            self._log.note_late_append(self._sent_at)
            self._fail(slow_error)
        return is_slow

    @property
    def _is_late_as_others(self) -> bool:
        """Whether other appends take long too, or the partition answers."""
        is_log_slow = self._log.is_slow and self._log.accepts_calls
        return is_log_slow or self._log.has_place_answered_since(
            self._place, self._sent_at
        )

    def _refused_as_busy(self, error: keyedlog.LogBusy) -> None:
        """Handle a refusal while the log accepts other calls of this VM.

        The call would be one too many from another VM as well, unless the log
        refuses only this VM's reads of the configuration, which then stayed
        outdated for as long as that lasted.  These reads are few, so a few
        more don't overload the log.
        """
        self._busy = error
        if not self._is_configuration:
            self._fail(error)
            return
        self._log.direct_refused(self._place)
        self._ask_helpers(error)

    def _direct_overdue(self) -> None:
        if self._finished:
            return
        was_usable = self._log.is_direct_usable(self._place)
        # A path that failed before is only probed: it may be lost for this VM
        # alone, and each append of a partition would wait for that.
        is_slow = was_usable and self._log.has_answered_since(self._began)
        if self._extra_wait and is_slow:
            extra_wait = self._extra_wait
            if not self._is_late_as_others:
                # Only this partition may be silent: it is not waited for long.
                self._extra_wait = 0.0
            self._hedge_timer = self._log.call_later(
                extra_wait, self._direct_overdue
            )
            return
        self._log.direct_failed(self._place, "slow", self._sent_at)
        if self._has_age_bound and (was_usable or self._tries > 1):
            self._retry_directly()
        self._ask_helpers(keyedlog.LogUnavailable("slow"))

    def _retry_directly(self) -> None:
        """Read again: the connection may be silent, and not the log.

        A VM that has no others to ask would learn of a configuration, and of
        upstreams that left, only after the call's timeout.
        """
        if self._tries < MAX_DIRECT_TRIES:
            self._hedge_timer = self._log.call_later(
                DIRECT_RETRY_SECONDS, self._direct_overdue
            )
            self._send_direct()
        elif not self._helpers_asked:
            self._give_up()

    def _give_up_if_silent(self) -> None:
        """Give up an append unless the log is slow, and answers others."""
        if not self._log.has_answered_since(self._began):
            self._give_up()

    def _give_up(self) -> None:
        if not self._finished:
            self._fail(keyedlog.LogUnavailable("slow"))

    # -- other VMs ------------------------------------------------------------

    def _ask_helpers(self, error: keyedlog.KeyedLogError) -> None:
        """Ask the next helpers; fail if there is none left to wait for."""
        if self._finished:
            return
        at_once = 1
        if self._helpers is None:
            most = self._most_helpers()
            self._helpers = self._log.helpers(self._place)[:most]
            at_once = self._helpers_at_once(most)
        if not self._helpers and self._has_failed():
            self._log.failed_calls_in_a_row[self._is_configuration] += 1
            self._fail(self._busy or error)
            return
        asked, self._helpers = self._helpers[:at_once], self._helpers[at_once:]
        for member in asked:
            self._ask_helper(member)

    def _most_helpers(self) -> int:
        if self._busy is not None:
            return MAX_BUSY_HELPERS
        if (
            self._log.failed_calls_in_a_row[self._is_configuration]
            >= OUTAGE_CALLS
        ):
            return 1
        return MAX_HELPERS

    def _helpers_at_once(self, most: int) -> int:
        """Return how many VMs are asked first; several if none is known."""
        has_no_helper = most == MAX_HELPERS and not self._log.has_helper
        if self._is_configuration and has_no_helper:
            return CONFIGURATION_HELPERS_AT_ONCE
        return 1

    def _has_failed(self) -> bool:
        """Return whether there is no response left to wait for.

        For the configuration, the log may refuse all helpers that are late, as
        it does this VM: the next call uses others.
        """
        if not self._pending:
            return True
        all_late = (
            self._helpers_asked > 0
            and len(self._late_helpers) == self._helpers_asked
        )
        return self._is_configuration and all_late

    def _ask_helper(self, member: members_module.Member) -> None:
        self._pending += 1
        self._helpers_asked += 1
        asked_at = self._log.now()

        def failed(error: keyedlog.KeyedLogError) -> None:
            self._pending -= 1
            if isinstance(error, keyedlog.LogExpired):
                self._fail(error)
                return
            self._log.avoid(member, asked_at)
            if member.name not in self._late_helpers:
                self._late_helpers.add(member.name)
                self._ask_helpers(error)
            elif not self._pending:
                self._ask_helpers(error)

        seconds = HELPER_HEDGE_SECONDS
        if self._is_configuration:
            seconds = CONFIGURATION_HEDGE_SECONDS
        self._log.call_later(
            seconds, functools.partial(self._helper_overdue, member, asked_at)
        )

        def done(result) -> None:
            self._log.note_helper(member)
            self._done(result)

        self._start(self._log.log_via(member), done, failed)

    def _helper_overdue(
        self, member: members_module.Member, asked_at: float
    ) -> None:
        """Ask another helper as well, as this one has not responded yet."""
        if self._finished or member.name in self._late_helpers:
            return
        self._late_helpers.add(member.name)
        self._log.avoid(member, asked_at)
        self._ask_helpers(keyedlog.LogUnavailable("slow"))

    # -- the end --------------------------------------------------------------

    def _done(self, result) -> None:
        self._log.note_outcome(self._place, is_down=False)
        self._log.failed_calls_in_a_row[self._is_configuration] = 0
        if not self._finished:
            self._finish()
            self._on_done(result)

    def _fail(self, error: keyedlog.KeyedLogError) -> None:
        if not self._tries:
            # Other VMs could not help, which says nothing of the log.
            error.shows_outage = False
        # A busy log is not down: other VMs may still charge programs in it.
        if not isinstance(error, (keyedlog.LogBusy, keyedlog.LogLate)):
            is_down = not isinstance(error, keyedlog.LogExpired)
            self._log.note_outcome(self._place, is_down)
        if not self._finished:
            self._finish()
            self._on_error(error)

    def _finish(self) -> None:
        self._finished = True
        for timer in (self._hedge_timer, self._outage_timer):
            if timer is not None:
                timer.cancel()
