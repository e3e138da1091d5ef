"""The HTTP client and timers on real sockets."""

import socket
import threading
import unittest

from circuits import BaseComponent
from circuits.core import pollers

from postspring import transport


class Listener(transport.HttpListener):
    """Stores the response or error of one exchange."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.done = False
        self.error = None

    def head(self, status, headers):
        """Store the status."""
        self.status = status

    def data(self, chunk):
        """Append a part of the body."""
        self.body += chunk

    def end(self):
        """Record that the response is complete."""
        self.done = True

    def failed(self, error):
        """Store the error."""
        self.error = error

    @property
    def settled(self):
        """Whether the exchange has completed or failed."""
        return self.done or self.error is not None


class LoopCase(unittest.TestCase):
    """An event loop that the test runs, and a scripted server."""

    def setUp(self):
        self.root = BaseComponent()
        pollers.EPoll().register(self.root)
        self.timers = transport.Timers().register(self.root)
        self.hub = transport.SocketHub(self.timers).register(self.root)
        self.http = transport.HttpClient(self.hub, self.timers)
        self.root._running = True
        self.listening = socket.create_server(("127.0.0.1", 0))
        self.address = self.listening.getsockname()
        self.addCleanup(self.listening.close)
        self.run_loop()

    def run_loop(self, count=5):
        """Run ``count`` iterations of the event loop."""
        for _ in range(count):
            self.root.tick(timeout=0.01)

    def run_loop_until(self, check):
        """Run the event loop until ``check`` returns true."""
        for _ in range(1000):
            if check():
                return
            self.run_loop(1)
        self.fail("the loop was turned in vain")

    def serve(self, *answers):
        """Answer one connection's requests with ``answers``, then close."""

        def run():
            connection, _peer = self.listening.accept()
            with connection:
                for answer in answers:
                    connection.recv(65536)
                    connection.sendall(answer)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread

    def send(self, **options):
        """Send a request and return its listener."""
        listener = Listener()
        fields = {"method": "GET", "path": "/", "timeout": 5.0} | options
        request = transport.HttpRequest(address=self.address, **fields)
        self.http.send(request, listener)
        return listener

    def send_and_wait(self, **options):
        """Send a request and return its listener once it is settled."""
        listener = self.send(**options)
        self.run_loop_until(lambda: listener.settled)
        return listener


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


