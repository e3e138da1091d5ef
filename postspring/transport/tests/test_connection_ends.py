"""Which ends of a connection end a response.

A response without a length ends with its connection.  A connection that was
reset while the request was still being sent counted as closed by the server,
so truncated responses were complete successes to their callers.
"""

import socket
import struct
import time

from postspring import transport
from postspring.transport.tests import test_http_client

HEAD = b"HTTP/1.1 200 OK\r\n"
BODY = b"y" * 2000
HALF = len(BODY) // 2
WITHOUT_LENGTH = HEAD + b"\r\n" + BODY
WITH_LENGTH = HEAD + b"Content-Length: 2000\r\n\r\n" + BODY
IN_CHUNKS = (
    HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n7d0\r\n"
    + BODY
    + b"\r\n0\r\n\r\n"
)
# A request of this size stays unsent in part while the server reads nothing.
LONG_REQUEST = b"x" * 8_000_000
# Loopback delivers within this time.
DELIVERY_SECONDS = 0.05


def reset(sock):
    """Close a connection with a reset instead of an EOF."""
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    sock.close()


def end_sending(sock):
    """Send an EOF, and keep the connection open."""
    sock.shutdown(socket.SHUT_WR)


def end_sending_and_reset(sock):
    """Send an EOF, and then a reset, as a server that reads no further."""
    sock.shutdown(socket.SHUT_WR)
    time.sleep(DELIVERY_SECONDS)
    reset(sock)


class ResponseEndCase(test_http_client.LoopCase):
    """One exchange whose server answers before it has read the request."""

    paced = False

    def start(self, body=LONG_REQUEST):
        """Send a request; return its listener and the server's socket."""
        listener = self.send(method="POST", body=body, paced=self.paced)
        self.run_loop(3)
        server_socket, _peer = self.listening.accept()
        self.addCleanup(server_socket.close)
        self.run_loop(20)
        return listener, server_socket

    def answer(self, response, end, body=LONG_REQUEST):
        """Play an exchange; return its listener.

        The rest of the response and the end of the connection are both in
        the kernel before the client's event loop runs again.
        """
        listener, server_socket = self.start(body)
        first = len(response) - HALF if self.paced else 0
        if first:
            server_socket.sendall(response[:first])
            time.sleep(DELIVERY_SECONDS)
            self.run_loop(4)
        server_socket.sendall(response[first:])
        time.sleep(DELIVERY_SECONDS)
        end(server_socket)
        time.sleep(DELIVERY_SECONDS)
        self.run_loop_until(lambda: listener.settled)
        return listener

    def assert_complete(self, listener):
        """Check that the whole response was passed on."""
        self.assertIsNone(listener.error)
        self.assertEqual(BODY, listener.body)

    def assert_broken(self, listener):
        """Check that the response failed as broken."""
        self.assertFalse(listener.done)
        self.assertTrue(listener.error.is_broken)
        self.assertTrue(listener.error.sent)


class ResetWhileSendingTest(ResponseEndCase):
    """The server answers, and its connection ends, before it has read all."""

    # Guards against truncated responses that count as complete because
    # send(), not recv(), reported the reset.
    def test_reset_never_completes_a_response_without_length(self):
        self.assert_broken(self.answer(WITHOUT_LENGTH, reset))

    # Guards against the rejection of every response without a length.
    def test_eof_completes_a_response_without_length(self):
        self.assert_complete(self.answer(WITHOUT_LENGTH, end_sending))

    # Guards against the loss of a response whose EOF precedes a reset.
    def test_eof_before_a_reset_completes_a_response_without_length(self):
        self.assert_complete(
            self.answer(WITHOUT_LENGTH, end_sending_and_reset)
        )

    # Guards against the loss of a response that arrived whole.
    def test_reset_leaves_a_response_with_length_complete(self):
        self.assert_complete(self.answer(WITH_LENGTH, reset))

    # Guards against the loss of a response that arrived whole.
    def test_reset_leaves_a_response_in_chunks_complete(self):
        self.assert_complete(self.answer(IN_CHUNKS, reset))

    # Guards against a truncated response that counts as complete.
    def test_truncated_response_with_length_is_broken(self):
        self.assert_broken(self.answer(WITH_LENGTH[:-1], reset))

    # Guards against a truncated response that counts as complete.
    def test_truncated_response_in_chunks_is_broken(self):
        self.assert_broken(self.answer(IN_CHUNKS[:-1], end_sending))


class PacedResetWhileSendingTest(ResetWhileSendingTest):
    """The same while the response is read at intervals.

    The poller then reports a reset without input, although bytes are left.
    """

    paced = True

    # Guards against the loss of bytes that arrived before the reset.
    def test_bytes_that_arrived_are_passed_on(self):
        listener = self.answer(WITHOUT_LENGTH, reset)
        self.assertEqual(BODY, listener.body)


