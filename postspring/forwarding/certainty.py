"""Whether this VM may say that there is no such thing.

An answer such as "no such route" ends the caller's work, so it may only be
given by who can know.  Everything that makes a VM unsure is a reason here.
"""

import dataclasses
import enum
import math

__all__ = ["Certainty", "Doubt", "doubts_of"]


class Doubt(enum.Enum):
    """Why this VM can't be certain that what it knows is all there is."""

    # The log has answered nothing yet; other VMs' views are of any age.
    UNHEARD = "unheard"
    # What was acknowledged a whole bound ago may be missing here.
    OLD = "old"
    # The newest record is known, but could not be read.
    UNREADABLE = "unreadable"


@dataclasses.dataclass(frozen=True, slots=True)
class Certainty:
    """What was known when a question was decided.

    Parameters
    ==========

    age : float
        Seconds since when records may be missing, without end if the log
        has never answered.
    doubts : tuple of Doubt
        Reasons for not being certain; none allow the claim.
    """

    age: float
    doubts: tuple[Doubt, ...] = ()

    @property
    def told_age(self) -> float | None:
        """The age for logs; JSON has no number without end."""
        return round(self.age, 2) if math.isfinite(self.age) else None


def doubts_of(
    age: float, bound: float, is_readable: bool = True
) -> tuple[Doubt, ...]:
    """Return the reasons for not being certain.

    Explanation
    ===========

    A record has to be in force ``bound`` seconds after the log acknowledged
    it.  A view that is younger than that holds all such records, for its
    age counts from when the log was asked or had waited in vain.  So the
    bound needs no margin, and a follower whose reads wait for a share of
    it (0.7) is certain as long as the log answers within the rest.

    Parameters
    ----------
    age : float
        Seconds since when records may be missing here.
    bound : float
        Seconds after which a record has to be in force.
    is_readable : bool
        Whether the newest record could be read.

    Examples
    --------
    >>> doubts_of(1.4, bound=2.0)
    ()
    >>> doubts_of(2.1, bound=2.0, is_readable=False)
    (<Doubt.OLD: 'old'>, <Doubt.UNREADABLE: 'unreadable'>)
    >>> doubts_of(float("inf"), bound=2.0)
    (<Doubt.UNHEARD: 'unheard'>,)
    """
    doubts = []
    if math.isinf(age):
        doubts.append(Doubt.UNHEARD)
    elif age > bound:
        doubts.append(Doubt.OLD)
    if not is_readable:
        doubts.append(Doubt.UNREADABLE)
    return tuple(doubts)
