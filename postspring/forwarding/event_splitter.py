"""Splits a stream of server-sent events into complete events."""

import re

__all__ = ["EventSplitter", "event_data"]

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_DATA_FIELD = b"data:"


class EventSplitter:
    """Collects the bytes of a stream and returns complete events.

    Examples
    ========

    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda")
    [b'id: 1\\ndata: a\\n\\n']
    >>> splitter.is_between_events
    False
    >>> splitter.feed(b"ta: b\\n\\n")
    [b'id: 2\\ndata: b\\n\\n']
    """

    def __init__(self):
        self._partial = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that are now complete, with their blank lines."""
        data = self._partial + data
        events = []
        start = 0
        for match in _BLANK_LINE.finditer(data):
            events.append(data[start : match.end()])
            start = match.end()
        self._partial = data[start:]
        return events

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._partial


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
