"""Tokens of a program's budget that a VM may spend without the log."""

import unittest

from postspring import histories

OFFLINE = histories.Origin.OFFLINE
RESERVE = histories.Origin.RESERVE


class AccountsCase(unittest.TestCase):
    """A program of whose budget a VM has reserved 30 tokens."""

    def setUp(self):
        self.accounts = histories.LocalAccounts("vm")
        self.program = histories.Program("p")
        claim = histories.Claim("vm", 0, 100, granted=30)
        self.program.end(histories.EndedTurn("p", "r", claim, 0))
        self.accounts.note_granted("p", 30, reserve_fits=True)

    def admit(self, turn, ceiling=10, budget=100, is_log_unavailable=False):
        """Request the right to run a turn."""
        return self.accounts.admit(
            self.program, turn, ceiling, budget, is_log_unavailable
        )


class ReserveTest(AccountsCase):
    """Turns that are charged to a reserve in the log."""

    def test_running_turns_use_the_reserve(self):
        origins = [self.admit(turn).origin for turn in "abc"]
        self.assertEqual([RESERVE] * 3, origins)
        self.assertIsNone(self.admit("d"))

    def test_an_ended_turn_uses_what_it_spent(self):
        ticket = self.admit("a", ceiling=30)
        self.accounts.note_spent(ticket, 5)
        self.assertIsNotNone(self.admit("b", ceiling=25))

    def test_a_settled_turn_reduces_the_reserve(self):
        ticket = self.admit("a", ceiling=30)
        self.accounts.note_spent(ticket, 5)
        self.accounts.note_settled(ticket, 5)
        self.assertIsNone(self.admit("b", ceiling=26))
        self.assertIsNotNone(self.admit("c", ceiling=25))

    def test_a_released_reserve_is_not_used(self):
        self.assertEqual(30, self.accounts.release_idle(self.program))
        self.assertIsNone(self.admit("a"))

    def test_the_tokens_of_running_turns_are_not_released(self):
        self.admit("a", ceiling=20)
        self.assertEqual(10, self.accounts.release_idle(self.program))

    def test_unfit_tokens_are_released_and_not_used(self):
        self.accounts.note_granted("p", 15, reserve_fits=False)
        self.assertIsNone(self.admit("a", ceiling=31))
        self.assertEqual(45, self.accounts.release_idle(self.program))
        self.assertEqual(0, self.accounts.release_idle(self.program))

    def test_tokens_charged_by_the_fold_alone_are_not_used(self):
        claim = histories.Claim("vm", 10, 100, granted=50)
        self.program.open(histories.OpenedTurn("p", "x", claim))
        self.assertIsNone(self.admit("a", ceiling=31))

    def test_tokens_no_longer_charged_here_are_not_used(self):
        # This VM reports what it charges; other VMs spend the rest offline.
        self.program = histories.Program("p")
        self.assertIsNone(self.admit("a"))

    def test_the_number_of_reserves_is_bounded(self):
        limit = histories.accounts.MAX_RESERVES
        for number in range(limit):
            self.accounts.note_granted(f"q{number}", 30, reserve_fits=True)
        self.assertIsNone(self.admit("a"))

    def test_without_a_budget_every_turn_may_run(self):
        self.assertIsNotNone(self.admit("a", ceiling=10**6, budget=None))


