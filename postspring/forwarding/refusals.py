"""Answers that a VM generates itself, by reason."""

import enum

__all__ = ["Refusal"]

# Callers ignore a Retry-After above a third of their remaining time.
MAX_RETRY_AFTER_SHARE = 0.32


class Refusal(enum.Enum):
    """Reason of a refusal, with its status and delay before a retry.

    Explanation
    ===========

    Status 503 guarantees that the call did not run and never will; 502 and
    504 leave that open.  ``retry_after`` is in seconds; it is longer where
    the cause is a network failure, which lasts for some seconds.
    """

    NO_CONFIGURATION = ("no_configuration", 503, 0.5)
    UPSTREAMS_UNREACHABLE = ("upstreams_unreachable", 503, 1.2)
    CUT_OFF = ("cut_off", 503, 1.2)
    SHUTTING_DOWN = ("shutting_down", 503, 0.05)
    # The call never fits, so a retry is useless.
    TOO_LARGE = ("too_large", 503, None)
    NO_ROUTE = ("no_route", 404, None)
    ID_TOO_LONG = ("id_too_long", 400, None)
    UNKNOWN_KEY = ("unknown_key", 401, None)
    # The key may be in a configuration that this VM has not read yet.
    KEY_UNCERTAIN = ("key_uncertain", 503, 0.5)
    # The log has not confirmed the configuration for too long: the key may
    # be revoked.
    KEYS_UNCONFIRMED = ("keys_unconfirmed", 503, 0.8)
    # Another VM relayed the call to a process that has ended, or to one with
    # an older configuration.
    WORKSPACE_UNKNOWN = ("workspace_unknown", 503, 0.2)
    # The limiter computes the delay.
    OVER_LIMIT = ("over_limit", 429, 0.5)
    LIMIT_UNKNOWN = ("limit_unknown", 503, 0.4)
    ROUTE_UNCERTAIN = ("route_uncertain", 503, 0.5)
    NO_UPSTREAM = ("no_upstream", 503, 0.3)
    # The first turn of a program that could not end in time; the forecast
    # gives the delay.
    PROGRAM_NOT_ADMITTED = ("program_not_admitted", 503, 0.5)
    UPSTREAMS_REFUSED = ("upstreams_refused", 503, 0.1)
    JOURNAL_UNAVAILABLE = ("journal_unavailable", 503, 1.2)
    # The previous turn was found, but no VM asked holds its whole chain.
    HISTORY_INCOMPLETE = ("history_incomplete", 503, 1.2)
    # Histories of open turns take all the memory for callers.
    NO_MEMORY = ("no_memory", 503, 0.5)
    TURN_UNCERTAIN = ("turn_uncertain", 503, 1.2)
    BUDGET_RESERVED = ("budget_reserved", 503, 0.2)
    BUDGET_SPENT = ("budget_spent", 402, None)
    NO_SUCH_TURN = ("no_such_turn", 404, None)
    TIMED_OUT_UNSENT = ("timed_out_unsent", 503, 0.1)
    TIMED_OUT = ("timed_out", 504, None)
    # The request has run, at upstreams that crashed; a retry is useless.
    REPEATED_CRASHES = ("repeated_crashes", 502, None)
    UNKNOWN_OUTCOME = ("unknown_outcome", 502, None)

    def __init__(self, reason: str, status: int, retry_after: float | None):
        self.reason = reason
        self.status = status
        self.retry_after = retry_after

    def retry_after_within(
        self, remaining: float | None, call_retry_after: float | None = None
    ) -> float | None:
        """Return the delay before a retry, capped for the caller.

        Parameters
        ----------
        remaining : float or None
            Seconds until the caller's deadline.
        call_retry_after : float or None
            Delay that replaces the refusal's own, if it depends on the call.
        """
        seconds = (
            self.retry_after if call_retry_after is None else call_retry_after
        )
        if seconds is None or remaining is None:
            return seconds
        return min(seconds, max(0.0, remaining) * MAX_RETRY_AFTER_SHARE)

    @property
    def did_not_run(self) -> bool:
        """Whether the status guarantees that the call did not run."""
        return self.status in (400, 401, 402, 404, 429, 503)
