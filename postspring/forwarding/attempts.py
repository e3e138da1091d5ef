"""How often a call may still be sent, and what it has been through."""

from postspring.forwarding import refusals
from postspring import routing

__all__ = ["Attempts"]

# Sends that certainly did not run, after which a call is given up.
MAX_UNSENT = 4


class Attempts:
    """Counts a call's sends: those that ran, and those that did not.

    Parameters
    ==========

    route : Route
        Says whether a call may run more than once, and where.
    deadline : float
        Monotonic time after which it is not sent any more.

    Examples
    ========

    >>> share = routing.ServiceShare("s")
    >>> route = routing.Route(
    ...     "r", "h", "/", routing.CallKind.ONCE, (share,), 1, 1, 2
    ... )
    >>> attempts = Attempts(route, deadline=4.0)
    >>> attempts.begin("u1")
    >>> attempts.note_unsent()
    >>> attempts.allow_another(now=0.1)
    True
    >>> attempts.note_run()
    >>> attempts.allow_another(now=0.1)
    False
    """

    def __init__(self, route: routing.Route, deadline: float):
        self._route = route
        self._deadline = deadline
        self._is_counted = False
        self.tried: set[str] = set()
        self.count = 0
        self.unsent = 0
        self.may_have_run = False
        self.without_entry = 0

    def begin(self, upstream: str, has_entry: bool = True) -> None:
        """Take note that the call is sent to an upstream."""
        self.tried.add(upstream)
        self._is_counted = False
        self.without_entry += not has_entry

    def note_run(self) -> None:
        """Take note that the upstream ran it, or may have."""
        self.may_have_run = True
        self._note()

    def note_shed(self) -> None:
        """Take note that the upstream was reached and did not run it."""
        self.unsent += 1
        self._note()

    def note_unsent(self) -> None:
        """Take note that it reached no upstream of the service."""
        self.unsent += 1

    def allow_another(self, now: float) -> bool:
        """Return whether the call may be sent once more."""
        if self.may_have_run and not self._route.may_repeat:
            return False
        return (
            self.count < self._route.max_attempts
            and self.unsent <= MAX_UNSENT
            and now < self._deadline
        )

    @property
    def are_last(self) -> bool:
        """Whether the send under way is the last that the route allows."""
        count = self.count + (not self._is_counted)
        return count >= self._route.max_attempts

    def outcome(self, otherwise: refusals.Refusal) -> refusals.Refusal:
        """Return why the call is given up; ``otherwise`` if it did not run."""
        if self.may_have_run:
            return refusals.Refusal.UNKNOWN_OUTCOME
        return otherwise

    def _note(self) -> None:
        if not self._is_counted:
            self._is_counted = True
            self.count += 1
