"""Lines that callers and upstreams write, one for each request."""

import dataclasses
import enum
import json
import pathlib
from typing import Any
from typing import TextIO

from postspring.platform import names

__all__ = ["Attempt", "End", "Kind", "Run", "load_records", "write_record"]


# As parsed answers have them.
SEAL_FIELD = names.SERVER_SEAL.lower()
ID_FIELD = names.REQUEST_ID.lower()


class Kind(enum.StrEnum):
    """What may be repeated of a request."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    TURN = "turn"


class End(enum.StrEnum):
    """How an attempt ended for its caller.

    ``CLOSED`` is a connection that ended before the answer's first byte,
    ``CUT`` one that ended in the middle of it; both by an end of stream or,
    in ``RESET`` and ``CUT_RESET``, by a reset.  ``GAVE_UP`` is the caller's
    own doing; ``UNREACHABLE`` and ``UNSENT`` come before the last byte.
    ``SURPLUS`` is no request: bytes came on a kept connection.
    """

    WHOLE = "whole"
    CLOSED = "closed"
    RESET = "reset"
    CUT = "cut"
    CUT_RESET = "cut_reset"
    GARBLED = "garbled"
    GAVE_UP = "gave_up"
    UNREACHABLE = "unreachable"
    UNSENT = "unsent"
    SURPLUS = "surplus"


# Ends by the other side, with a request sent and no whole answer.
BROKEN_ENDS = frozenset(
    {End.CLOSED, End.RESET, End.CUT, End.CUT_RESET, End.GARBLED}
)


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a caller; times are monotonic seconds.

    Parameters
    ==========

    work : str
        What is attempted; all attempts of a turn or call share it.
    connection, use : str, int
        Which connection, and how many requests were sent on it before.
    sent : float
        When the last byte was handed to the kernel; 0 if it never was.
    answer : str
        Digest of the answer's body as far as it came.
    expected : str
        Digest of the body that an upstream is to get; empty if it is what
        the caller sent.
    previous_ended : float
        When the turn that it continues had ended whole; 0 for none.
    deadline : float
        When the caller gives up.
    workspace : str
        Who holds its key; empty if nobody does.
    """

    id: str
    work: str
    kind: Kind
    vm: str
    connection: str
    use: int
    began: float
    deadline: float
    expected: str
    program: str = ""
    previous: str = ""
    previous_ended: float = 0.0
    sent: float = 0.0
    ended: float = 0.0
    end: End = End.UNSENT
    status: int = 0
    size: int = 0
    answer: str = ""
    seal: str = ""
    echo: str = ""
    retry_after: str = ""
    slow: bool = False
    workspace: str = ""

    def __post_init__(self):
        self.kind = Kind(self.kind)
        self.end = End(self.end)


@dataclasses.dataclass(slots=True)
class Run:
    """A request at an upstream, from its arrival to its end.

    Parameters
    ==========

    key : str
        The upstream's name for this run; one run may have two lines.
    ran : bool
        Whether work on it began; else it was refused as not run.
    body : str
        Digest of the body that came.
    end : str
        ``whole``, ``gone`` (the other side left) or ``broke_off`` (the
        upstream's own doing).
    answer : str
        Digest of what it answered as far as it went.
    workspace : str
        Whose it is, as the upstream was told.
    has_key : bool
        The upstream was given a caller's key.
    is_early : bool
        It was answered before its body had come; ``body`` is empty.
    """

    id: str
    key: str
    upstream: str
    began: float
    ran: bool
    body: str
    previous: str = ""
    ended: float = 0.0
    end: str = ""
    status: int = 0
    answer: str = ""
    workspace: str = ""
    has_key: bool = False
    is_early: bool = False


def write_record(file: TextIO, record: Any) -> None:
    """Append a line of a dataclass's fields and hand it to the kernel."""
    file.write(json.dumps(dataclasses.asdict(record)) + "\n")
    file.flush()


def load_records(paths: list[pathlib.Path], record_class: type) -> list:
    """Return the records of some files; a last line cut off is left out."""
    found = []
    for path in paths:
        for line in path.read_text().splitlines(keepends=True):
            if line.endswith("\n"):
                found.append(record_class(**json.loads(line)))
    return found