class HttpClientTest(LoopCase):
    """Responses, reuse of connections, and failures."""

    def test_complete_response(self):
        self.serve(OK)
        listener = self.send_and_wait()
        self.assertEqual((200, b"hi"), (listener.status, listener.body))

    def test_connection_is_reused(self):
        self.serve(OK, OK)
        self.send_and_wait()
        self.assertEqual(b"hi", self.send_and_wait().body)

    def test_get_is_resent_if_reused_connection_was_closed(self):
        self.serve(OK)
        self.send_and_wait()
        self.serve(OK)
        self.assertEqual(b"hi", self.send_and_wait().body)

    def test_post_on_closed_connection_fails_as_sent(self):
        self.serve(b"")
        listener = self.send_and_wait(method="POST", body=b"x", fresh=True)
        self.assertTrue(listener.error.sent)

    def test_refused_connection_fails_as_not_sent(self):
        self.listening.close()
        listener = self.send_and_wait()
        self.assertFalse(listener.error.sent)

    def test_unaccepted_connection_times_out_as_not_sent(self):
        full = socket.socket()
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
            fillers.append(filler)
        self.address = full.getsockname()
        listener = self.send_and_wait(connect_timeout=0.2)
        self.assertFalse(listener.error.sent)
        for sock in [full, *fillers]:
            sock.close()

    def test_missing_response_times_out_as_sent(self):
        thread = threading.Thread(target=self.listening.accept, daemon=True)
        thread.start()
        listener = self.send_and_wait(timeout=0.2)
        self.assertTrue(listener.error.sent)

    def test_invalid_response_is_an_error(self):
        self.serve(b"garbage\r\n\r\n")
        self.assertIn("bad answer", str(self.send_and_wait().error))

    def test_truncated_response_is_an_error(self):
        self.serve(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")
        self.assertIsNotNone(self.send_and_wait().error)

    def test_paced_response_is_complete(self):
        parts = b"".join(b"1\r\n%d\r\n" % (n % 10) for n in range(50))
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.serve(head + parts + b"0\r\n\r\n")
        self.assertEqual(50, len(self.send_and_wait(paced=True).body))

    def test_cancelled_exchange_does_not_call_its_listener(self):
        self.serve(OK)
        listener = Listener()
        request = transport.HttpRequest(
            address=self.address, method="GET", path="/"
        )
        self.http.send(request, listener).cancel()
        self.run_loop(50)
        self.assertFalse(listener.settled)


class UnresponsiveConnectionsTest(LoopCase):
    """Which idle connections are closed after one did not respond.

    When all open connections acknowledged data but never responded, each
    reuse of an idle one cost another request its timeout.
    """

    def leave_idle(self, count):
        """Leave ``count`` idle connections that won't respond again."""
        threads = []
        listeners = []
        for _ in range(count):
            threads.append(self.serve_once_without_closing())
            listeners.append(self.send(fresh=True))
        self.run_loop_until(lambda: all(item.done for item in listeners))
        self.assertEqual(count, self.idle_count)

    @property
    def idle_count(self):
        """Number of idle connections."""
        return len(self.http._idle_by_address.get(self.address, ()))

    def serve_once_without_closing(self):
        """Answer one request, then only keep the connection open."""

        def run():
            connection, _peer = self.listening.accept()
            self.addCleanup(connection.close)
            connection.recv(65536)
            connection.sendall(OK)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread

    def test_timeout_closes_older_idle_connections(self):
        self.leave_idle(4)
        self.assertIsNotNone(self.send_and_wait(timeout=0.2).error)
        self.serve(OK)
        self.assertEqual(b"hi", self.send_and_wait(timeout=2.0).body)

    def test_overdue_response_moves_others_to_new_connections(self):
        self.leave_idle(4)
        waiting = self.send(timeout=2.0, silent_after=0.1)
        self.run_loop(20)
        self.assertFalse(waiting.settled)
        self.serve(OK)
        self.assertEqual(b"hi", self.send_and_wait(timeout=1.0).body)

    def test_connection_that_became_idle_later_is_kept(self):
        self.leave_idle(2)
        silent = self.send(timeout=0.4)
        self.run_loop(2)
        self.serve(OK, OK)
        self.send_and_wait(fresh=True)
        self.run_loop_until(lambda: silent.settled)
        self.assertEqual(1, self.idle_count)

    def test_early_cancel_keeps_idle_connections(self):
        self.leave_idle(3)
        request = transport.HttpRequest(
            address=self.address, method="GET", path="/"
        )
        exchange = self.http.send(request, Listener())
        self.run_loop(2)
        exchange.cancel()
        self.assertEqual(2, self.idle_count)


class TimersTest(LoopCase):
    """Scheduled and repeated calls."""

    def test_order_cancellation_and_exceptions(self):
        calls = []
        self.timers.call_later(0.02, calls.append, "second")
        self.timers.call_later(0.01, calls.append, "first")
        self.timers.call_later(0.01, calls.append, "never").cancel()
        with self.assertLogs("postspring.transport.timers", "ERROR"):
            self.timers.call_later(0.0, lambda: 1 / 0)
            self.run_loop_until(lambda: len(calls) == 2)
        self.assertEqual(["first", "second"], calls)

    def test_repeated_call_runs_until_cancelled(self):
        calls = []
        handle = self.timers.call_every(0.001, lambda: calls.append(1))
        # One iteration makes several calls if the process was paused.
        self.run_loop_until(lambda: len(calls) >= 3)
        handle.cancel()
        made = len(calls)
        self.run_loop(20)
        self.assertEqual(made, len(calls))
