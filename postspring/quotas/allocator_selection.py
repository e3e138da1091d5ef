"""Selects the quota allocators of a workspace among the VMs."""

from collections.abc import Iterable
from typing import Protocol
from typing import TypeVar

import xxhash

__all__ = ["allocators_of"]

# The first allocates permits; the others replace it, in this order.
MAX_ALLOCATORS = 3


class _Vm(Protocol):
    name: str
    data_center: str


Vm = TypeVar("Vm", bound=_Vm)


def allocators_of(
    workspace: str, vms: Iterable[Vm], data_center: str
) -> list[Vm]:
    """Return a workspace's quota allocators in a data centre, first to last.

    All VMs compute the same result from the same list.  By rendezvous
    hashing, a VM that joins or leaves changes the first allocator of few
    workspaces.
    """
    candidates = [vm for vm in vms if vm.data_center == data_center]
    candidates.sort(
        key=lambda vm: xxhash.xxh3_64_intdigest(
            f"{workspace}\n{vm.name}".encode()
        )
    )
    return candidates[:MAX_ALLOCATORS]
