"""Going to another VM when one can't help."""

import http.server
import json
import threading
import unittest

from postspring import client


class _Answers(http.server.BaseHTTPRequestHandler):
    """Gives the server's one answer."""

    def do_GET(self):
        """Answer."""
        self.server.asked += 1
        body = json.dumps(self.server.body).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Say nothing."""


class EntryClientTest(unittest.TestCase):
    """Refusals that another VM may not give."""

    def serve(self, body):
        """Return a server that gives one answer."""
        server = http.server.HTTPServer(("127.0.0.1", 0), _Answers)
        server.body = body
        server.asked = 0
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return server

    def ask(self, refusal, retry_timeout):
        """Ask a VM that refuses and one that answers."""
        first = self.serve(refusal)
        second = self.serve({"status": "ok"})
        addresses = [
            f"127.0.0.1:{server.server_address[1]}"
            for server in (first, second)
        ]
        entry = client.EntryClient(addresses)
        try:
            return entry.request("GET", "/", retry_timeout=retry_timeout).body
        finally:
            self.first, self.second = first, second

    def refusal(self, reason):
        """Build a refusal."""
        return {
            "refused": reason,
            "ran": "not_run",
            "detail": "",
            "retry_after_seconds": 0.01,
        }

    def test_a_vm_that_cannot_reach_the_owner_is_left(self):
        answer = self.ask(self.refusal("owner_unreachable"), 5)
        self.assertEqual({"status": "ok"}, answer)
        self.assertEqual(1, self.first.asked)

    def test_a_final_refusal_is_raised_at_once(self):
        with self.assertRaises(client.RefusedError) as caught:
            self.ask(self.refusal("over_budget"), 5)
        self.assertEqual("over_budget", caught.exception.reason)
        self.assertEqual((1, 0), (self.first.asked, self.second.asked))

    def test_a_refusal_to_come_back_after_is_retried_until_patience_ends(self):
        with self.assertRaises(client.RefusedError):
            self.ask(self.refusal("log_unavailable"), 0.1)
        self.assertGreater(self.first.asked, 1)
        self.assertEqual(0, self.second.asked)
