"""Data that arrived during a pause of the process is read before timeouts.

The event loop runs timers before it polls sockets.  After a pause (a busy
machine, SIGSTOP), every timeout that had passed once fired before responses in
the kernel were read: completed responses became 504, and VMs, the store and
upstreams counted as unresponsive.  The tests run the event loop themselves;
a pause is time in which they do not run it.
"""

import socket
import time

from postspring import transport
from postspring.transport.tests import test_http_client

PAUSE_SECONDS = 0.4
TIMEOUT_SECONDS = 0.15
OK = test_http_client.OK


class PauseTest(test_http_client.LoopCase):
    """The loop pauses while responses arrive and timeouts pass."""

    def start_request(self):
        """Send a request; return its listener and the server's socket."""
        listener = self.send(timeout=TIMEOUT_SECONDS)
        exchanges = self.hub._handler_by_socket
        self.run_loop_until(lambda: exchanges)
        self.run_loop(2)
        server, _peer = self.listening.accept()
        self.addCleanup(server.close)
        server.recv(65536)
        return listener, server

    def pause_and_settle(self, listener):
        """Pause the loop, then run it until the exchange has ended."""
        time.sleep(PAUSE_SECONDS)
        self.run_loop_until(lambda: listener.settled)

    def test_unread_response_prevents_timeout(self):
        listener, server = self.start_request()
        server.sendall(OK)
        self.pause_and_settle(listener)
        self.assertIsNone(listener.error)
        self.assertEqual(b"hi", listener.body)

    def test_long_response_is_read_completely(self):
        size = 300_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        listener, server = self.start_request()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * size)
        server.sendall(head + b"x" * size)
        self.pause_and_settle(listener)
        self.assertIsNone(listener.error)
        self.assertEqual(size, len(listener.body))

    def test_established_connection_prevents_timeout(self):
        opened = []
        failed = []
        self.hub.open(
            self.address,
            TIMEOUT_SECONDS,
            lambda sock: opened.append(sock) or transport.ConnectionHandler(),
            failed.append,
        )
        time.sleep(PAUSE_SECONDS)
        self.run_loop_until(lambda: opened or failed)
        self.assertEqual([], failed)

    def test_missing_response_still_times_out(self):
        listener, _server = self.start_request()
        self.pause_and_settle(listener)
        self.assertIn("timeout", str(listener.error))


class ExpiredIdleConnectionTest(test_http_client.LoopCase):
    """An idle connection that expired while the loop was paused.

    The server has closed it, or is about to.  It is still open here only
    because its expiry timer has not run yet.
    """

    def test_it_is_not_reused(self):
        answer = OK.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=1\r\n\r\n")
        self.serve(answer)
        self.send_and_wait()
        time.sleep(0.6)
        self.serve(OK)
        listener = self.send(method="POST", body=b"x")
        self.run_loop_until(lambda: listener.settled)
        self.assertEqual(b"hi", listener.body)
        self.assertEqual(2, self.http.connections_opened)


class TimerFairnessTest(test_http_client.LoopCase):
    """Endless input does not prevent timers from running."""

    def test_timers_run_under_endless_input(self):
        writer, reader = socket.socketpair()
        self.addCleanup(writer.close)
        self.addCleanup(reader.close)
        writer.setblocking(False)
        reader.setblocking(False)
        trigger = _EchoTrigger(writer)
        self.hub._clients.append(reader)
        self.hub._handler_by_socket[reader] = trigger
        self.hub._poller.addReader(self.hub, reader)
        trigger.received(b"")
        calls = []
        for _ in range(3):
            calls.clear()
            self.timers.call_later(0.0, calls.append, 1)
            time.sleep(PAUSE_SECONDS)
            self.run_loop_until_timeout(lambda: calls)
            self.assertEqual([1], calls)
        self.assertGreater(trigger.received_count, 2)

    def run_loop_until_timeout(self, check):
        """Run the loop until ``check`` returns true, for at most 10 s."""
        end = time.monotonic() + 10
        while not check() and time.monotonic() < end:
            self.run_loop(1)

    def test_pause_is_logged_and_counted(self):
        self.timers.call_later(0.0, lambda: None)
        time.sleep(PAUSE_SECONDS)
        with self.assertLogs("postspring.transport.timers", "WARNING"):
            self.run_loop()
        self.assertEqual(1, self.timers.pauses)
        self.assertGreater(self.timers.paused_seconds, 0.0)


class _EchoTrigger(transport.ConnectionHandler):
    """Causes new input as soon as input was read."""

    def __init__(self, writer):
        self.writer = writer
        self.received_count = 0

    def received(self, data):
        """Count the read and cause the next one."""
        self.received_count += 1
        self.writer.send(b"x")
