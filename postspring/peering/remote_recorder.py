"""Has turns appended by VMs that reach the log, when this one can't."""

from collections.abc import Callable
import functools
import math

from postspring import errors
from postspring.peering import members as members_module
from postspring.peering import messages
from postspring import transport
from postspring.transport import timers as timers_module

__all__ = ["RemoteRecorder", "VmsWithLog"]

# Age up to which a VM's report that it reaches the log is relied on: about the
# time without a response after which a VM reports the opposite.
LOG_REPORT_SECONDS = 1.0
# If a VM has not appended the records by then, the next one gets the request
# as well: usually an append takes some ms, and one lost response is made up
# for within this time.
RECORD_HEDGE_SECONDS = 0.15
# Most VMs that may append the same turns.
MAX_RECORDERS = 3
# Reports come with the responses to requests to store replicas, and the wait
# for these ends with the second one.  Without any report, those that arrive
# within this time are waited for; VMs respond in some ms.
LATE_REPORT_SECONDS = 0.03
# Time without further waits after one that ended without a report: when the
# log is unreachable for all VMs, each turn would end that much later.
NO_RECORDER_SECONDS = 0.5


class VmsWithLog:
    """VMs that reported a moment ago that they reach the log.

    Parameters
    ==========

    now : callable
        Monotonic time in seconds.

    Examples
    ========

    >>> time = [0.0]
    >>> with_log = VmsWithLog(lambda: time[0])
    >>> vm = members_module.Member("a", "a/1", "z", ("h", 1), ("h", 2))
    >>> with_log.note(vm, reaches_log=True)
    >>> with_log.current == [vm]
    True
    >>> with_log.note(vm, reaches_log=False)
    >>> with_log.current
    []
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._none_until = -math.inf
        self._report_by_name: dict[
            str, tuple[members_module.Member, float]
        ] = {}

    def note(self, member: members_module.Member, reaches_log: bool) -> None:
        """Take note of a VM's report on itself."""
        self._report_by_name.pop(member.name, None)
        if reaches_log:
            self._report_by_name[member.name] = (member, self._now())

    @property
    def may_appear(self) -> bool:
        """Whether it is worth waiting for a VM's report."""
        return self._now() >= self._none_until

    def note_none(self) -> None:
        """Take note that no VM has reported in time."""
        self._none_until = self._now() + NO_RECORDER_SECONDS

    @property
    def current(self) -> list[members_module.Member]:
        """These VMs, the latest report first."""
        oldest = self._now() - LOG_REPORT_SECONDS
        reports = reversed(self._report_by_name.values())
        return [member for member, at in reports if at > oldest]


class RemoteRecorder:
    """Has turns appended by VMs that reported that they reach the log.

    Parameters
    ==========

    http : HttpClient
        Carries the requests.
    timers : Timers
        Time, and delays of requests.
    """

    def __init__(
        self, http: transport.HttpClient, timers: timers_module.Timers
    ):
        self._http = http
        self._timers = timers
        self.with_log = VmsWithLog(timers.now)

    def record(
        self,
        turns: list[bytes],
        timeout: float,
        on_done: Callable[[bool], None],
    ) -> None:
        """Report within ``timeout`` whether a VM has appended all turns."""
        if not self.with_log.current and self.with_log.may_appear:
            seconds = min(LATE_REPORT_SECONDS, timeout)
            self._timers.call_later(
                seconds, self._send, turns, timeout - seconds, on_done
            )
        else:
            self._send(turns, timeout, on_done)

    def _send(
        self,
        turns: list[bytes],
        timeout: float,
        on_done: Callable[[bool], None],
    ) -> None:
        vms = self.with_log.current
        if not vms:
            self.with_log.note_none()
        _RecordCall(
            self._http,
            self._timers,
            vms,
            lambda member: self.with_log.note(member, False),
            on_done,
        ).send(turns, timeout)


class _RecordCall:
    """Hedged request to append turns: if a VM is late, the next gets it.

    Parameters
    ==========

    vms : list of Member
        VMs to use, first to last.
    on_refused : callable
        Called with each VM that refuses, as it doesn't reach the log or is
        shutting down.
    on_done : callable
        Called once with whether a VM has appended all turns.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        timers: timers_module.Timers,
        vms: list[members_module.Member],
        on_refused: Callable[[members_module.Member], None],
        on_done: Callable[[bool], None],
    ):
        self._http = http
        self._timers = timers
        self._remaining = vms[:MAX_RECORDERS]
        self._on_refused = on_refused
        self._on_done: Callable[[bool], None] | None = on_done
        self._pending = 0
        self._ends_at = timers.now()

    def send(self, turns: list[bytes], timeout: float) -> None:
        """Send the first request; all together have ``timeout`` seconds."""
        body = messages.encode(messages.RecordRequest(turns))
        self._ends_at += timeout
        if self._remaining:
            self._ask_next(body)
        else:
            self._finish(False)

    # -- own ------------------------------------------------------------------

    def _ask_next(self, body: bytes) -> None:
        seconds = self._ends_at - self._timers.now()
        if not self._remaining or self._on_done is None or seconds <= 0:
            return
        member = self._remaining.pop(0)
        self._pending += 1
        request = messages.request_to(
            member.peers, messages.RECORD_PATH, body, seconds
        )
        collector = transport.ResponseCollector(
            functools.partial(self._answered, member, body),
            functools.partial(self._on_transport_error, body),
        )
        self._http.send(request, collector)
        self._timers.call_later(RECORD_HEDGE_SECONDS, self._ask_next, body)

    def _answered(
        self,
        member: members_module.Member,
        body: bytes,
        status: int,
        answer: bytes,
    ) -> None:
        self._pending -= 1
        if status == 200:
            self._finish(True)
            return
        self._on_refused(member)
        self._try_next(body)

    def _on_transport_error(
        self, body: bytes, error: errors.TransportError
    ) -> None:
        self._pending -= 1
        self._try_next(body)

    def _try_next(self, body: bytes) -> None:
        self._ask_next(body)
        if not self._pending:
            self._finish(False)

    def _finish(self, is_recorded: bool) -> None:
        on_done, self._on_done = self._on_done, None
        if on_done is not None:
            on_done(is_recorded)
