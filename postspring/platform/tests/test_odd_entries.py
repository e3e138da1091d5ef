"""Odd entries in the store's log, against the daemon's own process.

Guards against a VM that ends, stops following the log, or stops serving
because another writer left an entry that is no entry, then and after a
restart that reads it again.
"""

import json
import unittest

import cbor2

from postspring.daemon import process
from postspring.platform import names
from postspring.testing.fleet import fleet
from postspring.testing import misbehaving
from postspring.testing import processes

MEMORY_MB = 160
MAX_FILES = 3200
BODY_BYTES = 1024 * 1024
# A record has at most 256 KiB.
DEEP_NESTING = 40_000
# A decimal fraction, three with so many zeros: a number of seven bytes.
HUGE_NUMBER = cbor2.CBORTag(4, [10**8, 3])

ENTRY = {
    "service": fleet.PLAIN_SERVICE,
    "address": "127.0.0.77:18080",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "warmup_remaining_ms": 0,
    "sequence": 4,
}
KEYS = ("odd%d", "a\r\nX: y%d", "\0%d", "\ufffd%d", " %d")


def upstream_values():
    """Return values of upstreams' entries, as bytes."""
    head = json.dumps(ENTRY)[:-1].encode()
    nested = b"[" * DEEP_NESTING
    changes = (
        {"address": "127.0.0.77:65536"},
        {"address": "127.0.0.77:" + "9" * 180},
        {"address": "a..b:80"},
        {"address": "\ud800:80"},
        {"service": "\ud800"},
        {"slots": 10**300},
        {"born": -1},
    )
    return [
        nested,
        b'{"a":' * DEEP_NESTING,
        head + b',"x":' + nested + b"]" * DEEP_NESTING + b"}",
        head + b',"slots":' + b"9" * DEEP_NESTING + b"}",
        head + b',"born":1e400}',
        head + b',"warmup_remaining_ms":NaN}',
        b"\xff\xfe" * 1000,
        b"null",
        *(json.dumps(ENTRY | change).encode() for change in changes),
        # A valid entry, under the next key.
        json.dumps(ENTRY).encode(),
    ]


def member_values():
    """Return values of VMs' entries, as bytes."""
    addresses = (
        ["10.0.0.1", HUGE_NUMBER],
        ["10.0.0.1", 99_999],
        ["a..b", 80],
        ["10.0.0.1\0", 80],
        ["10.0.0.1", float("nan")],
    )
    return [
        b"\x81" * DEEP_NESTING,
        b"\x9b\x7f" + b"\xff" * 7,
        b"\xff",
        cbor2.dumps([HUGE_NUMBER]),
        *(cbor2.dumps(["i", "z", item, item]) for item in addresses),
    ]


class OddEntriesTest(unittest.TestCase):
    """One VM that reads the log while others write to it."""

    def setUp(self):
        process.raise_file_limit(MAX_FILES)
        self.vm = misbehaving.SingleVm(MEMORY_MB, MAX_FILES, BODY_BYTES)
        self.addCleanup(self.vm.close)
        self.vm.open()

    def put(self, topic, values):
        """Append each value under a key of its own, then all of them."""
        records = [
            (KEYS[number % len(KEYS)] % number, value)
            for number, value in enumerate(values)
        ]
        for record in records:
            self.vm.append(topic, [record])
        self.vm.append(topic, records)

    def wait_until_read(self, name, text):
        """Wait until the VM has logged a line for the last odd entry."""
        processes.wait_until(name, lambda: text in self.vm.vm_log)

    def check(self):
        """Check that the VM is alive, serves, and follows the log."""
        self.assertTrue(self.vm.is_running, self.vm.vm_log[-2000:])
        processes.wait_until("an ordinary request", self.vm.answers)
        self.assertNotIn("raised an exception", self.vm.vm_log)
        self.assertNotIn("follower of log failed", self.vm.vm_log)

    def test_entries_of_upstreams(self):
        self.put(names.SERVERS_TOPIC, upstream_values())
        self.vm.append(names.SERVERS_TOPIC, [("last", b"odd")])
        self.wait_until_read("the entries", '"last"')
        self.check()
        self.vm.restart()
        self.check()

    def test_entries_of_vms(self):
        self.put(names.MEMBERS_TOPIC, member_values())
        self.wait_until_read("the entries", "malformed member entry")
        self.check()
        self.vm.restart()
        self.check()
