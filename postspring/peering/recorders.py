"""VMs that reach the log, asked to record what this one can't."""

from collections.abc import Callable
import functools
import math

from postspring import errors
from postspring.peering import members as members_module
from postspring.peering import messages
from postspring import transport
from postspring.transport import timers as timers_module

__all__ = ["LogReachers", "Recorders"]

# For how long a VM that said so counts as one that reaches the log, in
# seconds: about as long as the log is silent before a VM says the opposite.
REACHES_SECONDS = 1.0
# One that has not recorded by then gets help, in seconds: usually it takes
# some ms, and one lost answer is made up for within this time.
NEXT_SECONDS = 0.15
# VMs that may record the same turns.
MOST_ASKED = 3
# If nobody has said so, answers that come a little later are waited for, in
# seconds: VMs answer in some ms, and two copies are enough to go on.
LATE_ANSWER_SECONDS = 0.03
# For how long nobody is waited for after that was in vain, in seconds: in an
# outage for all each turn would end so much later.
NOBODY_SECONDS = 0.5


class LogReachers:
    """Which VMs said a moment ago that they reach the log.

    Parameters
    ==========

    now : callable
        Monotonic time in seconds.

    Examples
    ========

    >>> time = [0.0]
    >>> reachers = LogReachers(lambda: time[0])
    >>> vm = members_module.Member("a", "a/1", "z", ("h", 1), ("h", 2))
    >>> reachers.note(vm, reaches_log=True)
    >>> reachers.known == [vm]
    True
    >>> reachers.note(vm, reaches_log=False)
    >>> reachers.known
    []
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._nobody_until = -math.inf
        self._said_by_name: dict[str, tuple[members_module.Member, float]] = {}

    def note(self, member: members_module.Member, reaches_log: bool) -> None:
        """Take note of what a VM says of itself."""
        self._said_by_name.pop(member.name, None)
        if reaches_log:
            self._said_by_name[member.name] = (member, self._now())

    @property
    def may_come(self) -> bool:
        """Whether one that reaches the log may still say so."""
        return self._now() >= self._nobody_until

    def note_nobody(self) -> None:
        """Take note that none has said so in time."""
        self._nobody_until = self._now() + NOBODY_SECONDS

    @property
    def known(self) -> list[members_module.Member]:
        """Those VMs, the one that said so last first."""
        oldest = self._now() - REACHES_SECONDS
        said = reversed(self._said_by_name.values())
        return [member for member, at in said if at > oldest]


class Recorders:
    """Has turns recorded by VMs that said that they reach the log.

    Parameters
    ==========

    http : HttpClient
        Carries the requests.
    """

    def __init__(
        self, http: transport.HttpClient, timers: timers_module.Timers
    ):
        self._http = http
        self._timers = timers
        self.reachers = LogReachers(timers.now)

    def record(
        self,
        turns: list[bytes],
        timeout: float,
        on_done: Callable[[bool], None],
    ) -> None:
        """Tell within some seconds whether a VM has recorded all turns."""
        if not self.reachers.known and self.reachers.may_come:
            seconds = min(LATE_ANSWER_SECONDS, timeout)
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
        vms = self.reachers.known
        if not vms:
            self.reachers.note_nobody()
        _RecordCall(
            self._http,
            self._timers,
            vms,
            lambda member: self.reachers.note(member, False),
            on_done,
        ).send(turns, timeout)


class _RecordCall:
    """Has records written by one VM, and by the next if that takes long.

    Parameters
    ==========

    vms : list of Member
        Whom to ask, first to last.
    on_refused : callable
        Told of each VM that does not reach the log after all.
    on_done : callable
        Told once whether a VM has recorded all.
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
        self._left = vms[:MOST_ASKED]
        self._on_refused = on_refused
        self._on_done: Callable[[bool], None] | None = on_done
        self._open = 0
        self._ends_at = timers.now()

    def send(self, turns: list[bytes], timeout: float) -> None:
        """Ask the first VM; all together have some seconds."""
        body = messages.encode(messages.RecordRequest(turns))
        self._ends_at += timeout
        if self._left:
            self._ask_next(body)
        else:
            self._finish(False)

    # -- own ------------------------------------------------------------------

    def _ask_next(self, body: bytes) -> None:
        seconds = self._ends_at - self._timers.now()
        if not self._left or self._on_done is None or seconds <= 0:
            return
        member = self._left.pop(0)
        self._open += 1
        request = messages.request_to(
            member.peers, messages.RECORD_PATH, body, seconds
        )
        collector = transport.AnswerCollector(
            functools.partial(self._answered, member, body),
            functools.partial(self._unanswered, body),
        )
        self._http.send(request, collector)
        self._timers.call_later(NEXT_SECONDS, self._ask_next, body)

    def _answered(
        self,
        member: members_module.Member,
        body: bytes,
        status: int,
        answer: bytes,
    ) -> None:
        self._open -= 1
        if status == 200:
            self._finish(True)
            return
        self._on_refused(member)
        self._go_on(body)

    def _unanswered(self, body: bytes, error: errors.TransportError) -> None:
        self._open -= 1
        self._go_on(body)

    def _go_on(self, body: bytes) -> None:
        self._ask_next(body)
        if not self._open:
            self._finish(False)

    def _finish(self, is_recorded: bool) -> None:
        on_done, self._on_done = self._on_done, None
        if on_done is not None:
            on_done(is_recorded)
