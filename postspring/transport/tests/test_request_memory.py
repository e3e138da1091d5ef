"""What a server holds of requests is bounded.

Callers that send long requests at the same time drove a VM over its memory,
and it was killed with all requests that it held.
"""

import selectors
import socket
import threading

from postspring.transport.tests import test_failures

LIMIT = 1_000_000
HEAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
REJECTION = b"HTTP/1.1 503"


class RequestMemoryTest(test_failures.ServerLoopCase):
    """Callers that send requests at the same time."""

    def setUp(self):
        super().setUp()
        self.server._application = self.calls.append
        self.server.limits.request_bytes = LIMIT

    def connect(self, data):
        """Return a caller's socket on which bytes were sent."""
        sock = socket.create_connection(self.address)
        self.addCleanup(sock.close)
        sock.settimeout(10)
        sender = threading.Thread(target=sock.sendall, args=(data,))
        sender.start()
        while sender.is_alive():
            self.run_loop(1)
        self.run_loop(20)
        return sock

    def send_request(self, size, sent=None):
        """Send a request, or the first bytes of its body."""
        head = HEAD + b"Content-Length: %d\r\n\r\n" % size
        return self.connect(head + b"x" * (size if sent is None else sent))

    def assert_rejected(self, sock):
        """Check for a rejection that says when to try again."""
        with selectors.PollSelector() as readable:
            readable.register(sock, selectors.EVENT_READ)
            self.run_loop_until(lambda: readable.select(0))
        answer = sock.recv(1000)
        self.assertTrue(answer.startswith(REJECTION), answer)
        self.assertIn(b"\r\nRetry-After: 0.50\r\n", answer)

    # Guards against a process that exceeds its memory by long requests.
    def test_request_above_the_limit_is_rejected_by_its_head(self):
        self.send_request(700_000)
        self.assert_rejected(self.send_request(400_000, sent=0))

    # Guards against the same for requests that don't state their length.
    def test_request_in_chunks_is_rejected_once_it_is_too_long(self):
        self.send_request(700_000)
        chunk = b"30d40\r\n" + b"x" * 200_000 + b"\r\n"
        head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        sock = self.connect(head + chunk)
        sock.sendall(chunk)
        self.run_loop(20)
        self.assert_rejected(sock)

    # Guards against a limit that requests under way don't count toward.
    def test_request_that_is_being_received_counts(self):
        self.send_request(700_000, sent=1)
        self.assert_rejected(self.send_request(400_000, sent=0))

    # Guards against rejections of requests for which there is room.
    def test_request_within_the_limit_is_served(self):
        self.send_request(700_000)
        self.send_request(300_000)
        self.run_loop_until(lambda: len(self.calls) == 2)

    # Guards against long requests that keep short ones out.
    def test_short_request_is_always_served(self):
        self.send_request(1_000_000)
        self.send_request(60_000)
        self.run_loop_until(lambda: len(self.calls) == 2)

    # Guards against a request that is longer than the limit and never served.
    def test_single_request_is_always_served(self):
        self.send_request(1_500_000)
        self.run_loop_until(lambda: self.calls)

    # Guards against a limit that what has ended counts toward.
    def test_room_is_free_again(self):
        ends = (self.respond, self.close_caller, self.break_off_request)
        for end in ends:
            with self.subTest(end=end.__name__):
                end()
                self.run_loop_until(
                    lambda: not self.server.request_memory.used
                )

    def respond(self):
        """Send a request that is answered."""
        self.send_request(700_000)
        self.assertEqual(700_000, self.server.request_memory.used)
        self.run_loop_until(lambda: self.calls)
        self.calls.pop().respond(200, [])

    def close_caller(self):
        """Send a request whose caller closes its connection."""
        sock = self.send_request(700_000)
        self.run_loop_until(lambda: self.calls)
        sock.close()
        self.run_loop(20)
        self.calls.clear()

    def break_off_request(self):
        """Send a part of a request, and close the connection."""
        self.send_request(700_000, sent=1).close()

    # Guards against a limit where no memory is configured.
    def test_no_limit_is_the_default(self):
        self.server.limits.request_bytes = 0
        for _ in range(3):
            self.send_request(700_000)
        self.run_loop_until(lambda: len(self.calls) == 3)
