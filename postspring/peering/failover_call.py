"""One call to the log, by the first way that leads there."""

import functools

from postspring import keyedlog
from postspring.peering import members as members_module

__all__ = ["FailoverCall"]

# Then a call is given up after this long, in seconds: above the hedge, and
# below the store's own time-out, so that the next one is soon made.
BROKEN_READ_TIMEOUT_SECONDS = 0.5
# VMs that are asked to help with a call, one after the other: with two thirds
# of the VMs turned away one of so many helps in 24 of 25 calls (by chance, if
# none knows that it is).  With two, and a third turned away, one call in eight
# was in vain, and its partition then away for 2 s.
MAX_HELPERS = 8
# A call that the busy log refused would be one too many from others as well,
# but for the configuration, which has to come within a bound.
BUSY_HELPERS = 2
# VMs asked for the configuration at the same time while none has helped
# lately.
CONFIGURATION_HELPERS_AT_ONCE = 3
# After so many calls in a row that nobody could help with, the log is away for
# all: one VM is asked then, for each message costs processor time.
CALLS_IN_VAIN = 2
# A read of what has to be known within a bound is sent once more on another
# connection each time that it was not answered for this long, in seconds, and
# so often in all.
NEXT_TRY_SECONDS = 0.3
MOST_TRIES = 3
# A VM that was asked for the configuration and has not answered for this
# long may itself be turned away: the next one is asked too, in seconds.
NEXT_HELPER_SECONDS = 0.1
# The same for other calls: above the slow store's answer, as appends that are
# made twice are paid for twice.
NEXT_HELPER_FOR_OTHERS_SECONDS = 0.3


