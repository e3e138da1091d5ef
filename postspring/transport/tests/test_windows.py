"""A machine that is alive and does not read for a while.

Seen on loopback: the other side read only after 2.5 s, and the sender had
ETIMEDOUT after 1.1 s.  Cause: the bound on bytes that nobody acknowledges
(TCP_USER_TIMEOUT) also counts while the other side's window is closed, though
it answers each probe; an upstream, the store or a VM that was busy for a
second while it was sent a long request looked like a path that is gone.
Proof: these tests.
"""

import socket
import threading
import time

from postspring.transport.tests import test_http_client

BUSY_SECONDS = 2.5
BODY = b"x" * 3_000_000


class ClosedWindowTest(test_http_client.LoopCase):
    """A long request to one that reads late, or never."""

    def setUp(self):
        super().setUp()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)

    def begin(self, **options):
        """Send a long request to one that does not read yet."""
        listener = self.send(method="POST", body=BODY, **options)
        self.turn_until(lambda: self.hub._handler_by_socket)
        server, _peer = self.listening.accept()
        self.addCleanup(server.close)
        self.turn_for(BUSY_SECONDS)
        return listener, server

    def turn_for(self, seconds):
        """Turn the loop for a while."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.turn(1)

    def read_and_answer(self, server):
        """Read the whole request, then answer it."""
        left = len(BODY)
        while left > 0 and (data := server.recv(1 << 16)):
            left -= len(data)
        server.sendall(test_http_client.OK)

    def test_one_that_reads_late_is_not_gone(self):
        listener, server = self.begin(timeout=30.0)
        thread = threading.Thread(
            target=self.read_and_answer, args=(server,), daemon=True
        )
        thread.start()
        self.turn_until(lambda: listener.settled)
        self.assertIsNone(listener.error)
        self.assertEqual(b"hi", listener.body)

    def test_one_that_never_reads_is_bounded_by_the_call(self):
        listener, _server = self.begin(timeout=2.0)
        self.turn_until(lambda: listener.settled)
        self.assertIn("timeout", str(listener.error))
        self.assertFalse(listener.error.is_unreachable)
