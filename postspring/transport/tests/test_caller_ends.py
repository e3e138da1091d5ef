"""Ends of callers' connections: what is served, ended and completed.

A reset that was seen while a response was sent counted as a close by the
caller, and a broken stream looked complete to callers with HTTP/1.0.
"""

import socket
import time

from postspring import transport
from postspring.transport.tests import test_connection_ends
from postspring.transport.tests import test_failures


class CallerEndTest(test_failures.ServerLoopCase):
    """A caller's connection ends while its request is being served."""

    REQUEST = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"

    def setUp(self):
        super().setUp()
        self.interrupted = []
        self.server._on_interrupted = self.interrupted.append
        self.server._application = self.calls.append
        self.caller = socket.create_connection(self.address)
        self.addCleanup(self.caller.close)

    def send_request(self, request=REQUEST):
        """Send a request; return its call once it has been received."""
        self.caller.sendall(request)
        self.run_loop_until(lambda: self.calls)
        return self.calls[0]

    def assert_interrupted(self, ended_by):
        """Check that the end was reported once, with the side."""
        self.run_loop_until(lambda: self.interrupted)
        self.run_loop()
        (interrupted,) = self.interrupted
        self.assertIs(ended_by, interrupted.ended_by)
        self.assertTrue(self.calls[0].gone)

    # Guards against a truncated request that counts as complete.
    def test_truncated_request_is_not_served(self):
        for end in (
            test_connection_ends.end_sending,
            test_connection_ends.reset,
        ):
            with self.subTest(end=end):
                caller = socket.create_connection(self.address)
                self.addCleanup(caller.close)
                caller.sendall(self.REQUEST[:-1])
                end(caller)
                self.run_loop(20)
                self.assertEqual([], self.calls)

    # Guards against work that goes on for a caller that has reset.
    def test_reset_ends_the_call(self):
        self.send_request()
        test_connection_ends.reset(self.caller)
        self.assert_interrupted(transport.EndedBy.ERROR)

    # Guards against a reset that counts as a caller's close, as send() saw it.
    def test_reset_seen_while_responding(self):
        call = self.send_request()
        test_connection_ends.reset(self.caller)
        time.sleep(test_connection_ends.DELIVERY_SECONDS)
        call.respond(200, [], b"hi")
        self.run_loop_until(lambda: self.interrupted)
        (interrupted,) = self.interrupted
        self.assertIs(transport.EndedBy.ERROR, interrupted.ended_by)
        self.assertIs(call, interrupted.call)
        self.assertGreater(interrupted.unsent, 0)

    # Guards against requests that run for a caller that has reset.
    def test_request_that_arrives_with_a_reset_is_not_served(self):
        call = self.send_request()
        self.caller.sendall(self.REQUEST)
        time.sleep(test_connection_ends.DELIVERY_SECONDS)
        test_connection_ends.reset(self.caller)
        time.sleep(test_connection_ends.DELIVERY_SECONDS)
        call.respond(200, [], b"hi")
        self.run_loop_until(lambda: self.interrupted)
        self.run_loop()
        self.assertEqual([call], self.calls)

    # Guards against work that goes on for a caller that has left.
    def test_close_of_the_caller_ends_the_call(self):
        self.send_request()
        self.caller.close()
        self.assert_interrupted(transport.EndedBy.CALLER)

    # Guards against a VM's close that counts as the caller's.
    def test_close_of_the_server_ends_the_call(self):
        self.send_request()
        self.server.close_all()
        self.assert_interrupted(transport.EndedBy.VM)

    # Guards against a stop of the process that counts as a caller's close.
    def test_stop_of_the_hub_ends_the_call(self):
        self.send_request()
        self.server.hub.close()
        self.assert_interrupted(transport.EndedBy.VM)


class OldCallerTest(test_failures.ServerLoopCase):
    """A caller with HTTP/1.0, whose streams end with their connection."""

    def setUp(self):
        super().setUp()
        self.server._application = self.calls.append
        self.caller = socket.create_connection(self.address)
        self.addCleanup(self.caller.close)
        self.caller.sendall(b"GET / HTTP/1.0\r\n\r\n")
        self.run_loop_until(lambda: self.calls)
        (self.call,) = self.calls
        self.call.start(200, [])
        self.call.send(b"one")
        self.run_loop()
        self.caller.settimeout(10)

    # Guards against a stream that is broken off and looks complete.
    def test_aborted_stream_ends_with_a_reset(self):
        self.call.abort()
        self.run_loop()
        with self.assertRaises(ConnectionResetError):
            while self.caller.recv(1000):
                pass

    # Guards against a stream that the stop of the server seems to complete.
    def test_stream_of_a_server_that_stops_ends_with_a_reset(self):
        self.server.close_all()
        self.run_loop()
        with self.assertRaises(ConnectionResetError):
            while self.caller.recv(1000):
                pass

    # Guards against a reset after a complete stream.
    def test_complete_stream_ends_with_an_eof(self):
        self.call.finish()
        self.run_loop()
        received = b""
        while chunk := self.caller.recv(1000):
            received += chunk
        self.assertTrue(received.endswith(b"\r\n\r\none"))
