"""Collects answers of upstreams within the memory of the VM.

An answer that is not a stream is collected whole, and of a stream the event
that is incomplete.
"""

import sys

from postspring.forwarding import event_splitter
from postspring import transport

__all__ = ["AnswerMemory", "CollectedAnswer"]

# Until a paused answer is read on if there is memory again, in seconds; many
# times shorter than the time that callers wait.
RETRY_SECONDS = 0.02
# Shares of the memory for callers that all answers may take, and one of them.
# Requests find room beside them.
ALL_SHARE = 0.5
ONE_SHARE = 0.25
# The memory for callers if it is not stated, in bytes.
UNSTATED_BYTES = 256 * 1024 * 1024
# Answers that have at most this many bytes so far are read on whatever others
# hold: a first read may bring as much, and an answer that stalls would delay
# all others until its caller's deadline.
SHORT_BYTES = 16 * 1024
# Shorter incomplete events are not counted: each open stream may have one.
MIN_COUNTED_EVENT_BYTES = 64 * 1024
# Answers to such requests, or with such a status, have no body, whatever
# length they state.
METHOD_WITHOUT_BODY = "HEAD"
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class AnswerMemory:
    """The answers that a VM is collecting.

    Explanation
    ===========

    Above the limit for all answers, or for what callers have the process
    hold, reading from the upstreams pauses, so that the rest of their answers
    waits there.  The answer that began first is read on until it ends or
    exceeds the limit of one answer, so that one of them always ends.  Short
    answers don't wait.

    Parameters
    ==========

    memory : CallerMemory, optional
        Without it, the limits are those of unstated memory.

    Attributes
    ==========

    held : int
        Bytes of the answers.
    """

    def __init__(
        self,
        timers: transport.Timers,
        memory: transport.CallerMemory | None = None,
    ):
        self.timers = timers
        self.memory = memory or transport.CallerMemory()
        self.held = 0
        self._open: dict[CollectedAnswer, None] = {}

    def collect(self) -> "CollectedAnswer":
        """Return an empty answer."""
        return CollectedAnswer(self)

    @property
    def max_bytes(self) -> int:
        """Most bytes of one answer, or of one event."""
        return int(ONE_SHARE * self._limit)

    def note_size(
        self, answer: "CollectedAnswer", size: int, previous: int
    ) -> None:
        """Count an answer that is being collected; it has ended with 0."""
        self.held += size - previous
        if size:
            self._open.setdefault(answer)
        else:
            self._open.pop(answer, None)

    def must_wait(self, answer: "CollectedAnswer") -> bool:
        """Return whether there is no memory for more of an answer."""
        is_first = next(iter(self._open), answer) is answer
        if is_first or answer not in self._open:
            return False
        return self.held > ALL_SHARE * self._limit or self.memory.is_above(
            transport.MemoryUse.COMPLETE
        )

    @property
    def _limit(self) -> int:
        limit = self.memory.limit
        return UNSTATED_BYTES if limit == sys.maxsize else limit


class CollectedAnswer:
    """The body of one answer so far, or the incomplete event of a stream.

    Attributes
    ==========

    size : int
        Bytes that have come or, before the first of them, that the head
        states.
    """

    def __init__(self, answers: AnswerMemory):
        self._answers = answers
        self._holding = answers.memory.hold()
        self._counted = 0
        self._body = bytearray()
        self._splitter = event_splitter.EventSplitter()
        self._timer: transport.TimerHandle | None = None
        self.size = 0

    @property
    def max_bytes(self) -> int:
        """Most bytes of the answer."""
        return self._answers.max_bytes

    @property
    def is_too_long(self) -> bool:
        """Whether the answer exceeds the limit, and can't be collected."""
        return self.size > self.max_bytes

    @property
    def is_between_events(self) -> bool:
        """Whether no event of the stream is incomplete."""
        return self._splitter.is_between_events

    def begin(self, status: int, exchange: transport.Exchange) -> None:
        """Take note of the length that the head states."""
        if (
            exchange.request.method != METHOD_WITHOUT_BODY
            and status not in STATUSES_WITHOUT_BODY
        ):
            self.size = transport.content_length(exchange.header_fields)

    def add(self, chunk: bytes, exchange: transport.Exchange) -> None:
        """Add a part of the body, which an exchange has received."""
        self._body += chunk
        self._count(len(self._body), exchange)

    def split(self, chunk: bytes, exchange: transport.Exchange) -> list[bytes]:
        """Add a part of a stream; return the events that are complete."""
        events = self._splitter.feed(chunk)
        size = self._splitter.partial_bytes
        self._count(size if size > MIN_COUNTED_EVENT_BYTES else 0, exchange)
        return events

    def take(self) -> bytearray:
        """Return the body, and forget it."""
        body = self._body
        self.clear()
        return body

    def clear(self) -> None:
        """Forget what has been collected."""
        self._body = bytearray()
        self._splitter = event_splitter.EventSplitter()
        self._set_counted(0)
        self.size = 0
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _count(self, size: int, exchange: transport.Exchange) -> None:
        self._set_counted(size)
        self.size = size
        if size <= SHORT_BYTES or self._timer is not None:
            return
        if self._answers.must_wait(self):
            exchange.pause_reading()
            self._schedule(exchange)

    def _set_counted(self, size: int) -> None:
        self._holding.set(size)
        self._answers.note_size(self, size, self._counted)
        self._counted = size

    def _schedule(self, exchange: transport.Exchange) -> None:
        self._timer = self._answers.timers.call_later(
            RETRY_SECONDS, self._read_on, exchange
        )

    def _read_on(self, exchange: transport.Exchange) -> None:
        self._timer = None
        if self._answers.must_wait(self):
            self._schedule(exchange)
        else:
            exchange.resume_reading()
