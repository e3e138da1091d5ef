"""Callers that exceed the limits of the product's own interface.

The entry daemon has no setting for its memory; the bound is that of the VMs it
is meant for.
"""

import time
import unittest

from postspring.testing import misbehaving
from postspring.testing import probes
from postspring.testing import processes

MIB = 1024 * 1024
MEMORY_MB = 160
BODY_BYTES = 4 * MIB
VM = "rimac-1"
PLAYS = 2
# A process at rest uses far less of a core.
BUSY_SHARE = 0.2
WINDOW_SECONDS = 0.5


class MisbehavingEntryClientsTest(unittest.TestCase):
    """One VM that serves a crowd, and an ordinary caller afterwards."""

    def setUp(self):
        self.deployment = processes.Deployment({"rimac": 1})
        self.addCleanup(self.deployment.close)
        self.deployment.begin()
        host, _, port = self.deployment.vm_by_name[VM].listen.rpartition(":")
        self.address = (host, int(port))
        self.process = self.deployment.process_by_name[VM]
        self.measured_at = time.monotonic()
        self.used = 0.0
        self.is_at_work = True

    def play(self, connections, make_parts, bytes_each):
        """Let a crowd come twice, and check the VM after each time."""
        crowd = misbehaving.Crowd(
            self.address, connections, make_parts, bytes_each, self.is_busy
        )
        for _ in range(PLAYS):
            crowd.play()
            self.check()
            processes.wait_until("an ordinary request", self.answers)

    def is_busy(self):
        """Check the process; return whether it is still at work."""
        self.check()
        passed = time.monotonic() - self.measured_at
        if passed > WINDOW_SECONDS:
            before = self.used
            self.measured_at = time.monotonic()
            self.used = probes.processor_seconds(self.process)
            self.is_at_work = self.used - before > BUSY_SHARE * passed
        return self.is_at_work

    def check(self):
        """Check that the process is alive and within its memory."""
        log = self.deployment.log(VM)[-2000:]
        self.assertIsNone(self.process.poll(), log)
        peak = probes.peak_bytes(self.process)
        self.assertLessEqual(peak, MEMORY_MB * MIB)

    def answers(self):
        """Return whether an ordinary request is answered with success."""
        return probes.status_of(self.address, "/v1/status") == 200

    # Guards against requests sent ahead that are read without a bound.
    def test_requests_sent_ahead(self):
        request = misbehaving.Request("/v1/calls", "POST", body=b"x" * 60_000)
        self.play(60, request.repeat, 5 * MIB)

    # Guards against responses that are kept for callers that don't read.
    def test_responses_unread(self):
        request = misbehaving.Request("/metrics")
        self.play(40, request.repeat, 100_000)

    # Guards against bodies that are received in part and not counted.
    def test_long_bodies_without_an_end(self):
        head = {"Content-Length": str(BODY_BYTES)}
        request = misbehaving.Request(
            "/v1/calls", "POST", head, b"x" * (BODY_BYTES - 1)
        )
        self.play(60, lambda: request.begin([]), BODY_BYTES)
