"""A virtual deployment: the daemons' own core in virtual time.

One seeded event queue stands for the clock, the network, the platform,
engines and tools; the entry VMs are :class:`~postspring.entry.core.EntryCore`
itself.
"""

from postspring.testing.virtual.callers import VirtualCaller
from postspring.testing.virtual.invariants import check_invariants
from postspring.testing.virtual.world import World

__all__ = ["VirtualCaller", "World", "check_invariants"]
