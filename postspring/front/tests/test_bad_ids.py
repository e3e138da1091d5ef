"""Ids that do not fit a key of the log.

Found by reading: packing the record raised an error in the midst of an append,
and the caller got 500.
"""

from postspring.testing.fleet import case


class LongIdTest(case.FleetCase):
    """Bad input gets a clear error, and harms nobody else."""

    def test_a_long_program_id(self):
        answer = self.fleet.take_turn("a", program_id="p" * 300)
        self.assertEqual(400, answer.status)

    def test_a_long_request_id(self):
        answer = self.fleet.take_turn("r" * 300)
        self.assertEqual(400, answer.status)

    def test_the_program_goes_on(self):
        self.fleet.take_turn("r" * 300)
        self.assertTrue(self.fleet.take_turn("a").whole)

    def test_ids_that_just_fit(self):
        answer = self.fleet.take_turn("r" * 100, program_id="p" * 100)
        self.assertTrue(answer.whole)

    def test_a_long_previous_turn_is_unknown(self):
        answer = self.fleet.take_turn("a", previous_turn="r" * 300)
        self.assertEqual(404, answer.status)
