"""Responses that are received at the same time and kept whole."""

import threading

from postspring import transport
from postspring.transport.tests import test_http_client

LIMIT = 100_000
READ_BYTES = 64 * 1024
BODY_BYTES = 300_000
FIRST_PART = 200_000
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


class ResponseMemoryTest(test_http_client.LoopCase):
    """A client with a limit for what it holds."""

    def setUp(self):
        super().setUp()
        self.http = transport.HttpClient(self.hub, self.timers, LIMIT)

    def serve_in_two(self, body_bytes=BODY_BYTES, first_part=FIRST_PART):
        """Send the first part of a body, and the rest when the event is set.

        Only one connection is served.
        """
        released = threading.Event()

        def run():
            connection, _peer = self.listening.accept()
            with connection:
                connection.recv(65536)
                body = b"x" * body_bytes
                connection.sendall(HEAD % body_bytes + body[:first_part])
                if released.wait(10):
                    connection.sendall(body[first_part:])

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 5)
        self.addCleanup(released.set)
        return released

    def send_limited(self, **options):
        """Send a request whose response is kept whole."""
        return self.send(max_response_bytes=10**6, fresh=True, **options)

    def begin(self, count, **options):
        """Begin responses; return the listeners and what releases them."""
        released = []
        listeners = []
        for _ in range(count):
            released.append(self.serve_in_two())
            listeners.append(self.send_limited(**options))
            self.run_loop_until(lambda: listeners[-1].body)
        self.run_loop_until(lambda: len(listeners[0].body) == FIRST_PART)
        self.run_loop(20)
        return listeners, released

    # Guards against a limit for each response that many exceed together.
    def test_others_wait_for_the_first(self):
        listeners, released = self.begin(5)
        for listener in listeners[1:]:
            self.assertLessEqual(len(listener.body), LIMIT + READ_BYTES)
        held = sum(len(listener.body) for listener in listeners)
        self.assertEqual(held, self.http.memory.held)
        self.assertLess(held, FIRST_PART + LIMIT + 4 * READ_BYTES)
        for event in released:
            event.set()
        self.run_loop_until(lambda: all(item.done for item in listeners))
        for listener in listeners:
            self.assertEqual(BODY_BYTES, len(listener.body))
        self.assertEqual(0, self.http.memory.held)

    # Guards against responses that wait for one that never ends.
    def test_first_that_fails_makes_room(self):
        listeners, released = self.begin(3, timeout=0.5)
        for event in released[1:]:
            event.set()
        self.run_loop_until(lambda: all(item.settled for item in listeners))
        self.assertIn("timeout", str(listeners[0].error))
        self.assertEqual(0, self.http.memory.held)
        self.serve_in_two().set()
        listener = self.send_limited()
        self.run_loop_until(lambda: listener.done)
        self.assertEqual(BODY_BYTES, len(listener.body))

    # Guards against short responses that wait behind a long one.
    def test_short_response_does_not_wait(self):
        self.begin(1)
        self.serve_in_two(1000, 500).set()
        listener = self.send_limited()
        self.run_loop_until(lambda: listener.done)
        self.assertEqual(1000, len(listener.body))

    # Guards against answers of upstreams that count here: they have a limit
    # of their own.
    def test_responses_without_a_limit_do_not_count(self):
        self.serve_in_two()
        listener = self.send()
        self.run_loop_until(lambda: len(listener.body) == FIRST_PART)
        self.assertEqual(0, self.http.memory.held)
