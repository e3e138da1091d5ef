"""Errors of the keyed log."""

from postspring import errors

__all__ = [
    "KeyedLogError",
    "LogBusy",
    "LogDown",
    "LogExpired",
    "LogLate",
    "LogOverloaded",
    "LogUnavailable",
]


class KeyedLogError(errors.PostspringError):
    """A call to the log did not succeed.

    Attributes
    ----------
    shows_outage : bool
        Whether the error shows that the log was unavailable to this VM when
        the call was made: the call was sent, and the log did not respond or
        failed.
    """

    shows_outage = False


class LogUnavailable(KeyedLogError):
    """The log did not respond, or failed; an append may still take effect.

    Parameters
    ----------
    reason : str
        Short name of the cause.
    """

    shows_outage = True

    def __init__(self, reason: str):
        super().__init__(f"the log is not available: {reason}")
        self.reason = reason


class LogBusy(LogUnavailable):
    """The log refused the call because of too many calls; it has no effect."""

    shows_outage = False


class LogOverloaded(LogUnavailable):
    """The log refused the append as too many wait, or fails; no effect."""


class LogLate(LogUnavailable):
    """The log answered other calls, but not this append; it may take effect.

    Other appends wait before it, so it would be as late by any other path.
    """

    shows_outage = False


class LogDown(LogUnavailable):
    """The call was not made, as the log has not responded lately."""

    shows_outage = False


class LogExpired(KeyedLogError):
    """The requested records have expired."""
