"""Budgets: limits on the spending of a program and its sub-agents."""

from postspring.budgets.ledger import Account
from postspring.budgets.ledger import MicroUnits

__all__ = ["Account", "MicroUnits"]
