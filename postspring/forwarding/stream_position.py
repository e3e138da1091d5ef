"""Where a stream stands, and what may follow it from another upstream."""

from collections.abc import Callable

from postspring.forwarding import ports

__all__ = ["StreamPosition"]


class StreamPosition:
    """The last event that the caller has, and with which weights.

    Explanation
    ===========

    A stream goes on behind that event, and with the same weights: text that
    other weights generated does not continue it.  An upstream that begins
    again, or doubles an event, is not joined.

    Parameters
    ==========

    decode_event : callable
        Returns what an event says of itself.

    Examples
    ========

    >>> def decode(event):
    ...     return ports.EventFacts(int(event))
    >>> position = StreamPosition(decode)
    >>> position.begin("1")
    >>> position.follow([b"1", b"2"]), position.last_event
    (True, 2)
    >>> position.follow([b"2"]), position.follow([b"3"])
    (False, True)
    """

    def __init__(self, decode_event: Callable[[bytes], ports.EventFacts]):
        self._decode = decode_event
        self.last_event: int | None = None
        self.weights = ""

    def begin(self, weights: str) -> None:
        """Take note that a stream starts, and with which weights."""
        self.weights = weights

    def follow(self, events: list[bytes]) -> bool:
        """Take events; return whether they follow what the caller has."""
        for event in events:
            facts = self._decode(event)
            if facts.number is not None:
                last = self.last_event
                if last is not None and facts.number <= last:
                    return False
                self.last_event = facts.number
            if facts.weights:
                self.weights = facts.weights
        return True
