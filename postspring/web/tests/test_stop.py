"""The product's own web server while its VM stops.

By reading: the faults that a stop of the users' VMs had are here as well.  A
request that waited to be accepted was reset, and a VM took "no request is
under way" for "every answer has left".  Proof: these tests.
"""

import socket
import unittest

from circuits import BaseComponent
from circuits.core import pollers

from postspring import transport
from postspring import web

LONG_ANSWER_BYTES = 16_000_000
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class StopTest(unittest.TestCase):
    """A server whose loop is turned by hand."""

    def setUp(self):
        self.root = BaseComponent()
        pollers.EPoll().register(self.root)
        timers = transport.Timers().register(self.root)
        self.requests = []
        self.web = web.WebServer(
            ("127.0.0.1", 0), self.requests.append, timers
        ).register(self.root)
        self.root._running = True
        self.turn()
        self.caller = socket.create_connection(self.web.address)
        self.addCleanup(self.caller.close)
        self.caller.settimeout(10)

    def turn(self, count=20):
        """Turn the loop some times."""
        for _ in range(count):
            self.root.tick(timeout=0.01)

    def test_what_waits_to_be_accepted_is_served(self):
        self.caller.sendall(REQUEST)
        self.web.refuse_new()
        self.turn()
        self.assertEqual(1, len(self.requests))
        self.requests[0].respond(200, b"hi")
        self.turn()
        self.assertIn(b"200", self.caller.recv(1000))

    def test_an_answer_that_has_not_left_is_under_way(self):
        self.caller.sendall(REQUEST)
        self.turn()
        self.requests[0].respond(200, b"x" * LONG_ANSWER_BYTES)
        self.turn()
        self.assertTrue(self.web.active)
        left = LONG_ANSWER_BYTES
        while left > 0:
            left -= len(self.caller.recv(1 << 20))
            self.turn(1)
        self.turn()
        self.assertFalse(self.web.active)
