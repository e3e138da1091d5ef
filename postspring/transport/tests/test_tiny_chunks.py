"""Bodies in chunks of two bytes.

h11 makes an event of each chunk, and all that had been received was handled in
one turn of the event loop: thirty such callers kept all others waiting.
"""

import socket

from postspring.transport.tests import test_failures

REQUEST = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


class TinyChunksTest(test_failures.ServerLoopCase):
    """A caller with many chunks beside another one."""

    def setUp(self):
        super().setUp()
        self.server._application = self.calls.append
        self.caller = socket.create_connection(self.address)
        self.addCleanup(self.caller.close)

    # Guards against an event loop that is busy with one caller's chunks.
    def test_other_caller_is_served_meanwhile(self):
        chunks = b"2\r\nab\r\n" * 9000
        self.caller.sendall(CHUNKED + chunks + b"0\r\n\r\n")
        other = socket.create_connection(self.address)
        self.addCleanup(other.close)
        self.run_loop(2)
        other.sendall(REQUEST % 7)
        self.run_loop_until(lambda: len(self.calls) == 2)
        self.assertEqual("/7", self.calls[0].target)
        self.assertEqual(b"ab" * 9000, self.calls[1].body)

    # Guards against 408 for a request that this VM has not parsed yet.
    def test_request_that_waits_to_be_parsed_is_not_too_slow(self):
        self.server.limits.body_seconds = 0.0
        self.server.limits.header_seconds = 0.0
        chunks = b"2\r\nab\r\n" * 9000
        self.caller.sendall(CHUNKED + chunks + b"0\r\n\r\n")
        self.run_loop_until(lambda: self.server.connection_count)
        while not self.calls:
            self.run_loop(1)
            self.server._sweep()
            self.assertEqual(1, self.server.connection_count)
        self.assertEqual(b"ab" * 9000, self.calls[0].body)