class SentRequestTest(ResponseEndCase):
    """The request has been sent when the connection ends."""

    # Guards against truncated responses that count as complete.
    def test_reset_never_completes_a_response_without_length(self):
        self.assert_broken(self.answer(WITHOUT_LENGTH, reset, b"x"))

    # Guards against truncated responses of paced reading.
    def test_reset_never_completes_a_paced_response(self):
        self.paced = True
        self.assert_broken(self.answer(WITHOUT_LENGTH, reset, b"x"))

    # Guards against the rejection of every response without a length.
    def test_eof_completes_a_response_without_length(self):
        self.assert_complete(self.answer(WITHOUT_LENGTH, end_sending, b"x"))


class ResponseEndTest(ResponseEndCase):
    """What an exchange tells of the end of its connection."""

    def play(self, response, end, body=LONG_REQUEST):
        """Play an exchange; return its response_end."""
        exchanges = []
        send = self.http.send
        self.http.send = lambda *arguments: exchanges.append(send(*arguments))
        self.answer(response, end, body)
        return exchanges[0].response_end

    # Guards against a reset that is reported as an EOF.
    def test_reset_of_a_response_without_length(self):
        told = self.play(WITHOUT_LENGTH, reset)
        self.assertIs(transport.ConnectionEnd.RESET, told.end)
        self.assertEqual(len(WITHOUT_LENGTH), told.received)
        self.assertGreater(told.unsent, 0)
        self.assertLess(told.unsent, len(LONG_REQUEST))
        self.assertFalse(told.is_complete or told.has_length)

    # Guards against a complete response that is reported as cut.
    def test_eof_of_a_response_without_length(self):
        told = self.play(WITHOUT_LENGTH, end_sending, b"x")
        self.assertIs(transport.ConnectionEnd.EOF, told.end)
        self.assertEqual(0, told.unsent)
        self.assertTrue(told.is_complete)

    # Guards against a cut response that is reported as complete.
    def test_eof_of_a_truncated_response(self):
        told = self.play(WITH_LENGTH[:-1], end_sending, b"x")
        self.assertIs(transport.ConnectionEnd.EOF, told.end)
        self.assertTrue(told.has_length)
        self.assertFalse(told.is_complete)

    # Guards against a response that is reported although none came.
    def test_eof_without_a_response(self):
        told = self.play(b"", end_sending, b"x")
        self.assertEqual((0, False), (told.received, told.is_complete))

    # Guards against a report of each later end.
    def test_response_that_ended_by_its_framing(self):
        self.assertIsNone(self.play(WITH_LENGTH, reset))


class OwnEndTest(ResponseEndCase):
    """This process ends the connection, or uses up the socket's error."""

    def answer_head(self):
        """Return the listener of a response without length under way."""
        listener, server_socket = self.start(b"x")
        server_socket.sendall(WITHOUT_LENGTH)
        self.run_loop_until(lambda: listener.body)
        return listener, server_socket

    def client_socket(self):
        """Return the client's socket of the only connection."""
        (sock,) = self.hub._handler_by_socket
        return sock

    # Guards against an EOF after a reset that has_unread() has consumed.
    def test_error_seen_while_peeking_breaks_the_response(self):
        listener, server_socket = self.answer_head()
        reset(server_socket)
        time.sleep(DELIVERY_SECONDS)
        self.assertFalse(self.hub.has_unread(self.client_socket()))
        self.run_loop_until(lambda: listener.settled)
        self.assert_broken(listener)

    # Guards against a reset that shutdown() reports first.
    def test_error_seen_at_shutdown_breaks_the_response(self):
        listener, server_socket = self.answer_head()
        reset(server_socket)
        time.sleep(DELIVERY_SECONDS)
        self.hub.shutdown_sending(self.client_socket())
        self.run_loop_until(lambda: listener.settled)
        self.assert_broken(listener)

    # Guards against a reset that a send of new bytes reports first.
    def test_error_seen_at_a_new_send_breaks_the_response(self):
        listener, server_socket = self.answer_head()
        reset(server_socket)
        time.sleep(DELIVERY_SECONDS)
        self.hub.send(self.client_socket(), b"more")
        self.run_loop_until(lambda: listener.settled)
        self.assert_broken(listener)

    def close_locally(self, close):
        """Close a connection on this side; return its listener."""
        listener, _server_socket = self.answer_head()
        close(self.client_socket())
        self.run_loop_until(lambda: listener.settled)
        self.assertFalse(listener.done)
        self.assertFalse(listener.error.is_broken)
        return listener

    # Guards against truncated responses that the end of the process completes.
    def test_stop_of_the_hub_never_completes_a_response(self):
        self.close_locally(lambda sock: self.hub.close())

    # Guards against a response that this side's own close completes.
    def test_own_close_never_completes_a_response(self):
        self.close_locally(self.hub.close_now)

    # Guards against a response that a close of circuits completes.
    def test_close_once_sent_never_completes_a_response(self):
        self.close_locally(self.hub.close_when_sent)

    # Guards against requests that are sent again by a process that stops.
    def test_own_close_never_resends_a_request(self):
        listener, server_socket = self.start(b"x")
        server_socket.sendall(test_http_client.OK)
        self.run_loop_until(lambda: listener.done)
        listener = self.send()
        self.run_loop(2)
        self.hub.close_now(self.client_socket())
        self.run_loop_until(lambda: listener.settled)
        self.assertEqual(1, self.http.connections_opened)

    # Guards against a response that a failure of its listener completes.
    def test_failing_listener_never_completes_a_response(self):
        listener, server_socket = self.answer_head()
        listener.data = lambda chunk: 1 / 0
        with self.assertLogs("postspring.transport", "ERROR"):
            server_socket.sendall(b"more")
            self.run_loop_until(lambda: listener.settled)
        self.assertFalse(listener.done)
        self.assertFalse(listener.error.is_broken)


