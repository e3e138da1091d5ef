"""Which VMs of a data centre deal a workspace's limit out."""

from collections.abc import Iterable
from typing import Protocol
from typing import TypeVar

import xxhash

__all__ = ["dealers_of"]

# The first deals; the others stand in for it, in this order.
DEALERS = 3


class _Vm(Protocol):
    name: str
    data_center: str


Vm = TypeVar("Vm", bound=_Vm)


def dealers_of(workspace: str, vms: Iterable[Vm], place: str) -> list[Vm]:
    """Return the VMs that may deal, first to last; all VMs find the same.

    Rendezvous hashing: a VM that comes or goes changes the first of few
    workspaces.
    """
    here = [vm for vm in vms if vm.data_center == place]
    here.sort(
        key=lambda vm: xxhash.xxh3_64_intdigest(
            f"{workspace}\n{vm.name}".encode()
        )
    )
    return here[:DEALERS]
