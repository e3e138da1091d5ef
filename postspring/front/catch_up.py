"""The rate at which a VM catches up on appends after an outage."""

from postspring import peering

__all__ = ["catch_up_rate"]

# Share of the store's append rate that may be used to catch up after an
# outage; the rest is left for new turns.
CATCH_UP_SHARE = 0.5


def catch_up_rate(
    store_writes: float, members: peering.Members, isolation: peering.Isolation
) -> float:
    """Return this VM's part of the store's catch-up rate in appends/s.

    After a network partition only the VMs of the isolated data centre have
    appends to catch up on, so only they share the rate.  When all VMs shared
    it, 1.9 s were too short to catch up.

    Parameters
    ----------
    store_writes : float
        Appends that the store accepts a second, of all VMs.
    """
    vm_count = members.vm_count
    if isolation.is_or_was_isolated:
        vm_count = members.local_vm_count
    return CATCH_UP_SHARE * store_writes / vm_count
