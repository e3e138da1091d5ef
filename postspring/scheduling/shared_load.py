"""Placement by the load that all VMs together put on upstreams.

The pattern that it answers: many VMs before engines that are nearly full.
Each VM sees a small part of an upstream's calls, so the least loaded by its
own calls is chance, and some engines queue while others have room.  What
the others have in flight is told some times a second.
"""

from postspring.scheduling import placement

__all__ = ["SharedAffinity"]

# Of so many candidates, in random order, the one with fewer calls is taken.
# The figures are some hundred ms old: when each VM takes the least loaded of
# all, they take the same one.  Programs on time in the model's burst (four
# seeds): 96% with one, 95% with two, 99% with three, 95% with all 23.
CHOICES = 3
# By how many times its concurrency an upstream may have more calls than
# another one, and keep a line whose prompt it has in memory.  A batch more
# makes a turn wait for about one turn, and a prompt that is read elsewhere
# holds up a whole batch there.  On time in the model: 98% with half of it, 99%
# with this, 99% with twice; in a heavier burst 51% with half, 69% with this.
STAY_BATCHES = 1.0
# The same for an upstream of this data centre: bytes between data centres
# cost, and work that stays inside goes on when it is cut off.
NEAR_BATCHES = 0.25
# What an upstream that is twice as slow as usual counts for, in times its
# concurrency: more than a line is kept for, as the rest would be late.
SLOW_BATCHES = 1.25


@placement.placement_by_name.register("shared_affinity")
class SharedAffinity(placement.Placement):
    """Where the line of turns ran last, else the freest of some.

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
    ...     upstream.note_others(others, now=0.0)
    ...     return upstream
    >>> class Call:
    ...     last_upstream = "b"
    ...     data_center = "here"
    ...     now = 0.0
    >>> full, free = make("b", 15), make("a", 2)
    >>> SharedAffinity().choose(Call, [full, free]).id
    'b'
    >>> full.note_others(17, now=0.0)
    >>> SharedAffinity().choose(Call, [full, free]).id
    'a'
    """

    def choose(self, ticket, candidates):
        """Return the line's last upstream, or the one with the fewest calls.

        While no VM tells what it has, this one's own calls are known
        exactly, and all candidates are compared.
        """
        now = ticket.now
        usual = placement.usual_pace(candidates, now)

        def cost(upstream) -> float:
            excess = placement.excess_pace(upstream, usual, now)
            slowness = SLOW_BATCHES * upstream.concurrency * excess
            return upstream.calls_of_all(now) + slowness

        def far_cost(upstream) -> float:
            is_near = upstream.data_center == ticket.data_center
            margin = 0.0 if is_near else NEAR_BATCHES * upstream.concurrency
            return cost(upstream) + margin

        is_told = any(item.knows_others(now) for item in candidates)
        compared = candidates
        if is_told:
            compared = _sample(candidates, ticket.data_center)
        best = min(compared, key=far_cost)
        for upstream in candidates:
            if upstream.incarnation == ticket.last_upstream:
                room = max(upstream.concurrency, cost(best))
                margin = STAY_BATCHES * upstream.concurrency
                if cost(upstream) <= room + margin:
                    return upstream
        return best


def _sample(candidates, data_center: str) -> list:
    """Return some candidates of this data centre, and some of all."""
    near = [item for item in candidates if item.data_center == data_center]
    return [*near[:CHOICES], *candidates[:CHOICES]]
