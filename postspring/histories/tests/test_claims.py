"""Claims in this VM's records, and the decisions on them."""

import unittest

from postspring import histories

OPEN = histories.TurnState.OPEN
BUDGET = 330


class ClaimsTest(unittest.TestCase):
    """Records of one VM, with another VM's records in between."""

    def setUp(self):
        self.accounts = histories.LocalAccounts("vm")
        self.claims = histories.claims.ClaimWriter(self.accounts)
        self.fold = histories.ProgramFold()
        self.program = self.fold.program("p")
        self.ticket = histories.Ticket(
            "p", "a", 10, BUDGET, histories.Origin.LOG
        )

    def reserve_elsewhere(self, tokens):
        """Fold another VM's record that reserves tokens."""
        claim = histories.Claim("other", 0, BUDGET, granted=tokens)
        self.program.end(histories.EndedTurn("p", "o", claim, 0))

    def open(self):
        """Fold the record that opens the turn; return state and ticket."""
        record = self.claims.opening_record(self.program, self.ticket)
        self.program.open(record)
        return self.claims.note_opened(self.fold, record, self.ticket)

    def can_run(self, tokens):
        """Return whether this VM's reserve has so many tokens."""
        return self.accounts.can_admit(self.program, tokens, False)

    def settle(self, ticket, between=0):
        """Fold the record of a turn's end, behind another VM's record."""
        claim = self.claims.settlement_claim(self.program, ticket, 4)
        self.accounts.note_spent(ticket, 4)
        if between:
            self.reserve_elsewhere(between)
        record = histories.EndedTurn("p", ticket.turn, claim, 4)
        self.program.end(record)
        self.claims.note_settled(self.fold, record, ticket)
        return claim

    def test_a_reserve_that_fits_may_be_used(self):
        state, ticket = self.open()
        self.assertEqual((OPEN, 40), (state, ticket.granted))
        self.assertTrue(self.can_run(40))
        self.assertFalse(self.can_run(41))

    def test_a_reserve_in_flight_may_not_be_used(self):
        self.claims.opening_record(self.program, self.ticket)
        self.assertFalse(self.can_run(1))

    def test_two_records_in_flight_reserve_no_more_than_one(self):
        self.claims.opening_record(self.program, self.ticket)
        second = self.claims.opening_record(self.program, self.ticket)
        self.assertEqual(0, second.claim.granted)

    def test_an_unfit_reserve_of_the_opening_is_not_used(self):
        record = self.claims.opening_record(self.program, self.ticket)
        self.reserve_elsewhere(300)
        self.program.open(record)
        state, ticket = self.claims.note_opened(self.fold, record, self.ticket)
        self.assertEqual((OPEN, 0), (state, ticket.granted))
        self.assertFalse(self.can_run(1))
        self.settle(ticket)
        self.assertNotIn("vm", self.program.reserve_by_author)

    def test_an_unfit_reserve_of_the_end_is_released(self):
        self.reserve_elsewhere(250)
        state, ticket = self.open()
        self.assertEqual((OPEN, 0), (state, ticket.granted))
        self.program = self.fold.program("p")
        claim = histories.Claim("other", 0, BUDGET, returned=250)
        self.program.end(histories.EndedTurn("p", "r", claim, 0))
        claim = self.settle(ticket, between=300)
        self.assertEqual(40, claim.granted)
        self.assertFalse(self.can_run(1))
        record = self.claims.opening_record(self.program, self.ticket)
        self.assertEqual(40, record.claim.returned)

    def test_an_opening_that_does_not_run_releases_nevertheless(self):
        self.open()
        ticket = histories.Ticket("p", "b", 300, BUDGET, histories.Origin.LOG)
        record = self.claims.opening_record(self.program, ticket)
        self.assertEqual(40, record.claim.returned)
        self.program.end(self.claims.note_failed(record))
        self.assertEqual(0, self.program.reserved)
        self.program.open(record)
        self.assertEqual(
            (10, 0), (self.program.charged, self.program.reserved)
        )
        self.assertFalse(self.can_run(1))

    def test_a_turn_from_the_reserve_reduces_it(self):
        self.open()
        ticket = self.accounts.admit(self.program, "b", 10, BUDGET, False)
        claim = self.settle(ticket)
        self.assertTrue(claim.from_reserve)
        self.assertEqual(4, claim.granted)
        self.assertTrue(self.can_run(40))
        self.assertFalse(self.can_run(41))

    def test_no_budget_needs_no_reserve(self):
        ticket = self.accounts.admit(self.program, "b", 10, None, False)
        claim = self.claims.settlement_claim(self.program, ticket, 4)
        self.assertEqual((False, 0), (claim.from_reserve, claim.granted))
