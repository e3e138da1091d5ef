"""Server-sent events of a chat completion."""

import unittest

import hypothesis
from hypothesis import strategies

from postspring.entry import event_stream
from postspring import errors

EVENTS = (
    b'data: {"id":"x-r1","choices":[{"delta":{"content":"a "}}]}\n\n'
    b'data: {"id":"x-r1","choices":[{"delta":{"content":"b"}}]}\n\n'
    b'data: {"id":"x-r1","choices":[],"usage":{"prompt_tokens":3,'
    b'"completion_tokens":2}}\n\n'
)
DONE = b"data: [DONE]\n\n"


class ChatStreamTest(unittest.TestCase):
    """Relay and parsing."""

    @hypothesis.given(
        strategies.lists(strategies.integers(0, len(EVENTS + DONE)))
    )
    def test_however_it_is_cut_it_is_relayed_whole(self, cuts):
        data = EVENTS + DONE
        edges = [0, *sorted(cuts), len(data)]
        stream = event_stream.ChatStream("r1")
        relayed = b"".join(
            stream.feed(data[start:stop])
            for start, stop in zip(edges, edges[1:])
        )
        self.assertEqual(EVENTS, relayed)
        answer = stream.finish()
        self.assertEqual(
            ("a b", 2), (answer.text, answer.usage.completion_tokens)
        )

    def fault(self, data, request_id="r1"):
        """Return the error that a stream ends with."""
        stream = event_stream.ChatStream(request_id)
        stream.feed(data)
        with self.assertRaises(errors.UpstreamError) as caught:
            stream.finish()
        return str(caught.exception)

    def test_a_stream_that_breaks_off(self):
        self.assertIn("ended before", self.fault(EVENTS))

    def test_another_request_s_answer(self):
        self.assertIn("another request", self.fault(EVENTS + DONE, "r2"))

    def test_no_usage(self):
        self.assertIn("no usage", self.fault(DONE))

    def test_not_json(self):
        self.assertIn("not JSON", self.fault(b"data: {\n\n" + DONE))
