"""Splits a stream of server-sent events into complete events."""

import re

__all__ = ["EventSplitter", "event_data"]

# The end of a line and a blank one.  It begins with a constant byte, which is
# found many times faster than an optional one.
_BLANK_LINE = re.compile(rb"\n\r?\n")
# Of a blank line whose end was not received yet.
_MAX_OVERLAP_BYTES = len(b"\n\r\n") - 1
_DATA_FIELD = b"data:"


class EventSplitter:
    """Collects the bytes of a stream and returns complete events.

    Examples
    ========

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    [b'id: 1\\ndata: a\\n\\n']
    >>> splitter.is_between_events, splitter.partial_bytes
    (False, 8)
    >>> splitter.feed(b"ta: b\\n\\n")
    [b'id: 2\\ndata: b\\n\\n']
    """

    def __init__(self):
        self._partial = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that are now complete, with their blank lines.

        What was searched before is not searched again, so that the time for
        an event is proportional to its length.
        """
        searched = max(0, len(self._partial) - _MAX_OVERLAP_BYTES)
        self._partial += data
        events = []
        start = 0
        for match in _BLANK_LINE.finditer(self._partial, searched):
            events.append(bytes(self._partial[start : match.end()]))
            start = match.end()
        if start:
            self._partial = self._partial[start:]
        return events

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._partial

    @property
    def partial_bytes(self) -> int:
        """Length of the incomplete event."""
        return len(self._partial)


def event_data(event: bytes) -> bytes:
    """Return the data of an event: its data lines, joined by line feeds.

    Examples
    --------
    >>> event_data(b"id: 1\\ndata: a\\ndata:b\\n\\n")
    b'a\\nb'
    """
    lines = []
    for line in event.splitlines():
        if line.startswith(_DATA_FIELD):
            lines.append(line[len(_DATA_FIELD) :].removeprefix(b" "))
    return b"\n".join(lines)
