"""Each call has an end, also when a handler fails or a field is odd.

Seen by reading: bytes above 127 in a header field, which HTTP allows, raised
in the midst of sending, so a caller with such a field, or whose upstream
answered with one, heard nothing.  The same held for each failure in a handler
of the hub but ``received``.  Cause: fields went to h11 as text, which it
encodes as ASCII; handlers were believed never to raise.  Proof: these tests.
"""

from postspring import transport
from postspring.transport.tests import test_http_client

ODD_VALUE = "caf\xe9"
ODD_BYTES = ODD_VALUE.encode("latin-1")


class ServedCase(test_http_client.LoopCase):
    """A server whose answers a test chooses."""

    def setUp(self):
        super().setUp()
        self.calls = []
        self.answer_fields = []
        self.server = transport.HttpServer(
            self.timers, self.take, transport.ServerLimits()
        )
        self.server.listen(self.root, ("127.0.0.1", 0))
        self.turn()
        self.address = self.server.address

    def take(self, call):
        """Answer later, as most calls are."""
        self.calls.append(call)
        self.timers.call_later(0, call.respond, 200, self.answer_fields, b"hi")


class FieldsTest(ServedCase):
    """Header fields that HTTP allows, and some that it does not."""

    def test_a_request_with_bytes_above_127(self):
        listener = self.answer(headers=(("X-Name", ODD_VALUE),))
        self.assertEqual(200, listener.status)
        self.assertEqual(ODD_VALUE, self.calls[0].header("x-name"))

    def test_an_answer_with_bytes_above_127(self):
        self.answer_fields = [("X-Name", ODD_VALUE), (b"X-Same", ODD_BYTES)]
        listener = self.answer(timeout=1.0)
        self.assertEqual((200, b"hi"), (listener.status, listener.body))

    def test_a_request_that_can_not_be_written_was_not_sent(self):
        listener = self.answer(headers=(("X-Name", "two\nlines"),))
        self.assertFalse(listener.error.sent)
        self.assertNotIn("timeout", str(listener.error))
