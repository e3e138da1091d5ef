"""A pool of upstreams with a queue of waiting calls for each target."""

from collections.abc import Hashable
from collections.abc import Iterator
import dataclasses

from postspring.scheduling import order
from postspring.scheduling import placement
from postspring.upstreams import state

__all__ = ["Assignment", "UpstreamPool", "WaitingCall"]


@dataclasses.dataclass(slots=True)
class WaitingCall:
    """A call that waits for an upstream.

    Parameters
    ==========

    key : hashable
        Identifies the call to the code that submitted it.
    target : str
        The model, tool or plain service that the call needs.
    priority : int
        Calls with a larger value go first.
    enqueued_at : float
        Seconds, on the same clock as ``now`` of :class:`UpstreamPool`.
    last_upstream : str
        Incarnation of the program's last upstream, or empty.
    excluded : frozenset of str
        Ids of the upstreams at which this call failed.
    """

    key: Hashable
    target: str
    priority: int
    enqueued_at: float
    last_upstream: str = ""
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A call and the upstream that was assigned to it."""

    waiting_call: WaitingCall
    upstream: state.UpstreamState


class UpstreamPool:
    """Assigns waiting calls to upstreams that have room.

    Parameters
    ==========

    placement : Placement
        Selects one of the upstreams with room.
    order : Order
        Orders the waiting calls.
    max_waiting : int
        Maximum number of calls that wait for one target.
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
        self._waiting_by_target: dict[str, dict[Hashable, WaitingCall]] = {}

    def replace_upstreams(self, upstreams: list[state.UpstreamState]) -> None:
        """Replace the upstreams; those that remain keep their statistics."""
        known = self.upstream_by_id
        self.upstream_by_id = {}
        for upstream in upstreams:
            previous = known.get(upstream.id)
            if previous is not None and previous.address == upstream.address:
                previous.reconfigure(upstream)
                upstream = previous
            self.upstream_by_id[upstream.id] = upstream

    def serves(self, target: str) -> bool:
        """Return whether any upstream serves the target."""
        return any(
            target in upstream.serves
            for upstream in self.upstream_by_id.values()
        )

    def has_usable_upstream(self, target: str, now: float) -> bool:
        """Return whether an upstream of the target accepts calls."""
        return any(
            target in upstream.serves and upstream.accepts(now)
            for upstream in self.upstream_by_id.values()
        )

    def is_full(self, target: str) -> bool:
        """Return whether the target's queue has reached its maximum."""
        return len(self._waiting_by_target.get(target, ())) >= self.max_waiting

    def submit(self, waiting_call: WaitingCall) -> None:
        """Add a waiting call; :meth:`assign` yields it later."""
        waiting = self._waiting_by_target.setdefault(waiting_call.target, {})
        waiting[waiting_call.key] = waiting_call

    def withdraw(self, target: str, key: Hashable) -> None:
        """Remove a waiting call."""
        self._waiting_by_target.get(target, {}).pop(key, None)

    def assign(self, now: float) -> Iterator[Assignment]:
        """Assign calls to upstreams, and yield the assignments."""
        for target, waiting in self._waiting_by_target.items():
            if waiting:
                yield from self._assign_target(target, waiting, now)

    def release(self, upstream_id: str, *, failed: bool, now: float) -> None:
        """Release the slot of a call, and count its success or failure."""
        upstream = self.upstream_by_id.get(upstream_id)
        if upstream is None:
            return
        upstream.in_flight = max(0, upstream.in_flight - 1)
        if failed:
            upstream.note_failure(now)
        else:
            upstream.note_success()

    def _assign_target(
        self, target: str, waiting: dict[Hashable, WaitingCall], now: float
    ) -> Iterator[Assignment]:
        serving = [
            upstream
            for upstream in self.upstream_by_id.values()
            if target in upstream.serves
        ]
        for waiting_call in sorted(waiting.values(), key=self.order.key):
            candidates = [
                upstream
                for upstream in serving
                if upstream.has_room(now)
                and upstream.id not in waiting_call.excluded
            ]
            if not candidates:
                if not any(upstream.has_room(now) for upstream in serving):
                    return
                continue
            chosen = self.placement.choose(waiting_call, candidates)
            if chosen is None:
                continue
            del waiting[waiting_call.key]
            chosen.in_flight += 1
            yield Assignment(waiting_call, chosen)
