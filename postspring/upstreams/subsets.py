"""The subset of a service's upstreams that a VM prefers.

If every VM sends calls to every upstream, the number of connections grows as
VMs times upstreams.  A VM with a subset sends its calls without affinity to
few of them.  Subsets are computed from the names of the VM and the upstreams
by rendezvous hashing, so VMs exchange no messages about them.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import enum
import heapq
import logging
import math
from typing import NamedTuple

import xxhash

from postspring.upstreams import directory as directory_module

__all__ = ["Candidates", "Departure", "Subsets", "choose_subset", "size_of"]

LOG = logging.getLogger(__name__)

# Mean number of VMs whose subset contains an upstream.  With fewer, some
# upstreams are in hardly any subset and get little work while others are full.
# Calls that found all slots in use, in the model of 60 VMs and 300 upstreams
# at 0.9 of their slots: 16.0% with 4, 10.5% with 8, 10.8% with 16, 10.4%
# without subsets (one seed).
VMS_PER_UPSTREAM = 8
# Part of a subset that is of the VM's data centre.  Placement prefers these
# upstreams, because traffic between data centres is charged.  The other half
# remains if those are lost.
NEAR_SHARE = 0.5
# A subset counts as unreachable if less than this part of it is usable.  The
# other upstreams would get the work of the unusable ones as well.
MIN_USABLE_SHARE = 0.5


# Score of an upstream for this VM, and the upstream.
_Scored = tuple[int, directory_module.UpstreamId]


class Departure(enum.Enum):
    """Why a call may leave the subset of its VM."""

    NO_CAPACITY = "no_capacity"
    UNREACHABLE = "unreachable"
    RETRY = "retry"


class Candidates(NamedTuple):
    """The upstreams that a call may be sent to.

    Parameters
    ==========

    upstreams : list of Upstream
        At least one.
    departure : Departure or None
        Why they are not limited to the subset.
    """

    upstreams: list[directory_module.Upstream]
    departure: Departure | None = None


class _CachedSubset(NamedTuple):
    """A subset, and what it was computed from.

    Parameters
    ==========

    revision : int
        Revision of the directory.
    count : int
        Number of upstreams of the service.
    size : int
        Size that was asked for.
    ids : frozenset of UpstreamId
        The subset; empty if it is the whole service.
    """

    revision: int
    count: int
    size: int
    ids: frozenset[directory_module.UpstreamId]


def size_of(minimum: int, upstream_count: int, vm_count: int) -> int:
    """Return the size of each VM's subset of a service.

    With few VMs the subsets have to be larger, or upstreams would be in none.

    Examples
    --------
    >>> [size_of(12, 23, vms) for vms in (6, 30, 60)]
    [23, 12, 12]
    >>> size_of(12, 5400, 970)
    45
    """
    needed = math.ceil(VMS_PER_UPSTREAM * upstream_count / max(1, vm_count))
    return min(upstream_count, max(minimum, needed))


def choose_subset(
    vm: str,
    data_center: str,
    upstreams: Iterable[directory_module.Upstream],
    size: int,
) -> frozenset[directory_module.UpstreamId]:
    """Return the ids of the upstreams that a VM prefers.

    Each upstream has a score for the VM; the highest ones are chosen: one of
    each other data centre, then a share of the VM's own, then any others.  A
    VM or an upstream that joins or leaves changes no other score.

    Parameters
    ----------
    vm : str
        Name of the VM, which is the same after a restart.
    size : int
        Number of upstreams.  The result is larger if there are more data
        centres than the part for other data centres has room for.

    Examples
    --------
    >>> make = directory_module.Upstream
    >>> items = [
    ...     make(
    ...         id=f"u{n}",
    ...         service="",
    ...         address=("", 0),
    ...         data_center=f"d{n % 3}",
    ...         concurrency=1,
    ...     )
    ...     for n in range(30)
    ... ]
    >>> found = choose_subset("vm1", "d0", items, 6)
    >>> sorted(item.data_center for item in items if item.id in found)
    ['d0', 'd0', 'd0', 'd1', 'd1', 'd2']
    """
    seed = xxhash.xxh64_intdigest(vm.encode())
    near: list[_Scored] = []
    far: list[_Scored] = []
    best_by_data_center: dict[str, _Scored] = {}
    for item in upstreams:
        score = xxhash.xxh64_intdigest(item.id.encode(), seed)
        scored = (score, item.id)
        if item.data_center == data_center:
            near.append(scored)
            continue
        far.append(scored)
        best = best_by_data_center.get(item.data_center, scored)
        best_by_data_center[item.data_center] = max(best, scored)
    near_size = math.ceil(NEAR_SHARE * size)
    far_size = size - min(near_size, len(near))
    near_size = size - min(far_size, len(far))
    chosen = {best_id for _, best_id in best_by_data_center.values()}
    chosen.update(near_id for _, near_id in heapq.nlargest(near_size, near))
    for _, far_id in heapq.nlargest(size, far):
        if len(chosen) >= size:
            break
        chosen.add(far_id)
    return frozenset(chosen)


class Subsets:
    """The subsets of one VM, by service.

    Parameters
    ==========

    directory : Directory
        The upstreams.
    vm, data_center : str
        Names of the VM and of its data centre.
    size : int
        Smallest size of a subset; a service that has no more upstreams is
        used as a whole.
    vm_count : callable
        Returns the number of VMs.
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        vm: str,
        data_center: str,
        size: int,
        vm_count: Callable[[], int],
    ):
        self._directory = directory
        self._vm = vm
        self._data_center = data_center
        self._size = size
        self._vm_count = vm_count
        self._cached_by_service: dict[str, _CachedSubset] = {}

    def ids(self, service: str) -> frozenset[directory_module.UpstreamId]:
        """Return the subset of a service; empty if it is the whole service."""
        revision, vms = self._directory.revision, self._vm_count()
        cached = self._cached_by_service.get(service)
        if (
            cached is not None
            and cached.revision == revision
            and cached.size == size_of(self._size, cached.count, vms)
        ):
            return cached.ids
        eligible = self._directory.eligible(service)
        count = len(eligible)
        size = size_of(self._size, count, vms)
        found = frozenset()
        if size < count:
            found = choose_subset(self._vm, self._data_center, eligible, size)
        if len(found) == count:
            found = frozenset()
        self._cached_by_service[service] = _CachedSubset(
            revision, count, size, found
        )
        before = frozenset() if cached is None else cached.ids
        if found != before:
            LOG.info(
                "upstream subset changed",
                extra={
                    "service": service,
                    "size": len(found),
                    "of": count,
                    "joined": len(found - before),
                    "left": len(before - found),
                },
            )
        return found

    def limit(
        self,
        service: str,
        candidates: list[directory_module.Upstream],
        preferred: str,
        tried: Collection[str],
        now: float,
    ) -> Candidates:
        """Return the candidates in the subset, or all if it can't serve.

        Parameters
        ----------
        candidates : list of Upstream
            At least one.
        preferred : str
            Incarnation that the call has affinity to; it is a candidate
            whether it is in the subset or not.
        tried : collection of str
            Incarnations that the call was sent to.  After a failure in the
            subset, upstreams outside of it come first: the whole subset may
            have failed, and the call has few attempts.
        now : float
            Monotonic time in seconds.
        """
        subset = self.ids(service)
        if not subset:
            return Candidates(candidates)
        if any(item in tried for item in self._incarnations(subset)):
            outside = [item for item in candidates if item.id not in subset]
            return Candidates(outside or candidates, Departure.RETRY)
        usable = [
            item
            for item in candidates
            if item.id in subset and item.accepts(now)
        ]
        if len(usable) < MIN_USABLE_SHARE * len(subset):
            return Candidates(candidates, Departure.UNREACHABLE)
        if all(item.total_calls(now) >= item.concurrency for item in usable):
            return Candidates(candidates, Departure.NO_CAPACITY)
        others = [
            item
            for item in candidates
            if item.incarnation == preferred and item.id not in subset
        ]
        return Candidates(usable + others)

    def _incarnations(
        self, subset: frozenset[directory_module.UpstreamId]
    ) -> set[directory_module.IncarnationId]:
        by_id = self._directory.by_id
        return {by_id[item].incarnation for item in subset if item in by_id}
