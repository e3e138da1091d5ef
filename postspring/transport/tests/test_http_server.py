"""How the server closes connections, and which ends it reports."""

import socket
import unittest

from postspring.testing import callers_edge
from postspring import transport

LONG_RESPONSE_BYTES = 8_000_000
LONG_BODY_BYTES = 32_000_000


class ServerCase(unittest.TestCase):
    """A server whose event loop the test runs."""

    def setUp(self):
        self.interrupted = []
        self.edge = callers_edge.CallersEdge(
            on_interrupted=self.interrupted.append
        )
        self.addCleanup(self.edge.close)
        self.caller = self.edge.connect()

    def open_call(self):
        """Send a request and return the call."""
        self.edge.ask(self.caller)
        self.edge.run_loop_until(lambda: self.edge.calls)
        return self.edge.calls.pop()

    def complete_call(self, body=b""):
        """Send a request and wait for its complete response."""
        self.open_call().respond(200, [], body)
        self.edge.run_loop_until(lambda: self.caller.answer.complete)

    @property
    def is_closed(self):
        """Whether the server has no open connection."""
        return not self.edge.callers.connection_count


class IdleCloseTest(ServerCase):
    """Closing an idle connection does not lose a request."""

    def test_request_that_arrived_during_a_pause_is_served(self):
        self.complete_call()
        self.edge.ask(self.caller)
        self.edge.pass_time(self.edge.limits.idle_seconds + 1)
        self.edge.run_loop_until(lambda: self.edge.calls)
        self.edge.calls.pop().respond(200, [])
        self.edge.run_loop_until(lambda: self.caller.answer.settled)
        self.assertTrue(self.caller.answer.complete)

    def test_partial_request_is_completed_after_a_pause(self):
        self.caller.send_raw(b"POST / HTTP/1.1\r\nHost: a\r\n")
        self.edge.run_loop()
        self.caller.send_raw(b"Content-Length: 2\r\n\r\nab")
        self.edge.pass_time(self.edge.limits.header_seconds + 1)
        self.edge.run_loop_until(lambda: self.edge.calls or self.is_closed)
        self.assertEqual(b"ab", self.edge.calls[0].body)

    def test_idle_connection_is_closed(self):
        self.complete_call()
        self.edge.pass_time(self.edge.limits.idle_seconds + 1)
        self.edge.run_loop_until(lambda: self.caller.answer.closed)
        self.assertEqual([], self.interrupted)

    def test_slow_request_gets_status_408(self):
        self.caller.send_raw(b"POST / HTTP/1.1\r\nHost: a\r\n")
        self.edge.run_loop()
        self.edge.pass_time(self.edge.limits.header_seconds + 1)
        self.edge.run_loop_until(lambda: self.caller.received)
        self.assertIn(b"408", self.caller.received)

    def test_connection_with_unsent_response_is_not_idle(self):
        self.open_call().respond(200, [], b"x" * LONG_RESPONSE_BYTES)
        self.edge.pass_time(self.edge.limits.idle_seconds + 1)
        self.edge.run_loop(50)
        self.edge.run_loop_until(lambda: self.caller.answer.settled)
        self.assertTrue(self.caller.answer.complete)
        self.edge.ask(self.caller)
        self.edge.run_loop_until(lambda: self.edge.calls or self.is_closed)
        self.assertEqual(1, len(self.edge.calls))

    def test_idle_time_starts_when_response_is_sent(self):
        """It was once closed, under load, right after its long response."""
        self.open_call().respond(200, [], b"x" * LONG_RESPONSE_BYTES)
        self.edge.pass_time(self.edge.limits.idle_seconds + 1)
        self.edge.run_loop(50)
        self.edge.run_loop_until(lambda: self.caller.answer.settled)
        self.edge.pass_time(self.edge.limits.idle_seconds / 2)
        self.edge.run_loop(50)
        self.edge.ask(self.caller)
        self.edge.run_loop_until(lambda: self.edge.calls or self.is_closed)
        self.assertEqual(1, len(self.edge.calls))


class RejectedBodyTest(ServerCase):
    """The response to a body that is not read to its end is not lost."""

    def test_caller_that_sends_on_receives_the_rejection(self):
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
        data = memoryview(head % LONG_BODY_BYTES + b"x" * LONG_BODY_BYTES)
        sock = socket.create_connection(self.edge.callers.address)
        self.addCleanup(sock.close)
        sock.setblocking(False)

        def sent():
            nonlocal data
            try:
                data = data[sock.send(data) :]
            except BlockingIOError:
                pass
            return not data

        self.edge.run_loop_until(sent)
        # The server has to read everything; else a reset could go unnoticed.
        self.edge.run_loop_until(lambda: self.edge.callers.unread_count == 0)
        sock.setblocking(True)
        self.assertTrue(sock.recv(1000).startswith(b"HTTP/1.1 413"))

    def test_lingering_connection_is_closed_after_a_timeout(self):
        self.caller.send_raw(b"GET / HTTP/1.1\r\nno field\r\n\r\n")
        self.edge.run_loop_until(lambda: self.caller.received)
        self.edge.run_loop()
        self.assertFalse(self.is_closed)
        self.edge.pass_time(3.0)
        self.edge.run_loop_until(lambda: self.is_closed)


class HalfClosedTest(ServerCase):
    """A caller that shuts its sending side down.

    Its open request then gets no response.  This is by design: a half-close
    can't be distinguished from a close, after which work for the caller has
    to end within half a second.
    """

    def test_open_request_is_aborted(self):
        call = self.open_call()
        notifications = []
        call.on_disconnect = lambda: notifications.append(True)
        self.caller.end_sending()
        self.edge.run_loop_until(lambda: notifications)
        self.assertTrue(call.gone)
        self.assertEqual(
            [(transport.EndedBy.CALLER, call, 0)],
            [
                (interruption.ended_by, interruption.call, interruption.unsent)
                for interruption in self.interrupted
            ],
        )

    def test_complete_response_is_sent_to_its_end(self):
        self.open_call().respond(200, [], b"x" * LONG_RESPONSE_BYTES)
        self.caller.end_sending()
        self.edge.run_loop(20)
        self.edge.run_loop_until(lambda: self.caller.answer.settled)
        self.assertTrue(self.caller.answer.complete)
        self.edge.run_loop_until(lambda: self.is_closed)
        self.assertEqual([], self.interrupted)


class InterruptedResponseTest(ServerCase):
    """Which side ended a connection with an incomplete response."""

    def test_caller_that_closes_with_unsent_response(self):
        call = self.open_call()
        call.respond(200, [], b"x" * LONG_RESPONSE_BYTES)
        self.caller.close()
        self.edge.run_loop_until(lambda: self.interrupted)
        interruption = self.interrupted[0]
        self.assertIs(call, interruption.call)
        self.assertGreater(interruption.unsent, 0)

    def test_aborted_response(self):
        call = self.open_call()
        call.start(200, [])
        call.abort()
        self.edge.run_loop_until(lambda: self.caller.answer.closed)
        self.assertFalse(self.caller.answer.complete)
        self.assertEqual(
            [(transport.EndedBy.VM, call)],
            [
                (interruption.ended_by, interruption.call)
                for interruption in self.interrupted
            ],
        )

    def test_close_after_complete_response_is_not_reported(self):
        self.complete_call(b"x" * LONG_RESPONSE_BYTES)
        self.caller.close()
        self.edge.run_loop_until(lambda: self.is_closed)
        self.assertEqual([], self.interrupted)
