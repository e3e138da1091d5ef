"""Responses without an end: what is read of them, and how they fail."""

import itertools
import threading

from postspring.transport import response_limits
from postspring.transport.tests import test_http_client

HEAD = b"HTTP/1.1 200 OK\r\n"
OWN = HEAD + b"X-Request: own\r\nContent-Length: 2\r\n\r\nhi"
LATE = HEAD + b"X-Request: late\r\nContent-Length: 4\r\n\r\nlate"
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n"
# Sent at most, in bytes: twice the largest limit, and a bound of the tests.
MOST_BYTES = 2 * response_limits.MAX_SKIPPED_BYTES
# Bytes in socket buffers, which a server sends and nobody reads.
KERNEL_BYTES = 8 * 1024 * 1024


class EndlessCase(test_http_client.LoopCase):
    """A server that sends without an end until the client closes."""

    def setUp(self):
        super().setUp()
        self.sent_bytes = 0
        self.was_closed = threading.Event()

    def serve_endless(self, start, part, pause=0.0):
        """Send ``start``, then ``part`` until the connection ends."""
        stopped = threading.Event()

        def run():
            connection, _peer = self.listening.accept()
            with connection:
                connection.recv(65536)
                try:
                    connection.sendall(start)
                    while self.sent_bytes < MOST_BYTES:
                        connection.sendall(part)
                        self.sent_bytes += len(part)
                        if pause and stopped.wait(pause):
                            return
                except OSError:
                    self.was_closed.set()

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 5)
        self.addCleanup(stopped.set)

    def check_failure(self, listener, text):
        """Check the failure, and that the connection is closed with it."""
        self.assertIn(text, str(listener.error))
        self.assertTrue(listener.error.sent)
        self.assertEqual({}, self.hub._handler_by_socket)
        self.assertTrue(self.was_closed.wait(10))

    def send_own(self, **options):
        """Send a request that knows its response; return the listener."""
        return self.send_and_wait(
            is_own_response=lambda headers: headers.get("x-request") == "own",
            **options,
        )


class InterimResponsesTest(EndlessCase):
    """Responses with a status of 1xx before the one that counts."""

    # Guards against a connection that is read for as long as a call may last.
    def test_without_an_end(self):
        self.serve_endless(b"", INTERIM * 2000)
        listener = self.send_and_wait()
        self.check_failure(listener, "too many interim responses")
        self.assertLess(self.sent_bytes, KERNEL_BYTES)

    def test_hundreds_are_followed_by_a_response(self):
        self.serve(INTERIM * 500 + OWN)
        self.assertEqual(b"hi", self.send_and_wait().body)


class OtherResponsesTest(EndlessCase):
    """Responses that belong to other requests."""

    # Guards against a call that ends by its timeout only.
    def test_one_after_the_other(self):
        self.serve_endless(b"", LATE * 100)
        listener = self.send_own()
        text = "too many responses to other requests"
        self.check_failure(listener, text)
        self.assertLess(self.sent_bytes, KERNEL_BYTES)

    # Guards against the same with a single one.
    def test_one_without_an_end(self):
        self.serve_endless(CHUNKED + b"\r\n", b"10000\r\n%065536d\r\n" % 0)
        listener = self.send_own()
        text = "endless response to another request"
        self.check_failure(listener, text)
        self.assertEqual(b"", listener.body)

    def test_some_are_followed_by_the_own(self):
        self.serve(LATE * response_limits.MAX_SKIPPED_RESPONSES + OWN)
        self.assertEqual(b"hi", self.send_own().body)


class HeadTest(EndlessCase):
    """Heads, chunk extensions and trailers."""

    # Guards against objects of fields that take many times their bytes.
    def test_many_fields(self):
        fields = b"".join(b"%d:\r\n" % number for number in range(2000))
        self.serve(HEAD + fields + b"Content-Length: 2\r\n\r\nhi")
        listener = self.send_and_wait()
        self.assertIn("above 1000 header fields", str(listener.error))

    def test_hundreds_of_fields_are_passed_on(self):
        fields = b"".join(b"%d:\r\n" % number for number in range(900))
        self.serve(HEAD + fields + b"Content-Length: 2\r\n\r\nhi")
        self.assertEqual(b"hi", self.send_and_wait().body)

    def test_parts_without_an_end(self):
        for start, part in (
            (b"", b"H" * 9000),
            (HEAD, b"X-Name: value\r\n" * 900),
            (HEAD + b"X-Name: value\r\n", b" folded\r\n" * 900),
            (CHUNKED + b"\r\n1;", b"name=value;" * 900),
            (CHUNKED + b"\r\n0\r\n", b"X-Name: value\r\n" * 900),
        ):
            with self.subTest(start=start):
                self.sent_bytes = 0
                self.was_closed.clear()
                self.serve_endless(start, part)
                self.check_failure(self.send_and_wait(), "bad answer")
                self.assertLess(self.sent_bytes, KERNEL_BYTES)


