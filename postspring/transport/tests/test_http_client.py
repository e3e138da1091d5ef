"""HTTP requests over the hub's connections."""

import socket
import threading
import unittest

from circuits import BaseComponent
from circuits.core import pollers

from postspring import transport


class Listener(transport.HttpListener):
    """Keeps what it hears."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.done = False
        self.error = None

    def head(self, status, headers):
        """Keep the status."""
        self.status = status

    def data(self, chunk):
        """Keep a part of the body."""
        self.body += chunk

    def end(self):
        """Note the end."""
        self.done = True

    def failed(self, error):
        """Keep the error."""
        self.error = error

    @property
    def settled(self):
        """Whether the answer or an error has come."""
        return self.done or self.error is not None


class LoopCase(unittest.TestCase):
    """A loop that is turned by hand, and a scripted server."""

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
        self.turn()

    def turn(self, count=5):
        """Turn the loop some times."""
        for _ in range(count):
            self.root.tick(timeout=0.01)

    def turn_until(self, check):
        """Turn the loop until something holds."""
        for _ in range(1000):
            if check():
                return
            self.turn(1)
        self.fail("the loop was turned in vain")

    def serve(self, *answers):
        """Answer one connection's requests with these bytes, then close."""

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

    def answer(self, **options):
        """Send a request and return its listener once it is settled."""
        listener = self.send(**options)
        self.turn_until(lambda: listener.settled)
        return listener


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"


class HttpClientTest(LoopCase):
    """Answers, reuse and failures."""

    def test_a_whole_answer(self):
        self.serve(OK)
        listener = self.answer()
        self.assertEqual((200, b"hi"), (listener.status, listener.body))

    def test_a_connection_is_used_again(self):
        self.serve(OK, OK)
        self.answer()
        self.assertEqual(b"hi", self.answer().body)

    def test_a_kept_connection_that_was_closed_is_replaced_for_a_get(self):
        self.serve(OK)
        self.answer()
        self.serve(OK)
        self.assertEqual(b"hi", self.answer().body)

    def test_a_closed_connection_under_a_post_may_have_run(self):
        self.serve(b"")
        listener = self.answer(method="POST", body=b"x", fresh=True)
        self.assertTrue(listener.error.sent)

    def test_a_refused_connection_did_not_send(self):
        self.listening.close()
        listener = self.answer()
        self.assertFalse(listener.error.sent)

    def test_an_address_that_does_not_answer_times_out(self):
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
        listener = self.answer(connect_timeout=0.2)
        self.assertFalse(listener.error.sent)
        for sock in [full, *fillers]:
            sock.close()

    def test_silence_after_the_request_times_out_as_sent(self):
        thread = threading.Thread(target=self.listening.accept, daemon=True)
        thread.start()
        listener = self.answer(timeout=0.2)
        self.assertTrue(listener.error.sent)

    def test_garbage_is_an_error(self):
        self.serve(b"garbage\r\n\r\n")
        self.assertIn("bad answer", str(self.answer().error))

    def test_an_answer_cut_short_is_an_error(self):
        self.serve(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")
        self.assertIsNotNone(self.answer().error)

    def test_a_paced_answer_comes_whole(self):
        parts = b"".join(b"1\r\n%d\r\n" % (n % 10) for n in range(50))
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.serve(head + parts + b"0\r\n\r\n")
        self.assertEqual(50, len(self.answer(paced=True).body))

    def test_a_cancelled_exchange_says_nothing_more(self):
        self.serve(OK)
        listener = Listener()
        request = transport.HttpRequest(
            address=self.address, method="GET", path="/"
        )
        self.http.send(request, listener).cancel()
        self.turn(50)
        self.assertFalse(listener.settled)


class SilenceTest(LoopCase):
    """Which kept connections are not used after one was silent.

    Seen with a stand-in: all open connections acknowledged what came and
    never answered, and each kept one cost another call its time-out.
    """

    def keep(self, count):
        """Leave some connections kept, whose servers fall silent then."""
        threads = []
        listeners = []
        for _ in range(count):
            threads.append(self.serve_once_and_hold())
            listeners.append(self.send(fresh=True))
        self.turn_until(lambda: all(item.done for item in listeners))
        self.assertEqual(count, self.kept)

    @property
    def kept(self):
        """Number of kept connections."""
        return len(self.http._idle_by_address.get(self.address, ()))

    def serve_once_and_hold(self):
        """Answer one request, and nothing after it."""

        def run():
            connection, _peer = self.listening.accept()
            self.addCleanup(connection.close)
            connection.recv(65536)
            connection.sendall(OK)

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        return thread

    def test_a_time_out_makes_the_older_ones_suspect(self):
        self.keep(4)
        self.assertIsNotNone(self.answer(timeout=0.2).error)
        self.serve(OK)
        self.assertEqual(b"hi", self.answer(timeout=2.0).body)

    def test_while_it_is_overdue_others_go_on_new_ones(self):
        self.keep(4)
        waiting = self.send(timeout=2.0, silent_after=0.1)
        self.turn(20)
        self.assertFalse(waiting.settled)
        self.serve(OK)
        self.assertEqual(b"hi", self.answer(timeout=1.0).body)

    def test_one_that_has_answered_since_is_kept(self):
        self.keep(2)
        silent = self.send(timeout=0.4)
        self.turn(2)
        self.serve(OK, OK)
        self.answer(fresh=True)
        self.turn_until(lambda: silent.settled)
        self.assertEqual(1, self.kept)

    def test_a_caller_that_leaves_soon_proves_nothing(self):
        self.keep(3)
        request = transport.HttpRequest(
            address=self.address, method="GET", path="/"
        )
        exchange = self.http.send(request, Listener())
        self.turn(2)
        exchange.cancel()
        self.assertEqual(2, self.kept)


class TimersTest(LoopCase):
    """Calls that are due later."""

    def test_order_cancel_and_failures(self):
        calls = []
        self.timers.call_later(0.02, calls.append, "second")
        self.timers.call_later(0.01, calls.append, "first")
        self.timers.call_later(0.01, calls.append, "never").cancel()
        with self.assertLogs("postspring.transport.timers", "ERROR"):
            self.timers.call_later(0.0, lambda: 1 / 0)
            self.turn_until(lambda: len(calls) == 2)
        self.assertEqual(["first", "second"], calls)

    def test_repeating_until_cancelled(self):
        calls = []
        handle = self.timers.call_every(0.001, lambda: calls.append(1))
        self.turn_until(lambda: len(calls) == 3)
        handle.cancel()
        self.turn(20)
        self.assertEqual(3, len(calls))