class OfflineAccountTest(AccountsCase):
    """Programs that continue here while the log is unavailable."""

    def setUp(self):
        super().setUp()
        self.program = histories.Program("p")

    def test_it_is_used_only_while_the_log_is_unavailable(self):
        self.accounts.open_offline_account("p", 100, is_certain=True)
        self.assertIsNone(self.admit("a"))
        self.assertIs(OFFLINE, self.admit("a", is_log_unavailable=True).origin)

    def test_tokens_charged_in_the_log_are_subtracted(self):
        self.accounts.open_offline_account("p", 100, is_certain=True)
        self.program.charged = 95
        self.assertIsNone(self.admit("a", is_log_unavailable=True))

    def test_an_uncertain_account_limits_a_turn(self):
        self.accounts.open_offline_account("p", 10, is_certain=False)
        ticket = self.admit("a", is_log_unavailable=True)
        self.accounts.note_spent(ticket, 4)
        self.assertEqual(6, self.admit("b", is_log_unavailable=True).limit)

    def test_it_starts_no_turn_with_little_left(self):
        self.accounts.open_offline_account("p", 10, is_certain=False)
        self.accounts.note_spent(self.admit("a", is_log_unavailable=True), 6)
        self.assertIsNone(self.admit("b", is_log_unavailable=True))

    def test_its_tokens_include_unsettled_turns(self):
        self.accounts.open_offline_account("p", 100, is_certain=True)
        ticket = self.admit("a", is_log_unavailable=True)
        self.accounts.note_spent(ticket, 4)
        self.assertEqual(100, self.accounts.offline_tokens("p"))
        self.accounts.note_settled(ticket, 4)
        self.assertEqual(96, self.accounts.offline_tokens("p"))

    def test_it_is_closed_when_all_its_turns_are_settled(self):
        self.accounts.open_offline_account("p", 100, is_certain=True)
        ticket = self.admit("a", is_log_unavailable=True)
        self.accounts.close_offline_account("p")
        self.assertTrue(self.accounts.has_offline_account("p"))
        self.accounts.note_settled(ticket, 4)
        self.accounts.close_offline_account("p")
        self.assertFalse(self.accounts.has_offline_account("p"))


class FoldedReserveTest(unittest.TestCase):
    """Reserves in the fold, of VMs that read all records before an append."""

    def setUp(self):
        self.fold = histories.ProgramFold()
        self.program = self.fold.program("p")
        self.claims_by_author = {
            author: histories.claims.ClaimWriter(
                histories.LocalAccounts(author)
            )
            for author in ("one", "two", "three")
        }

    def open(self, turn, author, budget=330, ceiling=10):
        """Fold a record that opens a turn; withdraw it if it may not run."""
        ticket = histories.Ticket(
            "p", turn, ceiling, budget, histories.Origin.LOG
        )
        claims = self.claims_by_author[author]
        record = claims.opening_record(self.program, ticket)
        self.program.open(record)
        state, ticket = claims.note_opened(self.fold, record, ticket)
        if state is not histories.TurnState.OPEN:
            self.program.end(claims.withdrawal_record(record))
        return state

    def complete(self, turn, author, tokens, from_reserve):
        """Fold the record of a completed turn."""
        claim = histories.Claim(author, 10, 330, 0, from_reserve)
        self.program.complete(
            histories.CompletedTurn("p", turn, claim, None, tokens, b"", b"")
        )

    def test_at_most_an_eighth_of_the_rest(self):
        # Dead VMs kept most of a budget reserved, and their programs were
        # refused for good.
        self.open("a", "one")
        self.assertEqual({"one": 40}, self.program.reserve_by_author)
        self.open("b", "two")
        self.assertEqual(33, self.program.reserve_by_author["two"])

    def test_nothing_is_reserved_of_a_small_budget(self):
        self.open("a", "one", budget=80)
        self.assertEqual(0, self.program.reserved)

    def test_two_turns_stay_free(self):
        self.open("a", "one", budget=30)
        self.assertEqual(0, self.program.reserved)

    def test_a_turn_from_the_reserve_reduces_it(self):
        self.open("a", "one")
        self.complete("b", "one", 7, from_reserve=True)
        self.assertEqual(33, self.program.reserve_by_author["one"])
        self.assertEqual(17, self.program.charged)

    def test_a_duplicate_record_reduces_the_reserve_once(self):
        self.open("a", "one")
        self.complete("b", "one", 7, from_reserve=True)
        self.complete("b", "one", 7, from_reserve=True)
        self.assertEqual(33, self.program.reserve_by_author["one"])

    def test_reserves_of_other_vms_defer_a_turn(self):
        self.open("a", "one")
        state = self.open("b", "two", ceiling=300)
        self.assertIs(histories.TurnState.DEFERRED, state)
        state = self.open("c", "two", ceiling=325)
        self.assertIs(histories.TurnState.REFUSED, state)

    def test_the_budget_is_never_exceeded(self):
        for number in range(30):
            author = ("one", "two", "three")[number % 3]
            self.open(f"t{number}", author, ceiling=40)
            total = self.program.charged + self.program.reserved
            self.assertLessEqual(total, 330)
