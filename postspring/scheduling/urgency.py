"""Urgency: the priority of calls at upstreams, for queues and preemption."""

import abc
import bisect
import dataclasses

from postspring import registry

__all__ = [
    "ByRank",
    "BySlack",
    "CallStanding",
    "Unranked",
    "Urgency",
    "urgency_by_name",
]

# Upstreams have ten levels; 0 comes first.
MAX_URGENCY = 9
LEVELS = MAX_URGENCY + 1
# A program with less time left than this share of a turn's average duration
# can no longer end in time.  Below 1, as its last turn may be a short one.
MIN_TURN_SHARE = 0.25
# Every so many calls of a rank's last level are sent with its first level, so
# that they get at least this part of the rank's slots.
PROMOTION_INTERVAL = 8

urgency_by_name: registry.Registry = registry.Registry("urgency")


@dataclasses.dataclass(frozen=True, slots=True)
class CallStanding:
    """The properties of a call that decide its urgency; times in seconds.

    Parameters
    ==========

    rank : int
        Priority of the workspace or else of the route; 0 comes first.
    ranks : tuple of int
        All ranks that the configuration contains, in order.
    slack : float or None
        Time left until the program should end, minus the expected duration
        of this turn; None if the program has no deadline.
    turn_seconds : float
        Expected duration of this turn; 0 if it is unknown.
    is_under_way : bool
        Whether a turn of the program has run before.
    """

    rank: int
    ranks: tuple[int, ...] = ()
    slack: float | None = None
    turn_seconds: float = 0.0
    is_under_way: bool = False

    @property
    def is_too_late(self) -> bool:
        """Whether the program can no longer end in time."""
        if self.slack is None:
            return False
        time_left = self.slack + self.turn_seconds
        return time_left <= MIN_TURN_SHARE * self.turn_seconds


class Urgency(abc.ABC):
    """Maps the standing of a call to an urgency for upstreams."""

    @abc.abstractmethod
    def of(self, call: CallStanding) -> int | None:
        """Return a call's urgency, or None to send none."""


@urgency_by_name.register("none")
class Unranked(Urgency):
    """Upstreams serve calls in the order of arrival."""

    def of(self, call: CallStanding) -> int | None:
        """Return no urgency."""
        return None


@urgency_by_name.register("rank")
class ByRank(Urgency):
    """By the rank that operators give workspaces and routes.

    Examples
    ========

    >>> ByRank().of(CallStanding(0)), ByRank().of(CallStanding(12))
    (0, 9)
    """

    def of(self, call: CallStanding) -> int | None:
        """Return the rank, capped at the last level of upstreams."""
        return min(call.rank, MAX_URGENCY)


@urgency_by_name.register("slack")
class BySlack(Urgency):
    """By rank, then later turns before first ones, then by slack.

    Explanation
    ===========

    The ranks of the configuration share the ten levels evenly, so a less
    urgent rank never precedes a more urgent one; with six ranks or more each
    has one level.  Within a rank, the last level is that of programs that can
    no longer end in time.  The other levels are divided between later and
    first turns.  Each level covers twice as much slack as the one before,
    beginning with the duration of one turn.

    Every eighth call of a rank's last level gets its first level, which
    bounds starvation.

    Examples
    ========

    >>> policy = BySlack()
    >>> def level(slack, is_under_way, rank=0, ranks=(0,)):
    ...     return policy.of(
    ...         CallStanding(rank, ranks, slack, 0.2, is_under_way)
    ...     )
    >>> level(0.1, True), level(0.3, True), level(9.0, True)
    (0, 1, 4)
    >>> level(0.1, False), level(None, False), level(-0.2, True)
    (5, 8, 9)
    >>> level(9.0, False, 0, (0, 1)), level(0.1, True, 1, (0, 1))
    (3, 5)
    """

    def __init__(self):
        self._last_level_calls_by_rank: dict[int, int] = {}

    def of(self, call: CallStanding) -> int | None:
        """Return the first level of the rank plus the call's place in it."""
        ranks = call.ranks or (call.rank,)
        index = min(bisect.bisect_left(ranks, call.rank), len(ranks) - 1)
        width = max(1, LEVELS // len(ranks))
        first = min(index * width, MAX_URGENCY)
        place = self._place(call, width)
        if place and place == width - 1 and self._is_promoted(call.rank):
            place = 0
        return first + place

    def _place(self, call: CallStanding, width: int) -> int:
        """Return the level of a call within its rank's ``width`` levels."""
        if width == 1:
            return 0
        if call.is_too_late:
            return width - 1
        others = width - 1
        later = (others + 1) // 2
        if call.is_under_way or others == 1:
            return _slack_level(call, later)
        return later + _slack_level(call, others - later)

    def _is_promoted(self, rank: int) -> bool:
        calls = self._last_level_calls_by_rank.get(rank, 0) + 1
        self._last_level_calls_by_rank[rank] = calls % PROMOTION_INTERVAL
        return calls == PROMOTION_INTERVAL


def _slack_level(call: CallStanding, levels: int) -> int:
    """Return the level by slack, from 0 to ``levels`` - 1."""
    if call.slack is None or not call.turn_seconds:
        return levels - 1
    level = 0
    limit = call.turn_seconds
    while level < levels - 1 and call.slack >= limit:
        level += 1
        limit *= 2
    return level