class FailoverCall:
    """One call; the first way that succeeds ends it.

    Parameters
    ==========

    log : FailoverLog
        Knows the ways.
    start : callable
        Begins the call on a log, with who takes the result or the error.
    timeout : float
        Seconds after which other ways are tried as well.
    more : float
        So much later, if the direct way took another call meanwhile: then
        it is slow and not lost, and by another VM it would be as slow.
    """

    def __init__(
        self, log, place, start, on_done, on_error, timeout, more=0.0
    ):
        self._log = log
        self._place = place
        self._start = start
        self._on_done = on_done
        self._on_error = on_error
        self._timeout = timeout
        self._more = more
        self._began = self._sent_at = log.now()
        self._is_configuration = (
            place.subject is keyedlog.Subject.CONFIGURATION
        )
        self._is_bounded = keyedlog.is_bounded(place)
        self._tries = 0
        self._open = 0
        self._helpers: list[members_module.Member] | None = None
        self._asked = 0
        self._replaced: set[str] = set()
        self._busy: keyedlog.LogBusy | None = None
        self._finished = False
        self._timer = None
        self._limit = None

    def start(self) -> None:
        """Go the direct way if it may work, else through another VM.

        While the log does not answer at all, a call that hangs would keep
        the next one from hearing that it is back.
        """
        self._log.note_asked()
        if self._log.is_broken:
            self._limit = self._log.call_later(
                BROKEN_READ_TIMEOUT_SECONDS, self._give_up
            )
        if self._log.fails_at_once(self._place):
            error = keyedlog.LogDown("down")
            self._log.call_later(0, functools.partial(self._fail, error))
        elif self._log.try_direct(self._place):
            if self._is_configuration and not self._log.works(self._place):
                self._timeout = NEXT_HELPER_SECONDS
            self._timer = self._log.call_later(self._timeout, self._overdue)
            self._send_direct()
        else:
            self._ask(keyedlog.LogUnavailable("direct way lost"))

    def _send_direct(self) -> None:
        self._open += 1
        self._tries += 1
        self._sent_at = self._log.now()
        self._start(self._log.direct, self._direct_done, self._direct_failed)

    def _direct_done(self, result) -> None:
        self._log.direct_done(self._place)
        self._done(result)

    def _direct_failed(self, error: keyedlog.KeyedLogError) -> None:
        self._open -= 1
        if self._timer is not None:
            # It would count the same failure once more, as a slow log.
            self._timer.cancel()
        if isinstance(error, keyedlog.LogExpired):
            self._log.direct_done(self._place)
            self._fail(error)
            return
        if isinstance(error, keyedlog.LogBusy) and self._log.takes_calls:
            self._too_many(error)
            return
        self._log.direct_failed(self._place, str(error), self._sent_at)
        self._ask(error)

    def _too_many(self, error: keyedlog.LogBusy) -> None:
        """The log takes other calls of this VM, but not this one.

        From another VM it would be one too many as well, unless the log
        turns just these away: the configuration was not heard for as long
        as it did.  Its reads are few, so a few more don't keep a log busy.
        """
        self._busy = error
        if not self._is_configuration:
            self._fail(error)
            return
        self._log.direct_refused(self._place)
        self._ask(error)

    def _overdue(self) -> None:
        if self._finished:
            return
        worked = self._log.works(self._place)
        # One that failed before is only tried: it may be lost to this VM
        # alone, and each append of a partition would wait for that.
        is_slow = worked and self._log.has_taken_since(self._began)
        if self._more and is_slow:
            more, self._more = self._more, 0.0
            self._timer = self._log.call_later(more, self._overdue)
            return
        self._log.direct_failed(self._place, "slow", self._sent_at)
        if self._is_bounded and (worked or self._tries > 1):
            self._try_again()
        self._ask(keyedlog.LogUnavailable("slow"))

    def _try_again(self) -> None:
        """Read once more: the connection may be silent, and not the log.

        A VM that was alone heard of a configuration, and of upstreams that
        left, at the call's time-out.
        """
        if self._tries < MOST_TRIES:
            self._timer = self._log.call_later(NEXT_TRY_SECONDS, self._overdue)
            self._send_direct()
        elif not self._asked:
            self._give_up()

    def _give_up(self) -> None:
        if not self._finished:
            self._fail(keyedlog.LogUnavailable("slow"))

    # -- other VMs ------------------------------------------------------------

    def _ask(self, error: keyedlog.KeyedLogError) -> None:
        """Try the next helper; without one, the call has failed."""
        if self._finished:
            return
        at_once = 1
        if self._helpers is None:
            most = self._most_helpers()
            self._helpers = self._log.helpers(self._place)[:most]
            at_once = self._helpers_at_once(most)
        if not self._helpers and self._has_failed():
            self._log.calls_in_vain[self._is_configuration] += 1
            self._fail(self._busy or error)
            return
        asked, self._helpers = self._helpers[:at_once], self._helpers[at_once:]
        for member in asked:
            self._ask_member(member)

    def _most_helpers(self) -> int:
        if self._busy is not None:
            return BUSY_HELPERS
        if self._log.calls_in_vain[self._is_configuration] >= CALLS_IN_VAIN:
            return 1
        return MAX_HELPERS

    def _helpers_at_once(self, most: int) -> int:
        """Return how many VMs are asked first; several if none is known."""
        knows_nobody = most == MAX_HELPERS and not self._log.has_helper
        if self._is_configuration and knows_nobody:
            return CONFIGURATION_HELPERS_AT_ONCE
        return 1

    def _has_failed(self) -> bool:
        """Return whether there is nothing left to wait for.

        For the configuration, VMs that were asked and are late may all be
        turned away, and so may this one: the next call asks others.
        """
        if not self._open:
            return True
        all_late = self._asked > 0 and len(self._replaced) == self._asked
        return self._is_configuration and all_late

    def _ask_member(self, member: members_module.Member) -> None:
        self._open += 1
        self._asked += 1
        asked_at = self._log.now()

        def failed(error: keyedlog.KeyedLogError) -> None:
            self._open -= 1
            if isinstance(error, keyedlog.LogExpired):
                self._fail(error)
                return
            self._log.avoid(member, asked_at)
            if member.name not in self._replaced:
                self._replaced.add(member.name)
                self._ask(error)
            elif not self._open:
                self._ask(error)

        seconds = NEXT_HELPER_FOR_OTHERS_SECONDS
        if self._is_configuration:
            seconds = NEXT_HELPER_SECONDS
        self._log.call_later(
            seconds, functools.partial(self._replace, member, asked_at)
        )

        def done(result) -> None:
            self._log.note_helper(member)
            self._done(result)

        self._start(self._log.through(member), done, failed)

    def _replace(self, member: members_module.Member, asked_at: float) -> None:
        """Ask another VM as well: this one has not answered yet."""
        if self._finished or member.name in self._replaced:
            return
        self._replaced.add(member.name)
        self._log.avoid(member, asked_at)
        self._ask(keyedlog.LogUnavailable("slow"))

    # -- the end --------------------------------------------------------------

    def _done(self, result) -> None:
        self._log.note_outcome(self._place, is_down=False)
        self._log.calls_in_vain[self._is_configuration] = 0
        if not self._finished:
            self._finish()
            self._on_done(result)

    def _fail(self, error: keyedlog.KeyedLogError) -> None:
        if not self._tries:
            # Other VMs could not help, which says nothing of the log.
            error.shows_away = False
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
