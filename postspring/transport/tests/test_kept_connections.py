"""Which connections are kept after a response.

A server may respond before it has read the request.  The rest of a long
request is then still buffered, and a later request would be sent behind it.
"""

from postspring.transport.tests import test_http_client

OK = test_http_client.OK
# While the server reads nothing, the kernel takes a request of the first size
# whole, and one of the second in part.
REQUEST_IN_KERNEL = b"x" * 1_000_000
LONG_REQUEST = b"x" * 8_000_000


class UnsentRequestTest(test_http_client.LoopCase):
    """A server responds to a request that it has read in part."""

    def answer_early(self, response, body=LONG_REQUEST):
        """Respond to a request without reading it."""
        listener = self.send(method="POST", body=body)
        self.run_loop(3)
        server_socket, _peer = self.listening.accept()
        self.addCleanup(server_socket.close)
        self.run_loop(5)
        server_socket.sendall(response)
        self.run_loop_until(lambda: listener.settled)
        self.assertEqual(b"hi", listener.body)

    # Guards against a request that is sent behind the rest of another one:
    # the server never reads it, and it times out as sent.
    def test_next_request_uses_a_new_connection(self):
        self.answer_early(OK)
        self.check_next_request()

    # Guards against the same if the rest is in the kernel.
    def test_kernel_holds_the_rest(self):
        self.answer_early(OK, REQUEST_IN_KERNEL)
        self.check_next_request()

    def check_next_request(self):
        """Check that a further request is answered."""
        self.serve(OK)
        listener = self.send_and_wait(method="POST", timeout=0.5)
        self.assertIsNone(listener.error)
        self.assertEqual(b"hi", listener.body)

    # Guards against a closed connection that lasts until its request is sent.
    def test_rest_is_discarded_if_the_server_closes(self):
        self.answer_early(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + OK[17:]
        )
        self.assertEqual(0, self.hub.all_unsent_bytes)
        self.assertEqual({}, self.hub.unsent_by_handler())

    # Guards against a new connection for each request.
    def test_connection_is_kept_once_the_request_is_sent(self):
        listener = self.send(method="POST", body=b"x")
        self.run_loop(3)
        server_socket, _peer = self.listening.accept()
        self.addCleanup(server_socket.close)
        server_socket.sendall(OK)
        self.run_loop_until(lambda: listener.settled)
        listener = self.send(method="POST")
        self.run_loop(3)
        server_socket.sendall(OK)
        self.run_loop_until(lambda: listener.settled)
        self.assertEqual(b"hi", listener.body)
        self.listening.setblocking(False)
        self.assertRaises(BlockingIOError, self.listening.accept)
