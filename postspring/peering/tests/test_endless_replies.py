"""Other VMs, or what listens at their address, whose responses don't end."""

import threading

from postspring.peering import messages
from postspring import transport
from postspring.transport.tests import test_endless_responses

PATHS = (
    messages.KEEP_PATH,
    messages.FIND_PATH,
    messages.VIEW_PATH,
    messages.PING_PATH,
    messages.LOADS_PATH,
    messages.PERMIT_PATH,
    messages.CRASHES_PATH,
    messages.RECORD_PATH,
)
HEAD = b"HTTP/1.1 200 OK\r\n"


class EndlessReplyTest(test_endless_responses.EndlessCase):
    """Requests to another VM."""

    def ask(self, path):
        """Send a request; return the body or the error."""
        results = []
        request = messages.request_to(self.address, path, b"", 10.0)
        collector = transport.ResponseCollector(
            lambda status, body: results.append(body), results.append
        )
        self.http.send(request, collector)
        self.run_loop_until(lambda: results)
        return results[0]

    # Guards against a VM that exceeds its memory by what another one sends.
    def test_request_fails_and_closes_the_connection(self):
        start = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        for path in PATHS:
            with self.subTest(path=path):
                self.sent_bytes = 0
                self.was_closed = threading.Event()
                self.serve_endless(start, b"10000\r\n%065536d\r\n" % 0)
                self.assertIn("body above", str(self.ask(path)))
                self.assertTrue(self.was_closed.wait(10))

    def test_view_of_thousands_of_upstreams(self):
        entries = [(f"u{number}", b"x" * 1000) for number in range(5400)]
        body = messages.encode(messages.ViewResponse(entries, 5400))
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        self.serve(HEAD + length + body)
        self.assertEqual(body, self.ask(messages.VIEW_PATH))

    def test_loads_of_thousands_of_upstreams(self):
        calls = [(f"u{number}/{number:032x}", 64) for number in range(5400)]
        body = messages.encode(messages.LoadsResponse(calls, []))
        length = b"Content-Length: %d\r\n\r\n" % len(body)
        self.serve(HEAD + length + body)
        self.assertEqual(body, self.ask(messages.LOADS_PATH))
