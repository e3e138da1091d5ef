"""Counts the attempts of a call, and decides whether it is retried."""

import logging

from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring import routing
from postspring import upstreams

__all__ = ["Attempts"]

LOG = logging.getLogger(__name__)
# A call is not retried after more attempts than this that did not run.
MAX_ATTEMPTS_NOT_RUN = 4


class Attempts:
    """Attempts to deliver one call, by whether the upstream ran it.

    Parameters
    ==========

    route : Route
        Specifies whether a call may run more than once, and the maximum
        number of attempts.
    deadline : float
        Monotonic time after which the call is not retried.
    request : str
        Id of the call, for the log.

    Attributes
    ==========

    tried : set of str
        Incarnations of the upstreams to which the call was sent.
    ran : set of str
        Those of them that ran the call, or may have.
    excluded : set of str
        Those of them whose weights differ from the ones expected.
    count : int
        Attempts that ran, may have run, or that an upstream of the service
        rejected.
    unsent : int
        Attempts that certainly did not run.
    without_entry : int
        Attempts at upstreams without an entry in the log.
    may_have_run : bool
        Whether any attempt ran or may have run.
    left_subset : str
        Why the call was sent to an upstream outside of this VM's subset;
        empty if it was not.
    expected_wait_by_id : dict
        Costs in seconds by which the last upstream was chosen; empty if the
        placement policy compares none.

    Examples
    ========

    >>> share = routing.ServiceShare("s")
    >>> route = routing.Route(
    ...     "r", "h", "/", routing.CallKind.ONCE, (share,), 1, 1, 2
    ... )
    >>> attempts = Attempts(route, deadline=4.0)
    >>> attempts.begin("u1")
    >>> attempts.note_unsent()
    >>> attempts.allows_retry(now=0.1)
    True
    >>> attempts.note_run()
    >>> attempts.allows_retry(now=0.1)
    False
    """

    def __init__(
        self, route: routing.Route, deadline: float, request: str = ""
    ):
        self._route = route
        self._deadline = deadline
        self._request = request
        self._upstream = ""
        self._is_counted = False
        self.tried: set[str] = set()
        self.ran: set[str] = set()
        self.excluded: set[str] = set()
        self.count = 0
        self.unsent = 0
        self.may_have_run = False
        self.without_entry = 0
        self.left_subset = ""
        self.expected_wait_by_id: dict[str, float] = {}

    def begin(self, upstream: str, has_entry: bool = True) -> None:
        """Record that the call is sent to an upstream."""
        self._upstream = upstream
        self.tried.add(upstream)
        self._is_counted = False
        self.without_entry += not has_entry

    def note_run(self) -> None:
        """Record that the upstream ran the call, or may have."""
        self.may_have_run = True
        self.ran.add(self._upstream)
        self._count_attempt()

    def note_shed(self) -> None:
        """Record that the upstream received the call and did not run it."""
        self.unsent += 1
        self._count_attempt()

    def note_unsent(self) -> None:
        """Record that no upstream of the service received the call."""
        self.unsent += 1

    def note_rejection(
        self,
        answer: ports.ResponseFacts,
        upstream: upstreams.Upstream,
        weights: str,
    ) -> None:
        """Record that an answer states that the call did not run.

        Parameters
        ----------
        weights : str
            Version of the weights that the call expects, or empty.
        """
        if not answer.wrong_upstream:
            self.note_shed()
            return
        self.note_unsent()
        # A 421 of the right upstream means that its weights differ.
        if answer.upstream == upstream.id:
            self.note_other_weights(weights)
        else:
            upstream.leaving = True

    def note_other_weights(self, expected: str) -> None:
        """Record that the upstream has other weights than expected.

        It is not asked again.
        """
        self.excluded.add(self._upstream)
        LOG.info(
            "upstream has other weights",
            extra={
                "request": self._request,
                "upstream": self._upstream,
                "expected": expected,
                "tried": sorted(self.tried),
                "unsent": self.unsent,
            },
        )

    def allows_retry(self, now: float) -> bool:
        """Return whether the call may be sent again."""
        if self.may_have_run and not self._route.may_repeat:
            return False
        return (
            self.count < self._route.max_attempts
            and self.unsent <= MAX_ATTEMPTS_NOT_RUN
            and now < self._deadline
        )

    def prefers(self, upstream: str) -> bool:
        """Return whether an upstream is preferred for the next attempt.

        It is one that was not tried yet.  Before retries run out because
        upstreams have other weights, it is one that ran the call, as it is
        the only one known to have had the weights.
        """
        if self.excluded and self.unsent >= MAX_ATTEMPTS_NOT_RUN:
            return upstream in self.ran
        return upstream not in self.tried

    @property
    def is_last_attempt(self) -> bool:
        """Whether the current attempt is the last that the route allows."""
        count = self.count + (not self._is_counted)
        return count >= self._route.max_attempts

    def final_refusal(self, if_not_run: refusals.Refusal) -> refusals.Refusal:
        """Return the refusal of the call; ``if_not_run`` if it did not run."""
        if self.may_have_run:
            return refusals.Refusal.UNKNOWN_OUTCOME
        return if_not_run

    def _count_attempt(self) -> None:
        if not self._is_counted:
            self._is_counted = True
            self.count += 1
