"""A store whose responses don't end, against the daemon's own process.

A VM kept what the store sent in each of its calls, and exceeded its memory.
"""

import time
import unittest

from postspring.daemon import process
from postspring.daemon.tests import test_misbehaving_clients
from postspring.testing import misbehaving
from postspring.testing import processes

MIB = 1024 * 1024
# Of the VM's machine; its process may not exceed them.
MEMORY_MB = 160
MAX_FILES = 3200
BODY_BYTES = 4 * MIB
# Programs whose turns the store is asked for at the same time.
PROGRAMS = 400
# Responses without an end before the store is sound again.
RESPONSES = 200


class EndlessStoreTest(unittest.TestCase):
    """One VM, its store, and callers of many programs."""

    def setUp(self):
        process.raise_file_limit(MAX_FILES)
        self.vm = misbehaving.SingleVm(MEMORY_MB, MAX_FILES, BODY_BYTES)
        self.addCleanup(self.vm.close)
        self.relay = misbehaving.EndlessRelay(self.vm.store)
        self.addCleanup(self.relay.close)
        self.vm.open(store=self.relay.address, seeds=[self.relay.address])

    # Guards against a VM that is killed at its memory limit.
    def test_vm_serves_again_within_its_memory(self):
        processes.wait_until("an ordinary request", self.vm.answers)
        self.relay.is_endless = True
        turn = misbehaving.Request(
            "/stream/x", "POST", test_misbehaving_clients.TURN_HEADERS, b"hi"
        )
        ends_at = time.monotonic() + 40
        crowd = misbehaving.Crowd(
            self.vm.callers,
            PROGRAMS,
            turn.repeat,
            10_000,
            lambda: (
                self.relay.responses < RESPONSES and time.monotonic() < ends_at
            ),
        )
        crowd.play()
        self.relay.is_endless = False
        self.assertTrue(self.vm.is_running, self.vm.vm_log[-2000:])
        processes.wait_until("an ordinary request", self.vm.answers)
        self.assertGreaterEqual(self.relay.responses, RESPONSES)
        self.assertLessEqual(self.vm.peak_bytes, MEMORY_MB * MIB)
