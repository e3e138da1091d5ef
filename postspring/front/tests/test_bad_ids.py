"""Ids that are too long for a key of the log.

Packing the record raised an error in the middle of an append, and the caller
got 500 instead of 400.
"""

from postspring.testing.fleet import case


class LongIdTest(case.FleetCase):
    """Invalid ids get a client error and affect no other turn."""

    def test_oversized_program_id(self):
        answer = self.fleet.take_turn("a", program_id="p" * 300)
        self.assertEqual(400, answer.status)

    def test_oversized_request_id(self):
        answer = self.fleet.take_turn("r" * 300)
        self.assertEqual(400, answer.status)

    def test_program_continues_after_an_invalid_turn(self):
        self.fleet.take_turn("r" * 300)
        self.assertTrue(self.fleet.take_turn("a").complete)

    def test_ids_of_the_maximum_length(self):
        answer = self.fleet.take_turn("r" * 100, program_id="p" * 100)
        self.assertTrue(answer.complete)

    def test_oversized_previous_turn_is_not_found(self):
        answer = self.fleet.take_turn("a", previous_turn="r" * 300)
        self.assertEqual(404, answer.status)
