"""Placement by the load of all VMs on the upstreams.

It is meant for many VMs in front of engines that are nearly full.  Each VM
sends a small part of an upstream's calls, so the least loaded upstream by
its own calls is almost random, and some engines queue calls while others have
room.  VMs exchange their numbers of calls in flight several times a second.
"""

from postspring.scheduling import placement

__all__ = ["SharedAffinity"]

# Size of the random sample of which the least loaded upstream is chosen.  The
# exchanged loads are some hundred ms old: if each VM chose the least loaded of
# all upstreams, all VMs would choose the same one.  Programs on time in the
# model's burst (four seeds): 96% with one, 95% with two, 99% with three, 95%
# with all 23.
SAMPLE_SIZE = 3
# How many more calls than the best upstream the line's last one may have, as a
# multiple of its concurrency.  One more batch delays a turn by about one turn,
# and a prompt that another upstream has to read delays a whole batch there.
# Programs on time in the model: 98% with 0.5, 99% with 1.0, 99% with 2.0; in a
# heavier burst 51% with 0.5, 69% with 1.0.
AFFINITY_MARGIN_BATCHES = 1.0
# The same margin for upstreams of this data centre: traffic between data
# centres is charged, and near calls continue when this data centre is cut off.
NEAR_MARGIN_BATCHES = 0.25
# Load added for an upstream of twice the typical pause, as a multiple of its
# concurrency: above the affinity margin, so that a line leaves the upstream
# before more of its turns are late.
SLOWNESS_PENALTY_BATCHES = 1.25


@placement.placement_by_name.register("shared_affinity")
class SharedAffinity(placement.Placement):
    """The line's last upstream, else the least loaded of a sample.

    Examples
    ========

    >>> from postspring import upstreams
    >>> def make(name, others):
    ...     upstream = upstreams.Upstream(
    ...         id=name,
    ...         service="",
    ...         address=("", 0),
    ...         data_center="here",
    ...         concurrency=8,
    ...     )
    ...     upstream.note_peer_calls(others, now=0.0)
    ...     return upstream
    >>> class Call:
    ...     last_upstream = "b"
    ...     data_center = "here"
    ...     now = 0.0
    >>> full, free = make("b", 15), make("a", 2)
    >>> SharedAffinity().choose(Call, [full, free]).id
    'b'
    >>> full.note_peer_calls(17, now=0.0)
    >>> SharedAffinity().choose(Call, [full, free]).id
    'a'
    """

    def choose(self, call, candidates):
        """Return the line's last upstream, or the least loaded of a sample.

        Without loads of other VMs, this VM's own loads are exact, and all
        candidates are compared.
        """
        now = call.now
        typical = placement.typical_pace(candidates, now)

        def cost(upstream) -> float:
            excess = placement.excess_pace(upstream, typical, now)
            slowness = SLOWNESS_PENALTY_BATCHES * upstream.concurrency * excess
            return upstream.total_calls(now) + slowness

        def far_cost(upstream) -> float:
            is_near = upstream.data_center == call.data_center
            margin = (
                0.0 if is_near else NEAR_MARGIN_BATCHES * upstream.concurrency
            )
            return cost(upstream) + margin

        has_shared_loads = any(
            item.has_recent_peer_calls(now) for item in candidates
        )
        compared = candidates
        if has_shared_loads:
            compared = _sample(candidates, call.data_center)
        best = min(compared, key=far_cost)
        for upstream in candidates:
            if upstream.incarnation == call.last_upstream:
                room = max(upstream.concurrency, cost(best))
                margin = AFFINITY_MARGIN_BATCHES * upstream.concurrency
                if cost(upstream) <= room + margin:
                    return upstream
        return best


def _sample(candidates, data_center: str) -> list:
    """Return a sample of this data centre's and one of all candidates."""
    near = [item for item in candidates if item.data_center == data_center]
    return [*near[:SAMPLE_SIZE], *candidates[:SAMPLE_SIZE]]
