"""Program ids."""

import unittest

from postspring import errors
from postspring import identifiers


class ProgramIdTest(unittest.TestCase):
    """The format of program ids."""

    def test_round_trip(self):
        program = identifiers.new_program_id("regina-hall", 11)
        address = identifiers.parse_program_id(program)
        self.assertEqual(("regina-hall", 11), as_tuple(address))

    def test_ids_differ(self):
        program_ids = {
            identifiers.new_program_id("surco", 1) for _ in range(100)
        }
        self.assertEqual(100, len(program_ids))

    def test_malformed_ids_are_rejected(self):
        for text in ("", "p-surco-1", "q-surco-1-" + "a" * 24, "p-S-1-x"):
            with self.subTest(text=text):
                with self.assertRaises(errors.IdentifierError):
                    identifiers.parse_program_id(text)


def as_tuple(address):
    """Return the fields of an address as a tuple."""
    return address.data_center, address.slot
