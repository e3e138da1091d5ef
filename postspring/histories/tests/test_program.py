"""The program aggregate: budget and tree of turns."""

import unittest

from postspring import histories


CLAIM = histories.Claim("vm", 10, 25)


def opened(turn, ceiling=10, budget=25):
    """Return a record that opens a turn."""
    claim = histories.Claim("vm", ceiling, budget)
    return histories.OpenedTurn("p", turn, claim)


def whole(turn, parent=None, tokens=4):
    """Return a record of a whole turn."""
    return histories.WholeTurn("p", turn, CLAIM, parent, tokens, b"i", b"o")


def ended(turn, tokens):
    """Return a record of a turn that ended."""
    return histories.EndedTurn("p", turn, CLAIM, tokens)


class BudgetTest(unittest.TestCase):
    """What a turn is charged with, and which one is refused."""

    def setUp(self):
        self.program = histories.Program("p")

    def test_open_turns_are_charged_with_their_ceiling(self):
        self.program.open(opened("a"))
        self.program.open(opened("b"))
        self.assertEqual(20, self.program.charged)

    def test_a_turn_that_does_not_fit_is_refused(self):
        self.program.open(opened("a"))
        self.program.open(opened("b"))
        state = self.program.open(opened("c"))
        self.assertIs(histories.TurnState.REFUSED, state)

    def test_a_whole_turn_is_charged_with_what_it_generated(self):
        self.program.open(opened("a"))
        self.program.complete(whole("a"))
        self.assertEqual(4, self.program.charged)

    def test_tokens_of_a_broken_off_turn_stay_charged(self):
        self.program.open(opened("a"))
        self.program.end(ended("a", 8))
        self.assertEqual(8, self.program.charged)

    def test_a_record_that_stands_twice_is_charged_once(self):
        self.program.open(opened("a"))
        self.program.open(opened("a"))
        self.assertEqual(10, self.program.charged)

    def test_a_late_record_does_not_reopen_an_ended_turn(self):
        self.program.end(ended("a", 0))
        state = self.program.open(opened("a"))
        self.assertIs(histories.TurnState.ENDED, state)
        self.assertEqual(0, self.program.charged)

    def test_a_refused_turn_stays_refused(self):
        self.program.open(opened("a", ceiling=30))
        state = self.program.open(opened("a", ceiling=30))
        self.assertIs(histories.TurnState.REFUSED, state)

    def test_no_budget_means_no_bound(self):
        state = self.program.open(opened("a", ceiling=10**9, budget=None))
        self.assertIs(histories.TurnState.OPEN, state)


class HistoryTest(unittest.TestCase):
    """Which turns are a part of the history."""

    def setUp(self):
        self.program = histories.Program("p")

    def test_an_open_turn_is_no_part_of_the_history(self):
        self.program.open(opened("a"))
        self.assertIsNone(self.program.whole_turn("a"))

    def test_a_whole_turn_is(self):
        self.program.complete(whole("a"))
        self.assertEqual(b"o", self.program.whole_turn("a").output)

    def test_a_whole_turn_is_not_ended_afterwards(self):
        self.program.complete(whole("a"))
        self.program.end(ended("a", 0))
        self.assertIsNotNone(self.program.whole_turn("a"))


class RecordTest(unittest.TestCase):
    """Records come from outside: wrong ones are refused."""

    def test_each_kind_survives(self):
        for record in (
            opened("a"),
            whole("a", ("q", "b")),
            ended("a", 1),
            histories.TurnLocation("a", "p"),
        ):
            data = histories.encode_record(record)
            again = histories.decode_record(data)
            self.assertEqual(
                histories.encode_record(again), data, type(record)
            )

    def test_wrong_bytes_are_refused(self):
        for data in (b"", b"\xff", b"\x81\x63abc", b"\x80", b"\x01"):
            with self.assertRaises(histories.MalformedRecord):
                histories.decode_record(data)

    def test_fields_of_the_wrong_type_are_refused(self):
        record = ended("a", "many")
        with self.assertRaises(histories.MalformedRecord):
            histories.decode_record(histories.encode_record(record))
