"""Entries of the list of VMs that no VM of this version writes."""

import unittest

import cbor2
import hypothesis
from hypothesis import strategies

from postspring import keyedlog
from postspring.peering import member_entries

ADDRESS = ["10.0.0.1", 80]
# A decimal fraction, three with so many zeros: a number of seven bytes.
HUGE_NUMBER = cbor2.CBORTag(4, [10**8, 3])


def decode(values):
    """Return what the entry of a VM means that consists of some values."""
    data = cbor2.dumps(values)
    return member_entries.decode(keyedlog.LogEntry("vm", data))


class OddEntryTest(unittest.TestCase):
    """An entry that names no VM to connect to.

    Guards against a VM that stops when it reads the port of such an entry, or
    that fails each time that it contacts all VMs of the list.
    """

    def assert_names_no_vm(self, address):
        """Check an address as that for VMs, and as that for callers."""
        for addresses in ([address, ADDRESS], [ADDRESS, address]):
            self.assertIsNone(decode(["vm/1", "z", *addresses]))

    def test_number_with_very_many_digits_as_the_port(self):
        self.assert_names_no_vm(["10.0.0.1", HUGE_NUMBER])

    def test_port_out_of_range(self):
        for port in (-1, 0, 65_536, 99_999, 2**64, 10**400):
            with self.subTest(str(port)[:8]):
                self.assert_names_no_vm(["10.0.0.1", port])

    def test_port_of_another_type(self):
        for port in (80.5, float("nan"), True, None, "80", b"80", "８０"):
            with self.subTest(port):
                self.assert_names_no_vm(["10.0.0.1", port])

    def test_host_that_is_no_address(self):
        hosts = (
            "",
            "a..b",
            "name",
            "10.0.0.1\0",
            "x" * 500,
            "１.1.1.1",
            "::1",
        )
        for host in hosts:
            with self.subTest(host[:10]):
                self.assert_names_no_vm([host, 80])

    def test_incarnation_that_is_no_text(self):
        for value in (HUGE_NUMBER, 1, None, [], {}):
            with self.subTest(value):
                self.assertIsNone(decode([value]))
                self.assertIsNone(decode([value, "z", ADDRESS, ADDRESS]))

    @hypothesis.settings(derandomize=True, max_examples=200)
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.text(max_size=5),
                strategies.integers(),
                strategies.decimals(),
                strategies.tuples(strategies.text(), strategies.integers()),
            ),
            max_size=5,
        )
    )
    def test_any_values(self, values):
        decoded = decode(values)
        if isinstance(decoded, member_entries.Member):
            self.assertIn(decoded.peers[1], range(1, 65_536))
        else:
            self.assertIsInstance(decoded, (str, type(None)))

    def test_additional_fields_of_a_later_version(self):
        decoded = decode(["vm/1", "z", ADDRESS, ADDRESS, {"x": 1}])
        self.assertEqual(("10.0.0.1", 80), decoded.peers)
