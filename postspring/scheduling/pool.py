"""The pool of upstreams: waiting calls on one side, room on the other."""

from collections.abc import Hashable
from collections.abc import Iterator
import dataclasses

from postspring.scheduling import order
from postspring.scheduling import placement
from postspring.upstreams import state

__all__ = ["Assignment", "Ticket", "UpstreamPool"]


@dataclasses.dataclass(slots=True)
class Ticket:
    """A call that waits for an upstream.

    Parameters
    ==========

    key : hashable
        Identifies the call for whoever submitted it.
    target : str
        The model, tool or plain service that is called.
    priority : int
        Larger goes first.
    enqueued_at : float
        Seconds, on the clock that the pool is given.
    last_upstream : str
        Where the program ran last; empty if nowhere.
    excluded : frozenset of str
        Upstreams that failed this very call.
    """

    key: Hashable
    target: str
    priority: int
    enqueued_at: float
    last_upstream: str = ""
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A waiting call got an upstream."""

    ticket: Ticket
    upstream: state.UpstreamState


class UpstreamPool:
    """Matches waiting calls with upstreams that have room.

    Parameters
    ==========

    placement : Placement
        Chooses among upstreams with room.
    order : Order
        Chooses among waiting calls.
    max_waiting : int
        Calls that may wait for one target.
    """

    def __init__(
        self,
        placement: placement.Placement,
        order: order.Order,
        max_waiting: int = 1000,
    ):
        self.placement = placement
        self.order = order
        self.max_waiting = max_waiting
        self.upstream_by_id: dict[str, state.UpstreamState] = {}
        self._waiting_by_target: dict[str, dict[Hashable, Ticket]] = {}

    def replace_upstreams(self, upstreams: list[state.UpstreamState]) -> None:
        """Take a new set of upstreams; known ones keep what they learnt."""
        known = self.upstream_by_id
        self.upstream_by_id = {}
        for upstream in upstreams:
            former = known.get(upstream.id)
            if former is not None and former.address == upstream.address:
                former.reconfigure(upstream)
                upstream = former
            self.upstream_by_id[upstream.id] = upstream

    def serves(self, target: str) -> bool:
        """Return whether any upstream serves the target at all."""
        return any(
            target in upstream.serves
            for upstream in self.upstream_by_id.values()
        )

    def usable(self, target: str, now: float) -> bool:
        """Return whether an upstream serves the target and is healthy."""
        return any(
            target in upstream.serves and upstream.accepts(now)
            for upstream in self.upstream_by_id.values()
        )

    def full(self, target: str) -> bool:
        """Return whether as many calls wait for the target as may."""
        return len(self._waiting_by_target.get(target, ())) >= self.max_waiting

    def submit(self, ticket: Ticket) -> None:
        """Add a waiting call; :meth:`assign` says when it gets its turn."""
        waiting = self._waiting_by_target.setdefault(ticket.target, {})
        waiting[ticket.key] = ticket

    def withdraw(self, target: str, key: Hashable) -> None:
        """Remove a waiting call."""
        self._waiting_by_target.get(target, {}).pop(key, None)

    def assign(self, now: float) -> Iterator[Assignment]:
        """Yield the calls that get an upstream now, and count them there."""
        for target, waiting in self._waiting_by_target.items():
            if waiting:
                yield from self._assign_target(target, waiting, now)

    def release(self, upstream_id: str, *, failed: bool, now: float) -> None:
        """Give back the room that one call took."""
        upstream = self.upstream_by_id.get(upstream_id)
        if upstream is None:
            return
        upstream.in_flight = max(0, upstream.in_flight - 1)
        if failed:
            upstream.note_failure(now)
        else:
            upstream.note_success()

    def _assign_target(
        self, target: str, waiting: dict[Hashable, Ticket], now: float
    ) -> Iterator[Assignment]:
        serving = [
            upstream
            for upstream in self.upstream_by_id.values()
            if target in upstream.serves
        ]
        for ticket in sorted(waiting.values(), key=self.order.key):
            candidates = [
                upstream
                for upstream in serving
                if upstream.has_room(now)
                and upstream.id not in ticket.excluded
            ]
            if not candidates:
                if not any(upstream.has_room(now) for upstream in serving):
                    return
                continue
            chosen = self.placement.choose(ticket, candidates)
            if chosen is None:
                continue
            del waiting[ticket.key]
            chosen.in_flight += 1
            yield Assignment(ticket, chosen)
