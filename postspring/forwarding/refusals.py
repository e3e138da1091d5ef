"""Why a call gets an answer of our own, and which one."""

import enum

__all__ = ["Refusal"]

# Callers heed a Retry-After of up to a third of the time that they have.
LONGEST_SHARE = 0.32


class Refusal(enum.Enum):
    """A reason, its status, and when the caller may come back.

    Explanation
    ===========

    Status 503 promises that the call did not run and never will; 502 and
    504 promise nothing.  ``retry_after`` is in seconds; what is out of
    reach stays so for some seconds, so those callers come back later.
    """

    NO_CONFIGURATION = ("no_configuration", 503, 0.5)
    UPSTREAMS_UNREACHABLE = ("upstreams_unreachable", 503, 1.2)
    CUT_OFF = ("cut_off", 503, 1.2)
    SHUTTING_DOWN = ("shutting_down", 503, 0.05)
    # It never fits: no time to come back is told.
    TOO_LARGE = ("too_large", 503, None)
    NO_ROUTE = ("no_route", 404, None)
    ID_TOO_LONG = ("id_too_long", 400, None)
    UNKNOWN_KEY = ("unknown_key", 401, None)
    # The key may have been added a moment ago.
    KEY_UNCERTAIN = ("key_uncertain", 503, 0.5)
    # The log has confirmed nothing for too long: the key may be gone.
    KEYS_UNCONFIRMED = ("keys_unconfirmed", 503, 0.8)
    # Another VM passed the call on, to a process that ended or to one whose
    # configuration is older.
    WORKSPACE_UNKNOWN = ("workspace_unknown", 503, 0.2)
    # How long depends on the limit.
    OVER_LIMIT = ("over_limit", 429, 0.5)
    LIMIT_UNKNOWN = ("limit_unknown", 503, 0.4)
    ROUTE_UNCERTAIN = ("route_uncertain", 503, 0.5)
    NO_UPSTREAM = ("no_upstream", 503, 0.3)
    UPSTREAMS_REFUSED = ("upstreams_refused", 503, 0.1)
    JOURNAL_UNAVAILABLE = ("journal_unavailable", 503, 1.2)
    # The turn is known, one before it is not: nobody who was asked has it.
    HISTORY_INCOMPLETE = ("history_incomplete", 503, 1.2)
    TURN_UNCERTAIN = ("turn_uncertain", 503, 1.2)
    BUDGET_RESERVED = ("budget_reserved", 503, 0.2)
    BUDGET_SPENT = ("budget_spent", 402, None)
    NO_SUCH_TURN = ("no_such_turn", 404, None)
    TIMED_OUT_UNSENT = ("timed_out_unsent", 503, 0.1)
    TIMED_OUT = ("timed_out", 504, None)
    UNKNOWN_OUTCOME = ("unknown_outcome", 502, None)

    def __init__(self, reason: str, status: int, retry_after: float | None):
        self.reason = reason
        self.status = status
        self.retry_after = retry_after

    def retry_after_within(
        self, remaining: float | None, told: float | None = None
    ) -> float | None:
        """Return when to come back; callers heed a third of what they have.

        Parameters
        ----------
        remaining : float or None
            Seconds that the caller has left.
        told : float or None
            When it is worth coming back, if that depends on the call.
        """
        seconds = self.retry_after if told is None else told
        if seconds is None or remaining is None:
            return seconds
        return min(seconds, max(0.0, remaining) * LONGEST_SHARE)

    @property
    def did_not_run(self) -> bool:
        """Whether the answer promises that the call did not run."""
        return self.status in (400, 401, 402, 404, 429, 503)
