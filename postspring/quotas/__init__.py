"""Quotas: limits of workspaces, allocated by a VM of each data centre."""

from postspring.quotas.allocator import PermitDecision
from postspring.quotas.allocator import PermitState
from postspring.quotas.allocator import PermitUse
from postspring.quotas.allocator import QuotaAllocator
from postspring.quotas.allocator_selection import allocators_of
from postspring.quotas.granted import GrantedPermits
from postspring.quotas.window import SlidingWindow

__all__ = [
    "GrantedPermits",
    "PermitDecision",
    "PermitState",
    "PermitUse",
    "QuotaAllocator",
    "SlidingWindow",
    "allocators_of",
]
