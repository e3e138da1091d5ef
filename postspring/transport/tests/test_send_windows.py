"""Sending to a peer that is alive but does not read for a while.

On loopback, a peer that read only after 2.5 s once caused ETIMEDOUT at the
sender after 1.1 s.  The limit on unacknowledged bytes (TCP_USER_TIMEOUT) also
applies while the peer's receive window is closed, although it answers each
probe: an upstream, the store or a VM that was busy for a second during a long
request looked like a failed network path.
"""

import socket
import threading
import time
import unittest

from postspring.transport import send_windows
from postspring.transport.tests import test_http_client

READ_DELAY_SECONDS = 2.5
BODY = b"x" * 3_000_000
# More than the kernel takes from a sender at once.
LONG_BODY = b"x" * 16_000_000


class SlowReaderCase(test_http_client.LoopCase):
    """A long request to a peer that does not read for a while."""

    def setUp(self):
        super().setUp()
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)

    def start_request(self, body=BODY, **options):
        """Send a long request to a peer that does not read yet."""
        listener = self.send(method="POST", body=body, **options)
        self.run_loop_until(lambda: self.hub._handler_by_socket)
        server, _peer = self.listening.accept()
        self.addCleanup(server.close)
        self.run_loop_for(READ_DELAY_SECONDS)
        return listener, server

    def run_loop_for(self, seconds):
        """Run the event loop for this many seconds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.run_loop(1)


class ClosedWindowTest(SlowReaderCase):
    """A long request to a peer that reads late, or never."""

    def read_and_answer(self, server):
        """Read the complete request, then answer it."""
        left = len(BODY)
        while left > 0 and (data := server.recv(1 << 16)):
            left -= len(data)
        server.sendall(test_http_client.OK)

    def test_peer_that_reads_late_gets_the_request(self):
        listener, server = self.start_request(timeout=30.0)
        thread = threading.Thread(
            target=self.read_and_answer, args=(server,), daemon=True
        )
        thread.start()
        self.run_loop_until(lambda: listener.settled)
        self.assertIsNone(listener.error)
        self.assertEqual(b"hi", listener.body)

    def test_peer_that_never_reads_times_out(self):
        listener, _server = self.start_request(timeout=2.0)
        self.run_loop_until(lambda: listener.settled)
        self.assertIn("timeout", str(listener.error))
        self.assertFalse(listener.error.is_unreachable)


class AbortedRequestTest(SlowReaderCase):
    """A long request that is aborted while the peer doesn't read.

    Unsent bytes were once still sent when the peer read again, up to 30 s
    later, which is how long a closed window is tolerated.  An upstream then
    started work for a caller that had left, or whose request ran elsewhere.
    """

    def test_unsent_bytes_are_discarded(self):
        listener, server = self.start_request(LONG_BODY, timeout=2.0)
        self.run_loop_until(lambda: listener.settled)
        received_sizes = []
        server.setblocking(False)

        def read_all():
            try:
                data = server.recv(1 << 20)
            except BlockingIOError:
                return False
            except ConnectionResetError:
                return True
            received_sizes.append(len(data))
            return not data

        self.run_loop_until(read_all)
        self.assertLess(sum(received_sizes), len(LONG_BODY))


CLOSED_WINDOW = send_windows.SendState(probes=1, unacknowledged=0, unsent=100)
IN_FLIGHT = send_windows.SendState(probes=0, unacknowledged=3, unsent=100)
UNANSWERED_PROBES = send_windows.SendState(
    probes=2, unacknowledged=0, unsent=100
)
ALL_ACKNOWLEDGED = send_windows.SendState(probes=0, unacknowledged=0, unsent=0)


class SendWindowMonitorTest(test_http_client.LoopCase):
    """When the limit is extended, and when it is restored."""

    def limits_after_checks(self, *states):
        """Return the connection's limit after each check, in ms."""
        left = list(states)
        monitor = send_windows.SendWindowMonitor(
            self.timers, lambda sock: left.pop(0)
        )
        sock = socket.socket()
        self.addCleanup(sock.close)
        monitor.set_ack_timeout(sock)
        monitor.watch(sock)
        limits = []
        for _ in states:
            count = len(left)
            self.run_loop_until(lambda: len(left) < count)
            limits.append(
                sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            )
        self.assertIs(
            states[-1] in (None, ALL_ACKNOWLEDGED),
            not monitor._watch_by_socket,
        )
        return limits

    def test_limit_is_extended_while_the_window_is_closed(self):
        limits = self.limits_after_checks(
            IN_FLIGHT, CLOSED_WINDOW, CLOSED_WINDOW, IN_FLIGHT
        )
        self.assertEqual([800, 30000, 30000, 800], limits)

    def test_unanswered_probes_restore_the_limit(self):
        self.assertEqual(
            [30000, 800],
            self.limits_after_checks(CLOSED_WINDOW, UNANSWERED_PROBES),
        )

    def test_acknowledged_connection_is_not_checked_again(self):
        self.assertEqual(
            [30000, 800],
            self.limits_after_checks(CLOSED_WINDOW, ALL_ACKNOWLEDGED),
        )

    def test_unavailable_state_keeps_the_limit(self):
        self.assertEqual([800], self.limits_after_checks(None))

    def test_accepted_connections_are_not_monitored(self):
        monitor = send_windows.SendWindowMonitor(
            self.timers, lambda sock: CLOSED_WINDOW
        )
        sock = socket.socket()
        self.addCleanup(sock.close)
        monitor.watch(sock)
        self.assertEqual({}, monitor._watch_by_socket)


class ReadSendStateTest(unittest.TestCase):
    """Which kernel data is accepted as a state of sending."""

    def test_established_connection(self):
        with (
            socket.create_server(("127.0.0.1", 0)) as listening,
            socket.create_connection(listening.getsockname()) as sock,
        ):
            self.assertTrue(
                send_windows.read_send_state(sock).is_all_acknowledged
            )

    def test_other_sockets_have_no_state(self):
        one, other = socket.socketpair()
        with one, other, socket.socket() as unconnected:
            self.assertIsNone(send_windows.read_send_state(one))
            self.assertIsNone(send_windows.read_send_state(unconnected))
