"""Errors of the keyed log."""

from postspring import errors

__all__ = [
    "KeyedLogError",
    "LogBusy",
    "LogDown",
    "LogExpired",
    "LogUnavailable",
]


class KeyedLogError(errors.PostspringError):
    """A call to the log did not succeed.

    Attributes
    ----------
    shows_away : bool
        Whether the log was away, or this VM cut off from it, when the call
        was made: it was asked and did not answer.
    """

    shows_away = False


class LogUnavailable(KeyedLogError):
    """The log did not answer, or refused; an append may still happen.

    Parameters
    ----------
    reason : str
        A short word for counters.
    """

    shows_away = True

    def __init__(self, reason: str):
        super().__init__(f"the log is not available: {reason}")
        self.reason = reason


class LogBusy(LogUnavailable):
    """The log gets more calls than it takes; this one was not done."""

    shows_away = False


class LogDown(LogUnavailable):
    """The log did not answer lately, so the call was not made."""

    shows_away = False


class LogExpired(KeyedLogError):
    """The records that were asked for have expired."""
