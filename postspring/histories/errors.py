"""Errors of the histories' layer."""

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
    """The log did not answer in time; a record may still be appended.

    Parameters
    ----------
    reason : str
        A short word for counters.
    """

    def __init__(self, reason: str):
        super().__init__(f"the journal is not available: {reason}")
        self.reason = reason


class IncompleteChain(JournalUnavailable):
    """The log has a turn, but not all that precede it.

    They are kept by VMs that have not recorded them yet, or were lost with
    the VMs that kept them.

    Parameters
    ----------
    missing : str
        The first turn that is missing, from the head.
    """

    def __init__(self, missing: str):
        super().__init__("incomplete_chain")
        self.missing = missing


class MalformedRecord(HistoryError):
    """Bytes that are not a record of a history."""
