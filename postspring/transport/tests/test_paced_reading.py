"""Connections that are read at intervals."""

from postspring import transport
from postspring.transport.tests import test_http_client

HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"


class CancellingListener(test_http_client.Listener):
    """Cancels another exchange when data arrives."""

    def __init__(self):
        super().__init__()
        self.other = None

    def data(self, chunk):
        """Cancel the other exchange."""
        super().data(chunk)
        self.other.cancel()


class PacedReadingTest(test_http_client.LoopCase):
    """Two responses that arrive at the same time."""

    def open_response(self, listener):
        """Begin a response; return its exchange and the server's socket."""
        request = transport.HttpRequest(self.address, "GET", "/", paced=True)
        exchange = self.http.send(request, listener)
        self.run_loop()
        sock, _peer = self.listening.accept()
        self.addCleanup(sock.close)
        sock.sendall(HEAD)
        self.run_loop_until(lambda: listener.status)
        return exchange, sock

    # Guards against connections that are not read any more after another one
    # has ended in the same interval.
    def test_end_of_one_connection_does_not_stop_the_others(self):
        listener = CancellingListener()
        first, first_sock = self.open_response(listener)
        second, second_sock = self.open_response(test_http_client.Listener())
        listener.other = second
        for sock in (first_sock, second_sock):
            sock.sendall(b"ab")
        self.run_loop_until(lambda: listener.body)
        first_sock.sendall(b"cd")
        self.run_loop_until(lambda: listener.done)
        self.assertEqual(b"abcd", listener.body)
