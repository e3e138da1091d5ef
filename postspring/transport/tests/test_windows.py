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
import unittest

from postspring.transport.tests import test_http_client
from postspring.transport import windows

BUSY_SECONDS = 2.5
BODY = b"x" * 3_000_000
# More than the kernel takes from a sender at once.
LONG_BODY = b"x" * 16_000_000


class LateReaderCase(test_http_client.LoopCase):
    """A long request to one that does not read for a while."""

    def setUp(self):
        super().setUp()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)

    def begin(self, body=BODY, **options):
        """Send a long request to one that does not read yet."""
        listener = self.send(method="POST", body=body, **options)
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


class ClosedWindowTest(LateReaderCase):
    """A long request to one that reads late, or never."""

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


class BrokenOffTest(LateReaderCase):
    """A long request that is broken off while the other side doesn't read.

    By reading: what was unsent followed all the same once the other side read
    again, up to 30 s later since its pause is borne; an upstream then began
    work for a caller that had left, or that ran elsewhere by then.
    """

    def test_the_rest_does_not_follow(self):
        listener, server = self.begin(LONG_BODY, timeout=2.0)
        self.turn_until(lambda: listener.settled)
        came = []
        server.setblocking(False)

        def is_read():
            try:
                data = server.recv(1 << 20)
            except BlockingIOError:
                return False
            except ConnectionResetError:
                return True
            came.append(len(data))
            return not data

        self.turn_until(is_read)
        self.assertLess(sum(came), len(LONG_BODY))


CLOSED = windows.SendState(probes=1, unacknowledged=0, unsent=100)
UNDER_WAY = windows.SendState(probes=0, unacknowledged=3, unsent=100)
UNANSWERED = windows.SendState(probes=2, unacknowledged=0, unsent=100)
DONE = windows.SendState(probes=0, unacknowledged=0, unsent=0)


class WindowWatchTest(test_http_client.LoopCase):
    """When the bound is lifted, and when it is back."""

    def bounds_after(self, *states):
        """Return the connection's bound after each look, in ms."""
        left = list(states)
        watch = windows.SendWindowMonitor(
            self.timers, lambda sock: left.pop(0)
        )
        sock = socket.socket()
        self.addCleanup(sock.close)
        watch.set_ack_timeout(sock)
        watch.watch(sock)
        bounds = []
        for _ in states:
            count = len(left)
            self.turn_until(lambda: len(left) < count)
            bounds.append(
                sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            )
        self.assertIs(states[-1] in (None, DONE), not watch._watch_by_socket)
        return bounds

    def test_it_is_lifted_while_the_window_is_closed(self):
        bounds = self.bounds_after(UNDER_WAY, CLOSED, CLOSED, UNDER_WAY)
        self.assertEqual([800, 30000, 30000, 800], bounds)

    def test_unanswered_probes_bring_it_back(self):
        self.assertEqual([30000, 800], self.bounds_after(CLOSED, UNANSWERED))

    def test_what_arrived_is_not_looked_at_any_more(self):
        self.assertEqual([30000, 800], self.bounds_after(CLOSED, DONE))

    def test_it_stays_where_the_kernel_does_not_tell(self):
        self.assertEqual([800], self.bounds_after(None))

    def test_accepted_connections_have_none(self):
        watch = windows.SendWindowMonitor(self.timers, lambda sock: CLOSED)
        sock = socket.socket()
        self.addCleanup(sock.close)
        watch.watch(sock)
        self.assertEqual({}, watch._watch_by_socket)


class ReadTest(unittest.TestCase):
    """What is believed of the kernel's state."""

    def test_an_open_connection(self):
        with (
            socket.create_server(("127.0.0.1", 0)) as listening,
            socket.create_connection(listening.getsockname()) as sock,
        ):
            self.assertTrue(windows.read_send_state(sock).is_all_acknowledged)

    def test_anything_else_says_nothing(self):
        one, other = socket.socketpair()
        with one, other, socket.socket() as unconnected:
            self.assertIsNone(windows.read_send_state(one))
            self.assertIsNone(windows.read_send_state(unconnected))
