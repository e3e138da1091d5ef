"""Routes, which are found by host and path prefix."""

from collections.abc import Iterable
import dataclasses
import enum

__all__ = ["CallKind", "Route", "RouteTable", "ServiceShare"]


class CallKind(enum.Enum):
    """Kind of a route's calls, which decides whether they may be repeated.

    ``IDEMPOTENT`` calls may run more than once.  ``ONCE`` calls run at most
    once for each attempt of the caller.  ``STREAM`` calls are answered by a
    series of events; they run at most once, too, unless the route allows
    streams to be resumed.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service that receives a weighted share of a route's calls."""

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A route with its rules; times in seconds.

    Parameters
    ==========

    prefix : str
        Begins and ends with a slash.
    shares : tuple of ServiceShare
        The services that receive the calls.
    timeout : float
        Maximum time between a call and its answer.
    objective : float
        Latency up to which an answer has its full value; for streams, the
        latency of the first event.
    max_attempts : int
        Maximum number of attempts, without those that reach no upstream.
    priority : int
        Rank of the calls; 0 comes first.
    keeps_history : bool
        A turn contains only its new input and names the turn that it
        continues; otherwise the caller sends the whole conversation.
    retention : float
        Time for which a turn and its chain, or a program's usage, are kept.
    pause_objective : float
        Objective for the pauses between the events of a stream.
    may_resume : bool
        A stream may run more than once, and resume at another upstream.
    is_public : bool
        Callers need no key.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[ServiceShare, ...]
    timeout: float
    objective: float
    max_attempts: int = 1
    priority: int = 0
    keeps_history: bool = False
    retention: float = 0.0
    sticky: bool = False
    pause_objective: float = 0.0
    may_resume: bool = False
    is_public: bool = False

    @property
    def may_repeat(self) -> bool:
        """Whether a call may run more than once."""
        if self.kind is CallKind.STREAM:
            return self.may_resume
        return self.kind is CallKind.IDEMPOTENT

    @property
    def has_programs(self) -> bool:
        """Whether calls are turns of programs with budgets."""
        if self.kind is not CallKind.STREAM:
            return False
        return self.keeps_history or self.retention > 0

    def choose_service(self, fraction: float) -> str:
        """Return the service for a random number from 0 to 1.

        Examples
        --------
        >>> shares = (ServiceShare("a", 3), ServiceShare("b", 1))
        >>> route = Route("r", "h", "/", CallKind.ONCE, shares, 1, 1)
        >>> route.choose_service(0.5), route.choose_service(0.9)
        ('a', 'b')
        """
        total_weight = sum(share.weight for share in self.shares)
        remaining_weight = fraction * total_weight
        for share in self.shares:
            remaining_weight -= share.weight
            if remaining_weight < 0:
                return share.service
        return self.shares[-1].service


class RouteTable:
    """Finds the route of a call by the longest prefix on its host.

    Examples
    ========

    >>> shares = (ServiceShare("s"),)
    >>> a = Route("a", "h", "/x/", CallKind.ONCE, shares, 1, 1)
    >>> b = Route("b", "h", "/x/y/", CallKind.ONCE, shares, 1, 1)
    >>> table = RouteTable([a, b])
    >>> table.find("H:80", "/x/y/z?q=/").name, table.find("h", "/x/y").name
    ('b', 'a')
    >>> table.find("h", "/x") is None
    True
    """

    def __init__(self, routes: Iterable[Route]):
        self._by_prefix_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            by_prefix = self._by_prefix_by_host.setdefault(
                route.host.lower(), {}
            )
            by_prefix[route.prefix] = route

    def find(self, host: str, target: str) -> Route | None:
        """Return the route for a Host header and a request target."""
        name = host.rsplit(":", 1)[0] if ":" in host else host
        by_prefix = self._by_prefix_by_host.get(name.lower())
        if not by_prefix:
            return None
        path = target.split("?", 1)[0]
        prefix_end = path.rfind("/")
        while prefix_end >= 0:
            route = by_prefix.get(path[: prefix_end + 1])
            if route is not None:
                return route
            prefix_end = path.rfind("/", 0, prefix_end)
        return None

    def __iter__(self):
        for by_prefix in self._by_prefix_by_host.values():
            yield from by_prefix.values()
