"""A caller's request and the answer to it, and what callers may send."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import logging
from typing import Protocol

from postspring.transport import files

__all__ = [
    "AnswerSender",
    "Cut",
    "EndedBy",
    "Fields",
    "IncomingCall",
    "ServerLimits",
]

LOG = logging.getLogger(__name__)
BAD_GATEWAY = 502

Fields = Iterable[tuple[str | bytes, str | bytes]]


@dataclasses.dataclass(slots=True)
class ServerLimits:
    """What a caller may send; sizes in bytes, times in seconds.

    Explanation
    ===========

    A server reads the current values at each use, so a new configuration
    is in force at once.  ``body_seconds`` bounds a body that comes slowly.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 5.0
    body_seconds: float = 30.0
    idle_seconds: float = 60.0
    connections: int = dataclasses.field(
        default_factory=files.connection_bound
    )

    @classmethod
    def within(cls, most_files: int) -> "ServerLimits":
        """Return limits for a process that may open so many files."""
        return cls(connections=files.connection_bound(most_files))


class EndedBy(enum.Enum):
    """Who ended a connection on which something was owed."""

    CALLER = "caller"
    VM = "vm"
    ERROR = "error"


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """The end of a connection on which something was owed.

    Parameters
    ==========

    call : IncomingCall or None
        The request that was open, or whose answer had not wholly left.
    unsent : int
        Bytes of its answer that were still here.
    seconds : float
        Since the request's last byte.
    """

    ended_by: EndedBy
    call: "IncomingCall | None"
    unsent: int
    seconds: float


class AnswerSender(Protocol):
    """The connection that a request came on."""

    def send_answer(self, status: int, fields: list, body: bytes) -> None:
        """Send a whole answer."""

    def send_head(self, status: int, fields: list) -> None:
        """Begin an answer."""

    def send_data(self, data: bytes) -> None:
        """Send a part of an answer's body."""

    def send_end(self) -> None:
        """Complete an answer."""

    def abort(self) -> None:
        """Close at once, without completing the answer."""


class IncomingCall:
    """A request and the answer to it, which may come at any later time.

    Explanation
    ===========

    Answer with :meth:`respond`, or with :meth:`start`, :meth:`send` and
    :meth:`finish`.  :meth:`abort` closes the connection, so that an answer
    that ends early does not look complete.  When the caller is gone,
    answers go nowhere and ``on_gone`` was called.

    Parameters
    ==========

    fields : list of (str, str)
        Header fields in the caller's order and case.
    received_at : float
        Monotonic time of the request's last byte, in seconds.

    Attributes
    ==========

    close_after : bool
        The answer ends the connection: the caller is to make a new one.
    on_out_of_time : callable or None
        Called when this VM is about to end: the final answer is due now.
    """

    def __init__(
        self,
        connection: AnswerSender,
        method: str,
        target: str,
        fields: list[tuple[str, str]],
        body: bytes,
        received_at: float,
    ):
        self._connection = connection
        self.method = method
        self.target = target
        self.fields = fields
        self.body = body
        self.received_at = received_at
        self.gone = False
        self.close_after = False
        self.answered = False
        self.on_gone: Callable[[], None] | None = None
        self.on_out_of_time: Callable[[], None] | None = None
        self._value_by_name: dict[str, str] = {}
        for name, value in fields:
            self._value_by_name.setdefault(name.lower(), value)

    def header(self, name: str, default: str = "") -> str:
        """Return the first value of a header field, in any case."""
        return self._value_by_name.get(name.lower(), default)

    def respond(self, status: int, fields: Fields, body: bytes = b"") -> None:
        """Give a whole answer."""
        if self.answered or self.gone:
            return
        self.answered = True
        length = ("Content-Length", str(len(body)))
        self._connection.send_answer(status, [*fields, length], body)

    def start(self, status: int, fields: Fields) -> None:
        """Begin an answer whose length is not known."""
        if self.answered or self.gone:
            return
        self.answered = True
        self._connection.send_head(status, list(fields))

    def send(self, data: bytes) -> None:
        """Send a part of a started answer."""
        if not self.gone and data:
            self._connection.send_data(data)

    def finish(self) -> None:
        """End a started answer as complete."""
        if not self.gone:
            self._connection.send_end()

    def run_out(self) -> None:
        """Have the final answer given, or break off what has begun.

        Whoever knows whether the request has run says so; of another one
        nothing is promised.
        """
        was_answered = self.answered
        is_broken_off = was_answered and self.on_out_of_time is None
        try:
            if self.on_out_of_time is not None:
                self.on_out_of_time()
        except Exception:
            # Others have their end only after this one.
            LOG.exception("a call's end failed")
            is_broken_off = was_answered
        if is_broken_off:
            self.abort()
        self.respond(BAD_GATEWAY, [])

    def abort(self) -> None:
        """Close the connection without completing the answer."""
        self.answered = True
        if not self.gone:
            self._connection.abort()
