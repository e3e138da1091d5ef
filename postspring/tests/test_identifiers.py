"""Ids of programs."""

import unittest

from postspring import errors
from postspring import identifiers


class ProgramIdTest(unittest.TestCase):
    """The form of a program's id."""

    def test_round_trip(self):
        program = identifiers.new_program_id("regina-hall", 11)
        address = identifiers.parse_program_id(program)
        self.assertEqual(("regina-hall", 11), tuple_of(address))

    def test_ids_differ(self):
        made = {identifiers.new_program_id("surco", 1) for _ in range(100)}
        self.assertEqual(100, len(made))

    def test_other_texts_are_refused(self):
        for text in ("", "p-surco-1", "q-surco-1-" + "a" * 24, "p-S-1-x"):
            with self.subTest(text=text):
                with self.assertRaises(errors.IdentifierError):
                    identifiers.parse_program_id(text)


def tuple_of(address):
    """Return the parts of an address."""
    return address.data_center, address.slot
