"""Errors of the histories' layer."""

from postspring import errors

__all__ = ["HistoryError", "JournalUnavailable", "MalformedRecord"]


class HistoryError(errors.PostspringError):
    """A history could not be read or extended."""


class JournalUnavailable(HistoryError):
    """The log did not answer in time; a record may still be appended.

    Parameters
    ----------
    reason : str
        A short word for counters.
    """

    def __init__(self, reason: str):
        super().__init__(f"the journal is not available: {reason}")
        self.reason = reason


class MalformedRecord(HistoryError):
    """Bytes that are not a record of a history."""
