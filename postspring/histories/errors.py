"""Errors of the histories package."""

from postspring import errors

__all__ = [
    "HistoryError",
    "IncompleteChain",
    "JournalUnavailable",
    "MalformedRecord",
]


class HistoryError(errors.PostspringError):
    """A history could not be read or extended."""


class JournalUnavailable(HistoryError):
    """The log did not answer in time; the append may still take effect.

    Parameters
    ----------
    reason : str
        Short identifier of the cause.
    """

    def __init__(self, reason: str):
        super().__init__(f"the journal is not available: {reason}")
        self.reason = reason


class IncompleteChain(JournalUnavailable):
    """A turn was found, but one of its ancestors was not.

    The missing ancestors are held by VMs that have not recorded them yet, or
    were lost with those VMs.

    Parameters
    ----------
    missing : str
        The first missing turn, counted from the head.
    """

    def __init__(self, missing: str):
        super().__init__("incomplete_chain")
        self.missing = missing


class MalformedRecord(HistoryError):
    """Bytes that are not a valid record of a history."""
