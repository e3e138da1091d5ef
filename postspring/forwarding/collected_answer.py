"""Collects answers that are passed on whole, within the memory of the VM."""

from postspring import transport

__all__ = ["AnswerMemory", "CollectedAnswer"]

# Until a paused answer is read on if there is memory again, in seconds; many
# times shorter than the time that callers wait.
RETRY_SECONDS = 0.02


class AnswerMemory:
    """The answers that a VM is collecting.

    Explanation
    ===========

    Above the limit for what callers have the process hold, reading from the
    upstreams pauses, so that the rest of their answers waits there.  The
    answer that began first is read on, so that one of them always ends.

    Parameters
    ==========

    memory : CallerMemory, optional
        Without it, there is no limit.
    """

    def __init__(
        self,
        timers: transport.Timers,
        memory: transport.CallerMemory | None = None,
    ):
        self.timers = timers
        self.memory = memory or transport.CallerMemory()
        self._open: dict[CollectedAnswer, None] = {}

    def collect(self) -> "CollectedAnswer":
        """Return an empty answer."""
        return CollectedAnswer(self)

    def note_begun(self, answer: "CollectedAnswer") -> None:
        """Count an answer whose body has begun."""
        self._open.setdefault(answer)

    def note_ended(self, answer: "CollectedAnswer") -> None:
        """Forget an answer."""
        self._open.pop(answer, None)

    def must_wait(self, answer: "CollectedAnswer") -> bool:
        """Return whether there is no memory for more of an answer."""
        is_first = next(iter(self._open), None) is answer
        return not is_first and self.memory.is_above(
            transport.MemoryUse.COMPLETE
        )


class CollectedAnswer:
    """The body of one answer so far."""

    def __init__(self, answers: AnswerMemory):
        self._answers = answers
        self._holding = answers.memory.hold()
        self._body = bytearray()
        self._timer: transport.TimerHandle | None = None

    def add(self, chunk: bytes, exchange: transport.Exchange) -> None:
        """Add a part of the body, which an exchange has received."""
        self._body += chunk
        self._holding.set(len(self._body))
        self._answers.note_begun(self)
        if self._timer is None and self._answers.must_wait(self):
            exchange.pause_reading()
            self._schedule(exchange)

    def take(self) -> bytearray:
        """Return the body, and forget it."""
        body = self._body
        self.clear()
        return body

    def clear(self) -> None:
        """Forget what has been collected."""
        self._body = bytearray()
        self._holding.set(0)
        self._answers.note_ended(self)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

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
