"""Whether this VM may say that there is no such thing.

An answer such as "no such route" ends the caller's work, so it may only be
given by who can know.  Everything that makes a VM unsure is a reason here.
"""

import dataclasses
import enum
import math

__all__ = ["Certainty", "Doubt", "doubts_of", "told_age"]


class Doubt(enum.Enum):
    """Why this VM can't be certain that what it knows is all there is.

    Explanation
    ===========

    Of the configuration: the newest is in the log, and other VMs' views are
    of any age.  Of turns: one that was answered whole stands in the log, or
    is kept by VMs until it does.  So the claim needs a list of VMs that is
    newer than the question, an answer from every VM that may be alive, and
    none among them that has forgotten what it kept; the log has to be read
    after that.
    """

    # The log has answered nothing yet.
    LOG_UNHEARD = "log_unheard"
    # What was acknowledged a whole bound ago may be missing here.
    OLD = "old"
    # The newest record is known, but could not be read.
    UNREADABLE = "unreadable"
    # The log did not answer after the VMs had been asked.
    LOG_UNREAD = "log_unread"
    # A VM did not answer.
    VM_UNHEARD = "vm_unheard"
    # A VM dropped off the list without having left: it may be cut off, and
    # serve callers behind the cut.
    VM_ABSENT = "vm_absent"
    # A VM was started after the turn may have ended; so was this one.
    VM_RESTARTED = "vm_restarted"
    STARTED_LATELY = "started_lately"
    OLD_LIST = "old_list_of_vms"


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


def told_age(age: float) -> float | None:
    """Return an age for logs; JSON has no number without end.

    Examples
    --------
    >>> told_age(1.2345), told_age(float("inf"))
    (1.23, None)
    """
    return round(age, 2) if math.isfinite(age) else None


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
    (<Doubt.LOG_UNHEARD: 'log_unheard'>,)
    """
    doubts = []
    if math.isinf(age):
        doubts.append(Doubt.LOG_UNHEARD)
    elif age > bound:
        doubts.append(Doubt.OLD)
    if not is_readable:
        doubts.append(Doubt.UNREADABLE)
    return tuple(doubts)
