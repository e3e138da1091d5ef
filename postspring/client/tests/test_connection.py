"""Tests of EntryClient's retries and failover between entry VMs."""

import http.server
import json
import threading
import unittest

from postspring import client


class _FixedResponseHandler(http.server.BaseHTTPRequestHandler):
    """Returns the body set at the server and counts requests."""

    def do_GET(self):
        """Send the server's body as JSON."""
        self.server.request_count += 1
        body = json.dumps(self.server.body).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Suppress the access log."""


class EntryClientTest(unittest.TestCase):
    """Retries at the same VM, failover, and refusals raised at once."""

    def start_server(self, body):
        """Start a server that returns ``body`` to each request."""
        server = http.server.HTTPServer(
            ("127.0.0.1", 0), _FixedResponseHandler
        )
        server.body = body
        server.request_count = 0
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return server

    def request_with_failover(self, refusal, retry_timeout):
        """Send a request to a VM that refuses, with one that succeeds next."""
        first = self.start_server(refusal)
        second = self.start_server({"status": "ok"})
        addresses = [
            f"127.0.0.1:{server.server_address[1]}"
            for server in (first, second)
        ]
        entry = client.EntryClient(addresses)
        try:
            return entry.request("GET", "/", retry_timeout=retry_timeout).body
        finally:
            self.first, self.second = first, second

    def build_refusal(self, reason):
        """Return the body of a refusal."""
        return {
            "refused": reason,
            "ran": "not_run",
            "detail": "",
            "retry_after_seconds": 0.01,
        }

    def test_unreachable_owner_fails_over_to_next_vm(self):
        answer = self.request_with_failover(
            self.build_refusal("owner_unreachable"), 5
        )
        self.assertEqual({"status": "ok"}, answer)
        self.assertEqual(1, self.first.request_count)

    def test_refusal_not_retryable_is_raised_at_once(self):
        with self.assertRaises(client.RefusedError) as caught:
            self.request_with_failover(self.build_refusal("over_budget"), 5)
        self.assertEqual("over_budget", caught.exception.reason)
        self.assertEqual(
            (1, 0), (self.first.request_count, self.second.request_count)
        )

    def test_retryable_refusal_is_retried_until_timeout(self):
        with self.assertRaises(client.RefusedError):
            self.request_with_failover(
                self.build_refusal("log_unavailable"), 0.1
            )
        self.assertGreater(self.first.request_count, 1)
        self.assertEqual(0, self.second.request_count)
