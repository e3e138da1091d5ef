"""Quotas: workspaces' limits, dealt out by a VM of each data centre."""

from postspring.quotas.bucket import TokenBucket
from postspring.quotas.dealer import Deal
from postspring.quotas.dealer import Dealer
from postspring.quotas.dealer import DealState
from postspring.quotas.order import dealers_of

__all__ = ["Deal", "DealState", "Dealer", "TokenBucket", "dealers_of"]
