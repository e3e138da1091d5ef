"""Which VM should own which slot: rendezvous hashing over live VMs.

This only decides when a VM *tries* to claim or hand over a slot.  Who owns
it is decided by the log.
"""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

import xxhash

from postspring.ownership import fold

__all__ = ["SlotPlan", "plan_slots", "preferred_owner"]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotPlan:
    """What one VM should do now: slots to claim, slots to hand over."""

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
    stream: fold.StreamFold, me: str, incarnation: str, alive: Collection[str]
) -> SlotPlan:
    """Return which slots this VM should claim and which to hand over.

    Parameters
    ----------
    stream : StreamFold
        The slots as the log tells them.
    me, incarnation
        This VM's id and incarnation.
    alive : collection of VM ids
        VMs of this data centre that are neither leaving nor silent,
        this one included unless it is leaving itself.
    """
    claim = []
    hand_over = {}
    for slot in stream.slot_by_number.values():
        if not slot.established:
            continue
        preferred = preferred_owner(slot.number, alive)
        mine = slot.owned_by(incarnation)
        vacant = slot.released or slot.owner not in alive
        restarted = slot.owner == me and not mine
        if mine and preferred not in (me, None):
            hand_over[slot.number] = preferred
        elif preferred == me and not mine and (vacant or restarted):
            claim.append(slot.number)
    return SlotPlan(tuple(claim), hand_over)