class KeptConnectionTest(EndlessCase):
    """Bytes behind a complete response."""

    def test_bytes_behind_a_response_close_the_connection(self):
        self.serve_endless(OWN, b"x" * 9000, pause=0.001)
        self.assertEqual(b"hi", self.send_and_wait().body)
        self.run_loop_until(lambda: not self.hub._handler_by_socket)
        self.assertTrue(self.was_closed.wait(10))

    def test_byte_now_and_then_ends_with_the_timeout(self):
        self.serve_endless(CHUNKED + b"\r\n", b"1\r\nx\r\n", pause=0.02)
        listener = self.send_and_wait(timeout=0.3)
        self.check_failure(listener, "timeout")


class BodyTest(EndlessCase):
    """Bodies of responses that are kept whole."""

    # Guards against a process that exceeds its memory by one response.
    def test_without_an_end(self):
        part = b"10000\r\n%065536d\r\n" % 0
        for start in (CHUNKED + b"\r\n", HEAD + b"\r\n"):
            with self.subTest(start=start):
                self.sent_bytes = 0
                self.was_closed.clear()
                self.serve_endless(start, part)
                listener = self.send_and_wait(max_response_bytes=100_000)
                self.check_failure(listener, "body above 100000 bytes")
                self.assertLessEqual(len(listener.body), 100_000)
                self.assertLess(self.sent_bytes, KERNEL_BYTES)

    # Guards against a response that is received although its length is known.
    def test_length_above_the_limit(self):
        self.serve_endless(HEAD + b"Content-Length: 3\r\n\r\n", b"", 0.02)
        listener = self.send_and_wait(max_response_bytes=2)
        self.assertIn("body above 2 bytes", str(listener.error))
        self.assertIsNone(listener.status)

    def test_body_as_long_as_the_limit(self):
        chunks = b"1\r\nh\r\n1\r\ni\r\n0\r\n\r\n"
        for response in (OWN, CHUNKED + b"\r\n" + chunks, HEAD + b"\r\nhi"):
            with self.subTest(response=response):
                self.serve(response)
                listener = self.send_and_wait(max_response_bytes=2, fresh=True)
                self.assertEqual(b"hi", listener.body)

    # Guards against a caller of an upstream who gets a part of a long answer.
    def test_no_limit_unless_stated(self):
        body = b"x" * 5_000_000
        self.serve(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        self.assertEqual(body, self.send_and_wait().body)


class TinyChunksTest(EndlessCase):
    """Bodies in chunks of one byte."""

    # Guards against an event loop that is busy with one response: each read
    # gave eleven thousand chunks.
    def test_reads_get_short(self):
        chunks = b"1\r\nx\r\n" * 50_000
        self.serve(CHUNKED + b"\r\n" + chunks + b"0\r\n\r\n")
        listener = self.send()
        received = [0]

        def is_settled():
            received.append(len(listener.body))
            return listener.settled

        self.run_loop_until(is_settled)
        self.assertEqual(50_000, len(listener.body))
        counts = sorted(
            after - before for before, after in itertools.pairwise(received)
        )
        # The first read is as long as any.
        self.assertLessEqual(counts[-2], 1000)

    def test_long_chunks_are_read_at_once(self):
        body = b"10000\r\n%065536d\r\n" % 0 * 100
        self.serve(CHUNKED + b"\r\n" + b"1\r\nx\r\n" * 2000 + body)
        listener = self.send()
        self.run_loop_until(lambda: len(listener.body) > 2000)
        lengths = set()

        def is_settled():
            lengths.add(len(listener.body))
            return listener.settled

        self.run_loop_until(is_settled)
        # Short reads would be 1,600.
        self.assertLess(len(lengths), 800)
