"""Tests of the web server during a graceful shutdown.

They guard against two failures: closing the listener resets connections
that wait to be accepted, and a VM that stops once no request is active cuts
off responses that are still in send buffers.
"""

import socket
import unittest

from circuits import BaseComponent
from circuits.core import pollers

from postspring import transport
from postspring import web

LARGE_RESPONSE_BYTES = 16_000_000
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class ShutdownTest(unittest.TestCase):
    """A server whose event loop the test runs step by step."""

    def setUp(self):
        self.root = BaseComponent()
        pollers.EPoll().register(self.root)
        timers = transport.Timers().register(self.root)
        self.requests = []
        self.web = web.WebServer(
            ("127.0.0.1", 0), self.requests.append, timers
        ).register(self.root)
        self.root._running = True
        self.run_loop()
        self.caller = socket.create_connection(self.web.address)
        self.addCleanup(self.caller.close)
        self.caller.settimeout(10)

    def run_loop(self, count=20):
        """Run ``count`` iterations of the event loop."""
        for _ in range(count):
            self.root.tick(timeout=0.01)

    def test_connection_in_backlog_is_served(self):
        self.caller.sendall(REQUEST)
        self.web.stop_accepting()
        self.run_loop()
        self.assertEqual(1, len(self.requests))
        self.requests[0].respond(200, b"hi")
        self.run_loop()
        self.assertIn(b"200", self.caller.recv(1000))

    def test_unsent_response_counts_as_active(self):
        self.caller.sendall(REQUEST)
        self.run_loop()
        self.requests[0].respond(200, b"x" * LARGE_RESPONSE_BYTES)
        self.run_loop()
        self.assertTrue(self.web.active)
        remaining = LARGE_RESPONSE_BYTES
        while remaining > 0:
            remaining -= len(self.caller.recv(1 << 20))
            self.run_loop(1)
        self.run_loop()
        self.assertFalse(self.web.active)
