"""Each call has an end, also when a handler fails or a field is odd.

Seen by reading: bytes above 127 in a header field, which HTTP allows, raised
in the midst of sending, so a caller with such a field, or whose upstream
answered with one, heard nothing.  The same held for each failure in a handler
of the hub but ``received``.  Cause: fields went to h11 as text, which it
encodes as ASCII; handlers were believed never to raise.  Proof: these tests.
"""

import socket

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

    def test_an_answer_that_can_not_be_written_is_a_fault(self):
        self.answer_fields = [("X-Name", "two\nlines")]
        with self.assertLogs("postspring.transport", "ERROR"):
            self.assertEqual(500, self.answer(timeout=1.0).status)

    def test_one_that_can_not_be_begun_closes_its_connection(self):
        self.take = lambda call: (
            self.calls.append(call)
            or call.start(200, [("X-Name", "two\nlines")])
        )
        self.server._application = self.take
        with self.assertLogs("postspring.transport", "ERROR"):
            listener = self.answer(timeout=30.0)
        self.assertTrue(listener.error.is_broken)
        self.assertTrue(self.calls[0].gone)


class FailingUser(transport.ConnectionHandler):
    """A user of a connection whose every function fails."""

    def received(self, data):
        """Fail."""
        raise ValueError("received")

    def closed(self):
        """Fail."""
        raise ValueError("closed")


def fail(*arguments):
    """Fail."""
    raise ValueError("a user of the hub")


class UsersTest(test_http_client.LoopCase):
    """Users of the hub that fail end nothing but their own connection."""

    def open(self, on_open):
        """Open a connection; return what its errors are."""
        failed = []
        self.hub.open(self.address, 5.0, on_open, failed.append)
        return failed

    def test_a_user_that_fails_at_the_start_hears_of_it(self):
        with self.assertLogs("postspring.transport", "ERROR"):
            failed = self.open(fail)
            self.turn_until(lambda: failed)
        self.assertFalse(failed[0].sent)
        self.assertEqual([], self.hub._clients)

    def test_one_that_is_closed_at_once_is_forgotten(self):
        opened = []

        def on_open(sock):
            opened.append(sock)
            self.hub.shut(sock)
            return transport.ConnectionHandler()

        self.open(on_open)
        self.turn_until(lambda: opened)
        self.turn()
        self.assertEqual({}, self.hub._handler_by_socket)

    def test_a_user_that_fails_at_the_end_is_borne(self):
        opened = []
        self.open(lambda sock: opened.append(sock) or FailingUser())
        self.turn_until(lambda: opened)
        with self.assertLogs("postspring.transport", "ERROR"):
            self.hub.shut(opened[0])
        self.assertEqual([], self.hub._clients)

    def test_a_failing_error_function_is_borne(self):
        self.listening.close()
        with self.assertLogs("postspring.transport", "ERROR") as logs:
            self.hub.open(self.address, 5.0, fail, fail)
            self.turn_until(lambda: logs.records)
        self.assertEqual({}, self.hub._connecting)

    def test_a_listener_that_fails_closes_what_it_accepted(self):
        hub = transport.SocketHub(
            self.timers, ("127.0.0.1", 0), fail, channel="failing"
        ).register(self.root)
        self.turn()
        with self.assertLogs("postspring.transport", "ERROR") as logs:
            caller = socket.create_connection((hub.host, hub.port))
            self.addCleanup(caller.close)
            self.turn_until(lambda: logs.records)
        caller.settimeout(10)
        self.assertEqual(b"", caller.recv(10))
