"""The position at which another upstream resumes a stream."""

from collections.abc import Callable

from postspring.forwarding import ports

__all__ = ["StreamPosition"]


class StreamPosition:
    """The last event sent to the caller, and the version of the weights.

    Explanation
    ===========

    A stream is resumed after that event and with the same weights, as text
    of other weights would not continue it.  Events of an upstream that
    starts again, or repeats an event, are rejected.

    Parameters
    ==========

    decode_event : callable
        Returns the :class:`EventFacts` of an event.

    Examples
    ========

    >>> def decode(event):
    ...     return ports.EventFacts(int(event))
    >>> position = StreamPosition(decode)
    >>> position.begin("1")
    >>> position.advance([b"1", b"2"]), position.last_event
    (True, 2)
    >>> position.advance([b"2"]), position.advance([b"3"])
    (False, True)
    """

    def __init__(self, decode_event: Callable[[bytes], ports.EventFacts]):
        self._decode = decode_event
        self.last_event: int | None = None
        self.weights = ""

    def begin(self, weights: str) -> None:
        """Store the version of the weights at the start of the stream."""
        self.weights = weights

    def advance(self, events: list[bytes]) -> bool:
        """Move past events; return False if one does not follow the last."""
        for event in events:
            facts = self._decode(event)
            if facts.number is not None:
                last_number = self.last_event
                if last_number is not None and facts.number <= last_number:
                    return False
                self.last_event = facts.number
            if facts.weights:
                self.weights = facts.weights
        return True