class RecordingHandler(transport.ConnectionHandler):
    """Collects what a hub reports."""

    def __init__(self):
        self.data = b""
        self.ends = []

    def received(self, data):
        """Collect bytes."""
        self.data += data

    def ended(self, end):
        """Collect the end."""
        self.ends.append(end)


class ReportedEndTest(test_http_client.LoopCase):
    """Each end of a connection is reported once, with its kind."""

    def connect(self):
        """Return the handler, the hub's socket and the peer's."""
        handler = RecordingHandler()
        socks = []
        self.hub.open(
            self.address,
            5.0,
            lambda sock: socks.append(sock) or handler,
            self.fail,
        )
        self.run_loop_until(lambda: socks)
        peer, _address = self.listening.accept()
        self.addCleanup(peer.close)
        self.run_loop()
        return handler, socks[0], peer

    def assert_end(self, handler, name):
        """Wait for the end, and check its kind."""
        self.run_loop_until(lambda: handler.ends)
        self.run_loop()
        self.assertEqual([name], [end.name for end in handler.ends])
        self.assertEqual({}, self.hub._handler_by_socket)

    # Guards against an EOF that counts as a failure.
    def test_eof(self):
        handler, _sock, peer = self.connect()
        peer.close()
        self.assert_end(handler, "EOF")

    # Guards against a reset that counts as an EOF.
    def test_reset(self):
        handler, _sock, peer = self.connect()
        reset(peer)
        self.assert_end(handler, "RESET")

    # Guards against a second report for a reset that send() saw first.
    def test_reset_seen_while_sending(self):
        handler, sock, peer = self.connect()
        self.hub.send(sock, LONG_REQUEST)
        peer.sendall(BODY)
        time.sleep(DELIVERY_SECONDS)
        reset(peer)
        time.sleep(DELIVERY_SECONDS)
        self.hub.send(sock, b"more")
        self.assert_end(handler, "RESET")
        self.assertEqual(BODY, handler.data)

    # Guards against lost bytes while reading is paused and the peer resets.
    def test_reset_while_reading_is_paused(self):
        handler, sock, peer = self.connect()
        self.hub.pause_reading(sock)
        self.hub.send(sock, LONG_REQUEST)
        self.run_loop()
        peer.sendall(BODY)
        time.sleep(DELIVERY_SECONDS)
        reset(peer)
        self.assert_end(handler, "RESET")
        self.assertEqual(BODY, handler.data)

    # Guards against an own close that counts as the peer's EOF.
    def test_own_close(self):
        handler, sock, _peer = self.connect()
        self.hub.close_now(sock)
        self.assert_end(handler, "LOCAL")

    # Guards against a reset that is lost when send() saw it.
    def test_own_close_of_a_connection_that_was_reset(self):
        handler, sock, peer = self.connect()
        reset(peer)
        time.sleep(DELIVERY_SECONDS)
        self.hub.send(sock, b"more")
        self.hub.close_now(sock)
        self.assert_end(handler, "RESET")

    # Guards against a stop that counts as the peers' EOF.
    def test_stop_of_the_hub(self):
        handler, _sock, _peer = self.connect()
        self.hub.close()
        self.assert_end(handler, "LOCAL")

    # Guards against a failing handler that counts as the peer's EOF.
    def test_handler_that_raises(self):
        handler, _sock, peer = self.connect()
        handler.received = lambda data: 1 / 0
        with self.assertLogs("postspring.transport", "ERROR"):
            peer.sendall(b"x")
            self.run_loop_until(lambda: handler.ends)
        self.assert_end(handler, "HANDLER_FAILED")
