"""Callers that send more than they read, against the daemon's own process.

Forty callers that sent requests ahead on their connections and read no
answers made a VM exceed its memory, and it was killed.  Others that sent a
body in tiny chunks kept the event loop busy, so that nobody was served.
"""

import itertools
import unittest

from postspring.daemon import process
from postspring.platform import names
from postspring.testing import misbehaving
from postspring.testing import processes

MIB = 1024 * 1024
# Of the VM's machine; its process may not exceed them.
MEMORY_MB = 96
MAX_FILES = 3200
BODY_BYTES = 4 * MIB
PLAYS = 2

TURN_HEADERS = {
    names.MODEL: "m",
    names.PROGRAM_ID: "p{id}",
    names.SESSION_ID: "s",
    names.PROGRAM_DEADLINE_MS: "30000",
    names.TOKEN_BUDGET: "100000",
    names.TOKEN_USAGE: "100,40",
}
# Within the longest head that the configuration allows, 16 KiB.
MANY_FIELDS = TURN_HEADERS | {f"a{n}": "b" for n in range(1500)}
CHUNKED = {"Transfer-Encoding": "chunked"}


class MisbehavingClientsTest(unittest.TestCase):
    """One VM that serves a crowd, and an ordinary caller afterwards."""

    def setUp(self):
        process.raise_file_limit(MAX_FILES)
        self.vm = misbehaving.SingleVm(MEMORY_MB, MAX_FILES, BODY_BYTES)
        self.addCleanup(self.vm.close)
        self.vm.open()
        self.most_files = 0

    def play(self, connections, make_parts, bytes_each, address=None):
        """Let a crowd come twice, and check the VM after each time."""
        crowd = misbehaving.Crowd(
            address or self.vm.callers,
            connections,
            make_parts,
            bytes_each,
            self.note_files,
        )
        for _ in range(PLAYS):
            crowd.play()
            self.check()

    def note_files(self):
        """Keep the largest number of open descriptors."""
        if self.vm.is_running:
            self.most_files = max(self.most_files, self.vm.open_files)

    def check(self):
        """Check that the VM is alive, within its limits, and serves."""
        self.assertTrue(self.vm.is_running, self.vm.vm_log[-2000:])
        processes.wait_until("an ordinary request", self.vm.answers)
        self.assertLessEqual(self.vm.peak_bytes, MEMORY_MB * MIB)
        self.assertLessEqual(self.most_files, MAX_FILES)

    # Guards against requests sent ahead that are read without a bound.
    def test_requests_sent_ahead(self):
        request = misbehaving.Request("/safe/x")
        self.play(40, request.repeat, 5 * MIB)

    # Guards against the same for requests with bodies below the length that
    # counts as long.
    def test_bodies_sent_ahead(self):
        request = misbehaving.Request("/once/x", "POST", body=b"x" * 60_000)
        self.play(40, request.repeat, 5 * MIB)

    # Guards against the same for turns whose streams are not read.
    def test_turns_sent_ahead(self):
        request = misbehaving.Request(
            "/stream/x", "POST", TURN_HEADERS, b"hello"
        )
        self.play(40, request.repeat, 5 * MIB)

    # Guards against short bodies that are received in part and not counted.
    def test_short_bodies_without_an_end(self):
        head = {"Content-Length": "64000"}
        request = misbehaving.Request("/once/x", "POST", head, b"x" * 63_999)
        self.play(1400, lambda: request.begin([]), 64_000)

    # Guards against responses that are kept for callers that don't read.
    def test_long_answers_unread(self):
        request = misbehaving.Request("/safe/large/2000000")
        self.play(60, request.repeat, 100_000)

    # Guards against header fields whose objects are not counted.
    def test_many_header_fields(self):
        request = misbehaving.Request("/stream/x", "POST", MANY_FIELDS, b"x")
        self.play(200, request.repeat, 128 * 1024)

    # Guards against an event loop that parses one caller's chunks only.
    def test_bodies_in_tiny_chunks(self):
        request = misbehaving.Request("/once/x", "POST", CHUNKED)
        chunks = b"2\r\nab\r\n" * 20_000
        self.play(30, lambda: request.begin(itertools.repeat(chunks)), 3 * MIB)

    # Guards against limits that hold for the callers' port only.
    def test_long_bodies_at_the_other_ports(self):
        head = {"Content-Length": str(BODY_BYTES)}
        request = misbehaving.Request(
            "/", "POST", head, b"x" * (BODY_BYTES - 1)
        )
        for address in (self.vm.readiness, self.vm.peers):
            self.play(40, lambda: request.begin([]), BODY_BYTES, address)
