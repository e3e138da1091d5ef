"""What a VM may spend of a program's budget without asking the log."""

import unittest

from postspring import histories

HOME = histories.Origin.HOME
RESERVE = histories.Origin.RESERVE


class AccountsCase(unittest.TestCase):
    """One program of which a VM has reserved 30 tokens."""

    def setUp(self):
        self.accounts = histories.LocalAccounts("vm")
        self.program = histories.Program("p")
        claim = histories.Claim("vm", 0, 100, granted=30)
        self.program.end(histories.EndedTurn("p", "r", claim, 0))
        self.accounts.note_granted("p", 30, reserve_fits=True)

    def take(self, turn, ceiling=10, budget=100, away=False):
        """Ask for the right to run a turn."""
        return self.accounts.admit(self.program, turn, ceiling, budget, away)


class ReserveTest(AccountsCase):
    """Turns from what was reserved in the log."""

    def test_turns_under_way_use_it_up(self):
        origins = [self.take(turn).origin for turn in "abc"]
        self.assertEqual([RESERVE] * 3, origins)
        self.assertIsNone(self.take("d"))

    def test_an_ended_turn_uses_what_it_spent(self):
        ticket = self.take("a", ceiling=30)
        self.accounts.note_spent(ticket, 5)
        self.assertIsNotNone(self.take("b", ceiling=25))

    def test_a_settled_turn_is_counted_by_the_log(self):
        ticket = self.take("a", ceiling=30)
        self.accounts.note_spent(ticket, 5)
        self.accounts.note_settled(ticket, 5)
        self.assertIsNone(self.take("b", ceiling=26))
        self.assertIsNotNone(self.take("c", ceiling=25))

    def test_what_is_given_back_is_not_used(self):
        self.assertEqual(30, self.accounts.release_idle(self.program))
        self.assertIsNone(self.take("a"))

    def test_what_turns_under_way_may_use_is_not_given_back(self):
        self.take("a", ceiling=20)
        self.assertEqual(10, self.accounts.release_idle(self.program))

    def test_what_did_not_fit_is_given_back_and_not_used(self):
        self.accounts.note_granted("p", 15, reserve_fits=False)
        self.assertIsNone(self.take("a", ceiling=31))
        self.assertEqual(45, self.accounts.release_idle(self.program))
        self.assertEqual(0, self.accounts.release_idle(self.program))

    def test_what_only_others_name_is_not_used(self):
        claim = histories.Claim("vm", 10, 100, granted=50)
        self.program.open(histories.OpenedTurn("p", "x", claim))
        self.assertIsNone(self.take("a", ceiling=31))

    def test_what_is_not_charged_here_any_more_is_not_used(self):
        # Others are told what this VM charges, and spend the rest at homes.
        self.program = histories.Program("p")
        self.assertIsNone(self.take("a"))

    def test_a_bounded_number_of_programs_is_kept_in_mind(self):
        most = histories.accounts.MAX_RESERVES
        for number in range(most):
            self.accounts.note_granted(f"q{number}", 30, reserve_fits=True)
        self.assertIsNone(self.take("a"))

    def test_no_budget_means_no_bound(self):
        self.assertIsNotNone(self.take("a", ceiling=10**6, budget=None))


class HomeTest(AccountsCase):
    """Programs that go on here while the log is away."""

    def setUp(self):
        super().setUp()
        self.program = histories.Program("p")

    def test_only_while_the_log_is_away(self):
        self.accounts.open_offline_account("p", 100, is_certain=True)
        self.assertIsNone(self.take("a"))
        self.assertIs(HOME, self.take("a", away=True).origin)

    def test_what_the_log_charges_counts(self):
        self.accounts.open_offline_account("p", 100, is_certain=True)
        self.program.charged = 95
        self.assertIsNone(self.take("a", away=True))

    def test_an_uncertain_home_limits_a_turn(self):
        self.accounts.open_offline_account("p", 10, is_certain=False)
        ticket = self.take("a", away=True)
        self.accounts.note_spent(ticket, 4)
        self.assertEqual(6, self.take("b", away=True).limit)

    def test_it_starts_no_turn_with_little_left(self):
        self.accounts.open_offline_account("p", 10, is_certain=False)
        self.accounts.note_spent(self.take("a", away=True), 6)
        self.assertIsNone(self.take("b", away=True))

    def test_others_are_told_of_its_tokens(self):
        self.accounts.open_offline_account("p", 100, is_certain=True)
        ticket = self.take("a", away=True)
        self.accounts.note_spent(ticket, 4)
        self.assertEqual(100, self.accounts.home_tokens("p"))
        self.accounts.note_settled(ticket, 4)
        self.assertEqual(96, self.accounts.home_tokens("p"))

    def test_it_ends_when_all_is_recorded(self):
        self.accounts.open_offline_account("p", 100, is_certain=True)
        ticket = self.take("a", away=True)
        self.accounts.close_offline_account("p")
        self.assertTrue(self.accounts.has_offline_account("p"))
        self.accounts.note_settled(ticket, 4)
        self.accounts.close_offline_account("p")
        self.assertFalse(self.accounts.has_offline_account("p"))


class ReservedInTheLogTest(unittest.TestCase):
    """Reserves in the fold, by VMs that have read all before they append."""

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
        """Fold a record that opens a turn, settle it if it may not run."""
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
        """Fold the record of a whole turn."""
        claim = histories.Claim(author, 10, 330, 0, from_reserve)
        self.program.complete(
            histories.WholeTurn("p", turn, claim, None, tokens, b"", b"")
        )

    def test_at_most_an_eighth_of_the_rest(self):
        # Found on tallgrass scale-2: VMs that had died kept most of a
        # budget reserved, and their programs were refused for good.
        self.open("a", "one")
        self.assertEqual({"one": 40}, self.program.reserve_by_author)
        self.open("b", "two")
        self.assertEqual(33, self.program.reserve_by_author["two"])

    def test_a_small_budget_is_not_reserved(self):
        self.open("a", "one", budget=80)
        self.assertEqual(0, self.program.reserved)

    def test_two_turns_stay_free(self):
        self.open("a", "one", budget=30)
        self.assertEqual(0, self.program.reserved)

    def test_a_turn_from_it_makes_it_smaller(self):
        self.open("a", "one")
        self.complete("b", "one", 7, from_reserve=True)
        self.assertEqual(33, self.program.reserve_by_author["one"])
        self.assertEqual(17, self.program.charged)

    def test_a_record_that_stands_twice_makes_it_smaller_once(self):
        self.open("a", "one")
        self.complete("b", "one", 7, from_reserve=True)
        self.complete("b", "one", 7, from_reserve=True)
        self.assertEqual(33, self.program.reserve_by_author["one"])

    def test_what_others_reserved_defers_and_does_not_refuse(self):
        self.open("a", "one")
        state = self.open("b", "two", ceiling=300)
        self.assertIs(histories.TurnState.DEFERRED, state)
        state = self.open("c", "two", ceiling=325)
        self.assertIs(histories.TurnState.REFUSED, state)

    def test_the_budget_is_never_passed(self):
        for number in range(30):
            author = ("one", "two", "three")[number % 3]
            self.open(f"t{number}", author, ceiling=40)
            total = self.program.charged + self.program.reserved
            self.assertLessEqual(total, 330)
