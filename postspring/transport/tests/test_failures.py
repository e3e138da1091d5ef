"""Every exchange ends, also after invalid fields and failing callbacks.

Bytes above 127 in a header field, which HTTP allows, once raised while a
request or response was sent, because h11 encodes text as ASCII; the caller
then received no response at all.  Exceptions in callbacks of the hub other
than ``received`` had the same effect, because the hub did not catch them.
"""

import socket

from postspring import transport
from postspring.transport.tests import test_http_client

LATIN1_VALUE = "caf\xe9"
LATIN1_BYTES = LATIN1_VALUE.encode("latin-1")


class ServerLoopCase(test_http_client.LoopCase):
    """A server whose response fields a test sets."""

    def setUp(self):
        super().setUp()
        self.calls = []
        self.answer_fields = []
        self.server = transport.HttpServer(
            self.timers, self.respond_later, transport.ServerLimits()
        )
        self.server.listen(self.root, ("127.0.0.1", 0))
        self.run_loop()
        self.address = self.server.address

    def respond_later(self, call):
        """Respond in a later loop iteration, as most applications do."""
        self.calls.append(call)
        self.timers.call_later(0, call.respond, 200, self.answer_fields, b"hi")


class HeaderFieldsTest(ServerLoopCase):
    """Header fields that HTTP allows, and some that it forbids."""

    def test_request_field_with_bytes_above_127(self):
        listener = self.send_and_wait(headers=(("X-Name", LATIN1_VALUE),))
        self.assertEqual(200, listener.status)
        self.assertEqual(LATIN1_VALUE, self.calls[0].header("x-name"))

    def test_response_field_with_bytes_above_127(self):
        self.answer_fields = [
            ("X-Name", LATIN1_VALUE),
            (b"X-Same", LATIN1_BYTES),
        ]
        listener = self.send_and_wait(timeout=1.0)
        self.assertEqual((200, b"hi"), (listener.status, listener.body))

    def test_invalid_request_field_fails_as_not_sent(self):
        listener = self.send_and_wait(headers=(("X-Name", "two\nlines"),))
        self.assertFalse(listener.error.sent)
        self.assertNotIn("timeout", str(listener.error))

    def test_invalid_response_field_gives_status_500(self):
        self.answer_fields = [("X-Name", "two\nlines")]
        with self.assertLogs("postspring.transport", "ERROR"):
            self.assertEqual(500, self.send_and_wait(timeout=1.0).status)

    def test_invalid_field_in_started_response_closes_connection(self):
        self.respond_later = lambda call: (
            self.calls.append(call)
            or call.start(200, [("X-Name", "two\nlines")])
        )
        self.server._application = self.respond_later
        with self.assertLogs("postspring.transport", "ERROR"):
            listener = self.send_and_wait(timeout=30.0)
        self.assertTrue(listener.error.is_broken)
        self.assertTrue(self.calls[0].gone)


class FailingHandler(transport.ConnectionHandler):
    """A connection handler whose callbacks raise."""

    def received(self, data):
        """Raise an error."""
        raise ValueError("received")

    def ended(self, end):
        """Raise an error."""
        raise ValueError("ended")


def raise_error(*arguments):
    """Raise an error, as a callback of the hub."""
    raise ValueError("a user of the hub")


class CallbackErrorsTest(test_http_client.LoopCase):
    """A callback that raises ends only its own connection."""

    def open(self, on_open):
        """Open a connection; return the list that collects its errors."""
        failed = []
        self.hub.open(self.address, 5.0, on_open, failed.append)
        return failed

    def test_on_open_that_raises_is_reported_to_on_error(self):
        with self.assertLogs("postspring.transport", "ERROR"):
            failed = self.open(raise_error)
            self.run_loop_until(lambda: failed)
        self.assertFalse(failed[0].sent)
        self.assertEqual([], self.hub._clients)

    def test_connection_closed_in_on_open_is_removed(self):
        opened = []

        def on_open(sock):
            opened.append(sock)
            self.hub.close_when_sent(sock)
            return transport.ConnectionHandler()

        self.open(on_open)
        self.run_loop_until(lambda: opened)
        self.run_loop()
        self.assertEqual({}, self.hub._handler_by_socket)

    def test_ended_that_raises_is_logged(self):
        opened = []
        self.open(lambda sock: opened.append(sock) or FailingHandler())
        self.run_loop_until(lambda: opened)
        with self.assertLogs("postspring.transport", "ERROR"):
            self.hub.close_when_sent(opened[0])
        self.assertEqual([], self.hub._clients)

    def test_on_error_that_raises_is_logged(self):
        self.listening.close()
        with self.assertLogs("postspring.transport", "ERROR") as logs:
            self.hub.open(self.address, 5.0, raise_error, raise_error)
            self.run_loop_until(lambda: logs.records)
        self.assertEqual({}, self.hub._connecting)

    # Guards against a setting's host that raises where calls are sent.
    def test_host_that_is_no_address_is_reported(self):
        for host in ("10.0.0.1\0", "a..b", "\ud800"):
            failed = []
            self.hub.open((host, 80), 5.0, raise_error, failed.append)
            self.run_loop_until(lambda failed=failed: failed)
            self.assertFalse(failed[0].sent)
        self.assertEqual({}, self.hub._connecting)

    def test_on_accept_that_raises_closes_connection(self):
        hub = transport.SocketHub(
            self.timers, ("127.0.0.1", 0), raise_error, channel="failing"
        ).register(self.root)
        self.run_loop()
        with self.assertLogs("postspring.transport", "ERROR") as logs:
            caller = socket.create_connection((hub.host, hub.port))
            self.addCleanup(caller.close)
            self.run_loop_until(lambda: logs.records)
        caller.settimeout(10)
        self.assertEqual(b"", caller.recv(10))
