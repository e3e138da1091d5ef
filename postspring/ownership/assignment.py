"""Assignment of slots to VMs by rendezvous hashing over the live VMs.

The plan only decides when a VM *tries* to claim or hand over a slot.  The
order of records in the log decides which VM owns it.
"""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

import xxhash

from postspring.ownership import fold

__all__ = ["SlotPlan", "plan_slots", "preferred_owner"]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotPlan:
    """Slots that one VM should claim now, and those to hand over to others."""

    claim: tuple[int, ...]
    hand_over: Mapping[int, str]


def preferred_owner(slot: int, vms: Collection[str]) -> str | None:
    """Return the VM with the highest rendezvous weight for the slot.

    Examples
    --------
    >>> preferred_owner(3, ["vm-a", "vm-b"]) in ("vm-a", "vm-b")
    True
    >>> preferred_owner(3, []) is None
    True
    """
    return max(
        vms,
        key=lambda vm: (xxhash.xxh3_64_intdigest(f"{slot}/{vm}".encode()), vm),
        default=None,
    )


def plan_slots(
    stream: fold.StreamFold, vm: str, incarnation: str, alive: Collection[str]
) -> SlotPlan:
    """Return which slots this VM should claim and which to hand over.

    Parameters
    ----------
    stream : StreamFold
        State of the slots, as folded from the log.
    vm, incarnation
        This VM's name, and the id of this start of its process.
    alive : collection of VM ids
        VMs of this data centre that are neither leaving nor silent.  This
        VM is one of them unless it is leaving.
    """
    claim = []
    hand_over = {}
    for slot in stream.slot_by_number.values():
        if not slot.established:
            continue
        preferred = preferred_owner(slot.number, alive)
        owned_here = slot.owned_by(incarnation)
        vacant = slot.released or slot.owner not in alive
        restarted = slot.owner == vm and not owned_here
        if owned_here and preferred not in (vm, None):
            hand_over[slot.number] = preferred
        elif preferred == vm and not owned_here and (vacant or restarted):
            claim.append(slot.number)
    return SlotPlan(tuple(claim), hand_over)
