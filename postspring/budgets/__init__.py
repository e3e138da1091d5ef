"""Budgets: what a program and its sub-agents may spend."""

from postspring.budgets.ledger import Account
from postspring.budgets.ledger import MicroUnits

__all__ = ["Account", "MicroUnits"]
