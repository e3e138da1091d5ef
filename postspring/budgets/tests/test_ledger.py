"""Budget accounts of programs and sub-agents."""

import unittest

import hypothesis
from hypothesis import strategies

from postspring import budgets


class AccountTest(unittest.TestCase):
    """Reserves and settles amounts in accounts with a parent."""

    def test_many_sub_agents_share_the_root_limit(self):
        root = budgets.Account(100)
        agents = [budgets.Account(None, root) for _ in range(30)]
        granted = sum(agent.reserve(7) for agent in agents)
        self.assertEqual(14, granted)
        self.assertEqual(98, root.reserved)

    def test_sub_agent_has_its_own_limit(self):
        root = budgets.Account(100)
        agent = budgets.Account(10, root)
        self.assertFalse(agent.reserve(11))
        self.assertEqual(0, root.reserved)

    def test_a_cost_beyond_the_reservation_is_capped(self):
        account = budgets.Account(10)
        account.reserve(10)
        account.settle(reserved=10, cost=99)
        self.assertEqual(10, account.spent)

    def test_negative_amounts_are_refused(self):
        with self.assertRaises(ValueError):
            budgets.Account(10).reserve(-1)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2),
                strategies.integers(0, 60),
                strategies.integers(0, 90),
            )
        )
    )
    def test_spent_and_reserved_never_exceed_the_limit(self, steps):
        root = budgets.Account(100)
        agents = [
            budgets.Account(None, root),
            budgets.Account(50, root),
            root,
        ]
        for index, amount, cost in steps:
            if agents[index].reserve(amount):
                self.assertLessEqual(root.spent + root.reserved, 100)
                agents[index].settle(reserved=amount, cost=cost)
            self.assertLessEqual(root.spent, 100)
            self.assertLessEqual(agents[1].spent, 50)
