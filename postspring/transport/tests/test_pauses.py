"""A process that is not run for a while: what came meanwhile counts.

Seen by reading: in each turn of the loop timers run before the sockets are
asked.  After a pause (a busy machine, SIGSTOP) every timeout that passed
meanwhile fired before the answers that lay in the kernel were read, so that
made answers became 504, and VMs, the store and upstreams counted as silent.
Cause: lateness of our own was taken for silence of the other side.
Proof: these tests; the loop is turned by hand, and not turned is a pause.
"""

import socket
import time

from postspring import transport
from postspring.transport.tests import test_http_client

PAUSE_SECONDS = 0.4
TIMEOUT_SECONDS = 0.15
OK = test_http_client.OK


class PauseTest(test_http_client.LoopCase):
    """The loop stands still while answers come and timeouts pass."""

    def begin(self):
        """Send a request; return its listener and the server's socket."""
        listener = self.send(timeout=TIMEOUT_SECONDS)
        exchanges = self.hub._handler_by_socket
        self.turn_until(lambda: exchanges)
        self.turn(2)
        server, _peer = self.listening.accept()
        self.addCleanup(server.close)
        server.recv(65536)
        return listener, server

    def settle_after_pause(self, listener):
        """Don't turn the loop for a while, then until there is an end."""
        time.sleep(PAUSE_SECONDS)
        self.turn_until(lambda: listener.settled)

    def test_an_answer_that_lies_there_is_no_timeout(self):
        listener, server = self.begin()
        server.sendall(OK)
        self.settle_after_pause(listener)
        self.assertIsNone(listener.error)
        self.assertEqual(b"hi", listener.body)

    def test_a_long_answer_is_read_to_its_end(self):
        size = 300_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        listener, server = self.begin()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * size)
        server.sendall(head + b"x" * size)
        self.settle_after_pause(listener)
        self.assertIsNone(listener.error)
        self.assertEqual(size, len(listener.body))

    def test_a_connection_that_opened_is_no_timeout(self):
        opened = []
        failed = []
        self.hub.open(
            self.address,
            TIMEOUT_SECONDS,
            lambda sock: opened.append(sock) or transport.ConnectionHandler(),
            failed.append,
        )
        time.sleep(PAUSE_SECONDS)
        self.turn_until(lambda: opened or failed)
        self.assertEqual([], failed)

    def test_silence_is_a_timeout_all_the_same(self):
        listener, _server = self.begin()
        self.settle_after_pause(listener)
        self.assertIn("timeout", str(listener.error))


class KeptTest(test_http_client.LoopCase):
    """A kept connection whose time passed while the loop stood still.

    Its other side has closed it, or is about to; that it has not been
    closed here says only that the timers have not run.
    """

    def test_it_is_not_used_again(self):
        answer = OK.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=1\r\n\r\n")
        self.serve(answer)
        self.answer()
        time.sleep(0.6)
        self.serve(OK)
        listener = self.send(method="POST", body=b"x")
        self.turn_until(lambda: listener.settled)
        self.assertEqual(b"hi", listener.body)
        self.assertEqual(2, self.http.connections_opened)


class FairnessTest(test_http_client.LoopCase):
    """Input that never ends keeps no timer from running."""

    def test_timers_run_under_input_without_end(self):
        writer, reader = socket.socketpair()
        self.addCleanup(writer.close)
        self.addCleanup(reader.close)
        writer.setblocking(False)
        reader.setblocking(False)
        busy = _Busy(writer)
        self.hub._clients.append(reader)
        self.hub._handler_by_socket[reader] = busy
        self.hub._poller.addReader(self.hub, reader)
        busy.received(b"")
        calls = []
        for _ in range(3):
            calls.clear()
            self.timers.call_later(0.0, calls.append, 1)
            time.sleep(PAUSE_SECONDS)
            self.turn_until_time_is_up(lambda: calls)
            self.assertEqual([1], calls)
        self.assertGreater(busy.times, 2)

    def turn_until_time_is_up(self, check):
        """Turn the loop until something holds, for seconds at most."""
        end = time.monotonic() + 10
        while not check() and time.monotonic() < end:
            self.turn(1)

    def test_a_pause_is_told_and_counted(self):
        self.timers.call_later(0.0, lambda: None)
        time.sleep(PAUSE_SECONDS)
        with self.assertLogs("postspring.transport.timers", "WARNING"):
            self.turn()
        self.assertEqual(1, self.timers.pauses)
        self.assertGreater(self.timers.paused_seconds, 0.0)


class _Busy(transport.ConnectionHandler):
    """Has the next byte sent as soon as one was read."""

    def __init__(self, writer):
        self.writer = writer
        self.times = 0

    def received(self, data):
        """Have more sent."""
        self.times += 1
        self.writer.send(b"x")
