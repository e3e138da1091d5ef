"""Asking VMs to keep records: how many are asked, and who comes next."""

from collections.abc import Callable
from collections.abc import Sequence

from postspring import errors
from postspring.peering import members as members_module
from postspring.peering import messages
from postspring import transport

__all__ = ["ENOUGH_COPIES", "REPLICAS_ASKED", "Replicas", "in_order"]

# VMs that are asked to keep a record at the same time, and how many copies
# are waited for while more may come.  VMs are killed one after the other,
# also while the log is away.
REPLICAS_ASKED = 4
ENOUGH_COPIES = 2


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
    on_kept : callable
        Told of each VM that keeps them, and whether it reaches the log.
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
        on_kept: Callable[[members_module.Member, bool], None],
        on_failed: Callable[[members_module.Member, bool], None],
        on_done: Callable[[int], None],
    ):
        self._http = http
        self._left = list(holders)
        self._is_thorough = is_thorough
        self._on_kept = on_kept
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
                self._on_kept(member, _reaches_log(answer))
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


def _reaches_log(answer: bytes) -> bool:
    """Return what a VM that keeps a record says of itself."""
    try:
        return messages.decode(messages.Kept, answer).reaches_log
    except errors.PeerError:
        return False
