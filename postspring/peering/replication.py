"""Requests to store replicas of records, and the order of the VMs."""

from collections.abc import Callable
from collections.abc import Sequence

from postspring import errors
from postspring.peering import members as members_module
from postspring.peering import messages
from postspring import transport

__all__ = [
    "PARALLEL_REQUESTS",
    "ReplicationCall",
    "TARGET_REPLICAS",
    "holder_order",
]

# Number of requests to store a replica that are sent in parallel, and number
# of replicas that ends the wait for more.  VMs are killed one after the other,
# also while the log is unreachable, so one replica is not enough.
PARALLEL_REQUESTS = 4
TARGET_REPLICAS = 2


def holder_order(
    members: Sequence[members_module.Member],
    data_center: str,
    is_avoided: Callable[[members_module.Member], bool],
) -> list[members_module.Member]:
    """Return the VMs in the order in which they get requests.

    One VM of this data centre, then VMs of other ones if there are any;
    avoided VMs come last.
    """
    near = [item for item in members if item.data_center == data_center]
    far = [item for item in members if item.data_center != data_center]
    near.sort(key=is_avoided)
    far.sort(key=is_avoided)
    split = PARALLEL_REQUESTS - 1
    found = [*near[:1], *far[:split], *near[1:], *far[split:]]
    return sorted(found, key=is_avoided)


class ReplicationCall:
    """Has replicas stored, by other VMs in place of those that fail.

    Explanation
    ===========

    A VM that refuses is shutting down, and the next one gets a request at
    once.  A VM that does not respond is replaced only while there is no
    replica: in a cut no VM elsewhere responds, and callers wait.

    Parameters
    ==========

    holders : list of Member
        VMs to use, first to last.
    is_exhaustive : bool
        No caller waits: VMs that don't respond are always replaced, until
        there are enough replicas or no VMs are left.
    on_stored : callable
        Called with each VM that stores the records, and whether it reaches the
        log.
    on_failed : callable
        Called with each VM that did not store the records, and whether that is
        because it is shutting down.
    on_done : callable
        Called once with the number of replicas, when there are enough or no
        more can come.
    """

    def __init__(
        self,
        http: transport.HttpClient,
        holders: list[members_module.Member],
        is_exhaustive: bool,
        on_stored: Callable[[members_module.Member, bool], None],
        on_failed: Callable[[members_module.Member, bool], None],
        on_done: Callable[[int], None],
    ):
        self._http = http
        self._remaining = list(holders)
        self._is_exhaustive = is_exhaustive
        self._on_stored = on_stored
        self._on_failed = on_failed
        self._on_done: Callable[[int], None] | None = on_done
        self._pending = 0
        self._stored = 0

    def send(
        self,
        records: list[bytes],
        seconds: float,
        is_log_unavailable: bool = False,
    ) -> None:
        """Send the first requests; each VM has ``seconds`` to respond."""
        body = messages.encode(
            messages.StoreReplicasRequest(records, is_log_unavailable)
        )
        first = self._remaining[:PARALLEL_REQUESTS]
        self._remaining = self._remaining[PARALLEL_REQUESTS:]
        self._pending = len(first)
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
                self._stored += 1
                self._on_stored(member, _reaches_log(answer))
                settle(False)
            else:
                self._on_failed(member, status == messages.STOPPING_STATUS)
                settle(True)

        def unanswered(error) -> None:
            self._on_failed(member, False)
            settle(self._is_exhaustive or not self._stored)

        def settle(asks_next: bool) -> None:
            self._pending -= 1
            needs_more = self._on_done is not None
            needs_more = needs_more and self._stored < TARGET_REPLICAS
            if asks_next and needs_more and self._remaining:
                self._pending += 1
                self._ask(self._remaining.pop(0), body, seconds)
            elif self._stored >= TARGET_REPLICAS or not self._pending:
                self._finish()

        request = messages.request_to(
            member.peers, messages.KEEP_PATH, body, seconds
        )
        collector = transport.ResponseCollector(answered, unanswered)
        self._http.send(request, collector)

    def _finish(self) -> None:
        on_done, self._on_done = self._on_done, None
        if on_done is not None:
            on_done(self._stored)


def _reaches_log(answer: bytes) -> bool:
    """Return whether a response says that its VM reaches the log."""
    try:
        return messages.decode(
            messages.StoreReplicasResponse, answer
        ).reaches_log
    except errors.PeerError:
        return False
