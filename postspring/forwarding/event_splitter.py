"""Splits a stream of server-sent events into whole events."""

import re

__all__ = ["EventSplitter", "event_data"]

_BLANK_LINE = re.compile(rb"\r?\n\r?\n")
_DATA_FIELD = b"data:"


class EventSplitter:
    """Takes the bytes of a stream and gives whole events.

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
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that are whole now, each with its blank line."""
        data = self._rest + data
        events = []
        start = 0
        for match in _BLANK_LINE.finditer(data):
            events.append(data[start : match.end()])
            start = match.end()
        self._rest = data[start:]
        return events

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event is left over."""
        return not self._rest


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
