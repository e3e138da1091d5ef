"""The server's connections: what they owe before they are closed."""

import socket
import unittest

from postspring.testing import callers_edge
from postspring import transport

LONG_ANSWER_BYTES = 8_000_000
LONG_BODY_BYTES = 32_000_000


class ServerCase(unittest.TestCase):
    """A server whose loop is turned by hand."""

    def setUp(self):
        self.cuts = []
        self.edge = callers_edge.CallersEdge(on_interrupted=self.cuts.append)
        self.addCleanup(self.edge.close)
        self.caller = self.edge.connect()

    def open_call(self):
        """Send a request and return the call."""
        self.edge.ask(self.caller)
        self.edge.turn_until(lambda: self.edge.calls)
        return self.edge.calls.pop()

    def answer_call(self, body=b""):
        """Send a request and have it answered."""
        self.open_call().respond(200, [], body)
        self.edge.turn_until(lambda: self.caller.answer.whole)

    @property
    def is_closed(self):
        """Whether the server has no connection any more."""
        return not self.edge.callers.connection_count


class IdleTest(ServerCase):
    """An idle connection's close does not race with a request."""

    def test_a_request_of_a_pause_is_served(self):
        self.answer_call()
        self.edge.ask(self.caller)
        self.edge.pass_time(self.edge.limits.idle_seconds + 1)
        self.edge.turn_until(lambda: self.edge.calls)
        self.edge.calls.pop().respond(200, [])
        self.edge.turn_until(lambda: self.caller.answer.settled)
        self.assertTrue(self.caller.answer.whole)

    def test_the_rest_of_a_request_of_a_pause_is_read(self):
        self.caller.send_raw(b"POST / HTTP/1.1\r\nHost: a\r\n")
        self.edge.turn()
        self.caller.send_raw(b"Content-Length: 2\r\n\r\nab")
        self.edge.pass_time(self.edge.limits.header_seconds + 1)
        self.edge.turn_until(lambda: self.edge.calls or self.is_closed)
        self.assertEqual(b"ab", self.edge.calls[0].body)

    def test_one_that_stays_idle_is_closed(self):
        self.answer_call()
        self.edge.pass_time(self.edge.limits.idle_seconds + 1)
        self.edge.turn_until(lambda: self.caller.answer.closed)
        self.assertEqual([], self.cuts)

    def test_one_that_sends_too_slowly_is_told(self):
        self.caller.send_raw(b"POST / HTTP/1.1\r\nHost: a\r\n")
        self.edge.turn()
        self.edge.pass_time(self.edge.limits.header_seconds + 1)
        self.edge.turn_until(lambda: self.caller.received)
        self.assertIn(b"408", self.caller.received)

    def test_one_whose_answer_has_not_left_is_not_idle(self):
        self.open_call().respond(200, [], b"x" * LONG_ANSWER_BYTES)
        self.edge.pass_time(self.edge.limits.idle_seconds + 1)
        self.edge.turn(50)
        self.edge.turn_until(lambda: self.caller.answer.settled)
        self.assertTrue(self.caller.answer.whole)
        self.edge.ask(self.caller)
        self.edge.turn_until(lambda: self.edge.calls or self.is_closed)
        self.assertEqual(1, len(self.edge.calls))

    def test_it_is_idle_from_when_its_answer_has_left(self):
        """Seen beside load: closed as soon as the long answer had left."""
        self.open_call().respond(200, [], b"x" * LONG_ANSWER_BYTES)
        self.edge.pass_time(self.edge.limits.idle_seconds + 1)
        self.edge.turn(50)
        self.edge.turn_until(lambda: self.caller.answer.settled)
        self.edge.pass_time(self.edge.limits.idle_seconds / 2)
        self.edge.turn(50)
        self.edge.ask(self.caller)
        self.edge.turn_until(lambda: self.edge.calls or self.is_closed)
        self.assertEqual(1, len(self.edge.calls))


class RefusedBodyTest(ServerCase):
    """The answer to a body that is not read to its end is not lost."""

    def test_a_caller_that_goes_on_sending_has_the_answer(self):
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

        self.edge.turn_until(sent)
        # All that is left to read: without it the reset is not seen.
        self.edge.turn_until(lambda: self.edge.callers.unread_count == 0)
        sock.setblocking(True)
        self.assertTrue(sock.recv(1000).startswith(b"HTTP/1.1 413"))

    def test_one_that_never_ends_is_closed_after_a_while(self):
        self.caller.send_raw(b"GET / HTTP/1.1\r\nno field\r\n\r\n")
        self.edge.turn_until(lambda: self.caller.received)
        self.edge.turn()
        self.assertFalse(self.is_closed)
        self.edge.pass_time(3.0)
        self.edge.turn_until(lambda: self.is_closed)


class HalfClosedTest(ServerCase):
    """A caller that stops sending.

    Seen: a caller that shut its sending side behind its request had
    nothing.  That is decided so: it can't be told from one that closed, and
    work for a caller that closed has to end within half a second.
    """

    def test_a_request_that_is_open_is_broken_off(self):
        call = self.open_call()
        gone = []
        call.on_gone = lambda: gone.append(True)
        self.caller.end_sending()
        self.edge.turn_until(lambda: gone)
        self.assertTrue(call.gone)
        self.assertEqual(
            [(transport.EndedBy.CALLER, call, 0)],
            [(cut.ended_by, cut.call, cut.unsent) for cut in self.cuts],
        )

    def test_an_answer_that_was_given_leaves_whole(self):
        self.open_call().respond(200, [], b"x" * LONG_ANSWER_BYTES)
        self.caller.end_sending()
        self.edge.turn(20)
        self.edge.turn_until(lambda: self.caller.answer.settled)
        self.assertTrue(self.caller.answer.whole)
        self.edge.turn_until(lambda: self.is_closed)
        self.assertEqual([], self.cuts)


class CutTest(ServerCase):
    """Who ended a connection on which something was owed."""

    def test_a_caller_that_leaves_with_its_answer_unsent(self):
        call = self.open_call()
        call.respond(200, [], b"x" * LONG_ANSWER_BYTES)
        self.caller.close()
        self.edge.turn_until(lambda: self.cuts)
        cut = self.cuts[0]
        self.assertIs(call, cut.call)
        self.assertGreater(cut.unsent, 0)

    def test_an_answer_that_is_broken_off(self):
        call = self.open_call()
        call.start(200, [])
        call.abort()
        self.edge.turn_until(lambda: self.caller.answer.closed)
        self.assertFalse(self.caller.answer.whole)
        self.assertEqual(
            [(transport.EndedBy.VM, call)],
            [(cut.ended_by, cut.call) for cut in self.cuts],
        )

    def test_nothing_is_owed_behind_a_whole_answer(self):
        self.answer_call(b"x" * LONG_ANSWER_BYTES)
        self.caller.close()
        self.edge.turn_until(lambda: self.is_closed)
        self.assertEqual([], self.cuts)
