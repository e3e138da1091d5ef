"""Quotas: limits of workspaces, allocated by a VM of each data centre."""

from postspring.quotas.dealer import Deal
from postspring.quotas.dealer import Dealer
from postspring.quotas.dealer import DealState
from postspring.quotas.dealer import Use
from postspring.quotas.granted import GrantedPermits
from postspring.quotas.order import dealers_of
from postspring.quotas.window import SlidingWindow

__all__ = [
    "Deal",
    "DealState",
    "Dealer",
    "GrantedPermits",
    "SlidingWindow",
    "Use",
    "dealers_of",
]
