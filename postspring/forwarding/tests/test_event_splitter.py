"""Splitting of streams into events.

The bytes of an incomplete event were joined and searched again at each read,
so that an event without an end kept the event loop busy.
"""

import re
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from postspring.forwarding import event_splitter

READ_BYTES = 1000
READS = 100
BLANK_LINE = re.compile(rb"\r?\n\r?\n")
LINES = (b"\n", b"\r", b"\r\n", b"data: a", b"\n\n", b"\r\n\r\n")


class EventSplitterTest(unittest.TestCase):
    """A stream that arrives in parts."""

    # Guards against time that grows with the square of an event's length.
    def test_nothing_is_searched_twice(self):
        searched = []
        pattern = mock.Mock()

        def find(data, start=0):
            searched.append(len(data) - start)
            return iter(())

        pattern.finditer.side_effect = find
        splitter = event_splitter.EventSplitter()
        with mock.patch.object(event_splitter, "_BLANK_LINE", pattern):
            for _ in range(READS):
                splitter.feed(b"x" * READ_BYTES)
        self.assertLessEqual(max(searched), READ_BYTES + len(b"\r\n\r\n"))

    # Guards against a blank line that is missed between two reads.
    @hypothesis.given(
        strategies.lists(strategies.sampled_from(LINES)),
        strategies.integers(1, 5),
    )
    def test_parts_give_the_events_of_the_whole(self, lines, part_bytes):
        stream = b"".join(lines)
        splitter = event_splitter.EventSplitter()
        events = [
            event
            for i in range(0, len(stream), part_bytes)
            for event in splitter.feed(stream[i : i + part_bytes])
        ]
        ends = [match.end() for match in BLANK_LINE.finditer(stream)]
        expected = [stream[start:end] for start, end in zip([0, *ends], ends)]
        self.assertEqual(expected, events)
        is_complete = stream == b"".join(expected)
        self.assertEqual(is_complete, splitter.is_between_events)
