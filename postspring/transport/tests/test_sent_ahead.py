"""Callers that send further requests before they have the response.

Input of a connection whose request was being served was kept up to the longest
request, on each connection, and ended with 413: an answer to the request that
was being served, which may have run.
"""

import socket
import threading

from postspring.transport import caller_memory
from postspring.transport import server_connection
from postspring.transport.tests import test_failures

REQUEST = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
# More than the kernel holds for a connection that is not read.
FLOOD_BYTES = 16_000_000


class SentAheadCase(test_failures.ServerLoopCase):
    """A caller that sends while its request is open."""

    def setUp(self):
        super().setUp()
        self.server._application = self.calls.append
        self.caller = socket.create_connection(self.address)
        self.addCleanup(self.caller.close)
        self.caller.settimeout(10)

    def open_call(self):
        """Send a request and return its call."""
        self.caller.sendall(REQUEST % 1)
        self.run_loop_until(lambda: self.calls)
        return self.calls[0]

    def flood(self):
        """Send requests ahead; return the most memory that was held."""
        data = REQUEST % 2 * (FLOOD_BYTES // len(REQUEST))
        sender = threading.Thread(target=self.send_quietly, args=(data,))
        sender.start()
        most = 0
        while sender.is_alive():
            self.run_loop(1)
            most = max(most, self.server.caller_memory.held)
        return most

    def send_quietly(self, data):
        """Send until the connection ends."""
        try:
            self.caller.sendall(data)
        except OSError:
            return

    def read_all(self):
        """Return what the caller gets until the server ends the connection."""
        received = []

        def read():
            while data := self.caller.recv(65536):
                received.append(data)

        reader = threading.Thread(target=read)
        reader.start()
        while reader.is_alive():
            self.run_loop(1)
        return b"".join(received)


class OpenCallTest(SentAheadCase):
    """What becomes of the request that is being served."""

    # Guards against an answer that belongs to another request.
    def test_open_call_gets_its_own_answer(self):
        call = self.open_call()
        self.flood()
        self.assertFalse(call.gone)
        call.respond(200, [], b"own")
        answer = self.read_all()
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:80])
        self.assertIn(b"connection: close", answer.lower())
        self.assertTrue(answer.endswith(b"own"))
        self.assertEqual(1, len(self.calls))

    # Guards against work that goes on for a caller that has left.
    def test_caller_that_leaves_is_noticed(self):
        call = self.open_call()
        self.flood()
        self.caller.close()
        self.run_loop_until(lambda: call.gone)
        self.assertEqual(1, len(self.calls))

    # Guards against input that is kept without a bound.
    def test_input_is_bounded(self):
        self.open_call()
        most = self.flood()
        objects = caller_memory.CONNECTION_BYTES + 2 * caller_memory.CALL_BYTES
        read = 64 * 1024
        self.assertLessEqual(
            most, server_connection.MAX_AHEAD_BYTES + read + objects
        )

    # Guards against callers that are cut off for a few requests.
    def test_few_requests_are_answered_in_order(self):
        self.server._application = self.respond_later
        self.answer_fields = []
        self.caller.sendall(b"".join(REQUEST % n for n in range(20)))
        self.run_loop_until(lambda: len(self.calls) == 20)
        targets = [call.target for call in self.calls]
        self.assertEqual([f"/{n}" for n in range(20)], targets)


class AccountTest(SentAheadCase):
    """What is counted of all that callers have the process hold."""

    def is_nothing_held(self):
        """Return whether nothing is counted."""
        return not self.server.caller_memory.held

    # Guards against a sum that grows with each connection.
    def test_nothing_is_counted_after_the_end(self):
        self.caller.close()
        for respond in (True, False):
            with self.subTest(respond=respond):
                self.calls.clear()
                self.caller = socket.create_connection(self.address)
                call = self.open_call()
                self.flood()
                if respond:
                    call.respond(200, [], b"own")
                del call
                self.calls.clear()
                self.caller.close()
                self.run_loop_until(self.is_nothing_held)

    # Guards against callers that keep all others out with partial requests.
    def test_complete_request_is_served_beside_partial_ones(self):
        limit = 1_000_000
        self.server.limits.caller_bytes = limit
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n"
        others = []
        for _ in range(40):
            sock = socket.create_connection(self.address)
            self.addCleanup(sock.close)
            sock.sendall(head + b"x" * 59_999)
            self.run_loop(5)
            others.append(sock)
        self.open_call()
        self.assertLessEqual(self.server.caller_memory.held, limit)

    # Guards against many small header fields, each of which is an object.
    def test_header_fields_are_counted(self):
        head = b"GET / HTTP/1.1\r\nHost: a\r\n" + b"a:b\r\n" * 3000 + b"\r\n"
        self.caller.sendall(head)
        self.run_loop_until(lambda: self.calls)
        self.assertGreater(
            self.server.caller_memory.held, 3000 * caller_memory.FIELD_BYTES
        )
