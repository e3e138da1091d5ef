"""Asking VMs to keep records: how many are asked, and who comes next."""

from collections.abc import Callable
from collections.abc import Sequence

from postspring import errors
from postspring import histories
from postspring.peering import members as members_module
from postspring.peering import messages
from postspring import transport

__all__ = [
    "ENOUGH_COPIES",
    "REPLICAS_ASKED",
    "Recording",
    "Replicas",
    "in_order",
]

# VMs that are asked to keep a record at the same time, and how many copies
# are waited for while more may come.  VMs are killed one after the other,
# also while the log is away.
REPLICAS_ASKED = 4
ENOUGH_COPIES = 2
# Pause before the holders of a copy are asked again whether it is recorded,
# and how long one may take to answer; seconds.
ASK_AGAIN_SECONDS = 0.06
RECORDED_SECONDS = 0.15
# Rounds of that: a caller waits 1.2 s at most.
MOST_ROUNDS = 12


def in_order(
    members: Sequence[members_module.Member],
    data_center: str,
    is_avoided: Callable[[members_module.Member], bool],
) -> list[members_module.Member]:
    """Return whom to ask, first to last.

    One of this data centre, then others from elsewhere if possible; those
    that did not keep a record a moment ago come last.
    """
    near = [item for item in members if item.data_center == data_center]
    far = [item for item in members if item.data_center != data_center]
    near.sort(key=is_avoided)
    far.sort(key=is_avoided)
    split = REPLICAS_ASKED - 1
    found = [*near[:1], *far[:split], *near[1:], *far[split:]]
    return sorted(found, key=is_avoided)


class Replicas:
    """Asks VMs, and the next ones in place of those that don't keep it.

    Explanation
    ===========

    A VM that refuses is stopping, and another one is asked at once.  In
    place of one that does not answer another is asked if nobody has kept the
    records: in a cut nobody elsewhere answers, and callers wait.

    Parameters
    ==========

    holders : list of Member
        Whom to ask, first to last.
    is_thorough : bool
        Nobody waits: ask until there are enough copies, or nobody is left.
    on_failed : callable
        Told of each VM that did not keep the records, and whether it said
        so: it is stopping.
    on_done : callable
        Told once how many did, when they are enough or no more come.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        holders: list[members_module.Member],
        is_thorough: bool,
        on_failed: Callable[[members_module.Member, bool], None],
        on_done: Callable[[int], None],
    ):
        self._http = http
        self._left = list(holders)
        self._is_thorough = is_thorough
        self._on_failed = on_failed
        self._on_done: Callable[[int], None] | None = on_done
        self._open = 0
        self._kept = 0

    def send(
        self, records: list[bytes], seconds: float, is_log_away: bool = False
    ) -> None:
        """Ask the first VMs; each one has some seconds to answer."""
        body = messages.encode(messages.KeepRequest(records, is_log_away))
        first = self._left[:REPLICAS_ASKED]
        self._left = self._left[REPLICAS_ASKED:]
        self._open = len(first)
        for member in first:
            self._ask(member, body, seconds)
        if not first:
            self._finish()

    # -- own ------------------------------------------------------------------

    def _ask(
        self, member: members_module.Member, body: bytes, seconds: float
    ) -> None:
        def answered(status: int, answer: bytes) -> None:
            if status == 200:
                self._kept += 1
                ended(False)
            else:
                self._on_failed(member, status == messages.STOPPING_STATUS)
                ended(True)

        def unanswered(error) -> None:
            self._on_failed(member, False)
            ended(self._is_thorough or not self._kept)

        def ended(asks_next: bool) -> None:
            self._open -= 1
            is_wanted = self._on_done is not None
            is_wanted = is_wanted and self._kept < ENOUGH_COPIES
            if asks_next and is_wanted and self._left:
                self._open += 1
                self._ask(self._left.pop(0), body, seconds)
            elif self._kept >= ENOUGH_COPIES or not self._open:
                self._finish()

        request = messages.request_to(
            member.peers, messages.KEEP_PATH, body, seconds
        )
        collector = transport.AnswerCollector(answered, unanswered)
        self._http.send(request, collector)

    def _finish(self) -> None:
        on_done, self._on_done = self._on_done, None
        if on_done is not None:
            on_done(self._kept)


class Recording:
    """Asks the holders of a copy until one of them has recorded it.

    Explanation
    ===========

    Holders that reach the log record the copy when they are first asked.
    Asking again is harmless: a copy is kept once.

    Parameters
    ==========

    on_done : callable
        Told once whether the copy is recorded; no, if nobody is about to.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        timers: transport.Timers,
        holders: list[members_module.Member],
        record: bytes,
        on_done: Callable[[bool], None],
    ):
        self._http = http
        self._timers = timers
        self._holders = holders
        self._body = messages.encode(messages.KeepRequest([record], True))
        self._on_done: Callable[[bool], None] | None = on_done
        self._rounds = 0
        self._open = 0
        self._recorders: list[members_module.Member] = []

    def start(self) -> None:
        """Ask all holders once."""
        self._ask(self._holders)

    # -- own ------------------------------------------------------------------

    def _ask(self, holders: list[members_module.Member]) -> None:
        self._rounds += 1
        self._recorders = []
        self._open = len(holders)
        if not holders or self._rounds > MOST_ROUNDS:
            self._finish(False)
            return
        for member in holders:
            self._send(member)

    def _send(self, member: members_module.Member) -> None:
        def answered(status: int, answer: bytes) -> None:
            self._take(member, _state_of(status, answer))

        def unanswered(error) -> None:
            self._take(member, None)

        request = messages.request_to(
            member.peers, messages.KEEP_PATH, self._body, RECORDED_SECONDS
        )
        collector = transport.AnswerCollector(answered, unanswered)
        self._http.send(request, collector)

    def _take(
        self,
        member: members_module.Member,
        state: histories.CopyState | None,
    ) -> None:
        self._open -= 1
        if state is histories.CopyState.RECORDED:
            self._finish(True)
        elif state is histories.CopyState.BEING_RECORDED:
            self._recorders.append(member)
        if self._open or self._on_done is None:
            return
        if self._recorders:
            self._timers.call_later(
                ASK_AGAIN_SECONDS, self._ask, self._recorders
            )
        else:
            self._finish(False)

    def _finish(self, is_recorded: bool) -> None:
        on_done, self._on_done = self._on_done, None
        if on_done is not None:
            on_done(is_recorded)


def _state_of(status: int, answer: bytes) -> histories.CopyState | None:
    """Return what a VM says of a copy; None if it says nothing."""
    if status != 200 or not answer:
        return None
    try:
        kept = messages.decode(messages.Kept, answer)
        return histories.CopyState(kept.state)
    except (errors.PeerError, ValueError):
        return None
