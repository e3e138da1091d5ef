"""Whether this VM can be certain that a route, key or turn does not exist.

An answer such as "no such route" ends the caller's work, so a VM may give
it only if its information is complete.  :class:`Doubt` lists the reasons
why it may not be.
"""

import dataclasses
import enum
import math

__all__ = ["Certainty", "Doubt", "find_doubts", "loggable_age"]


class Doubt(enum.Enum):
    """Reason why this VM's information may be incomplete.

    Explanation
    ===========

    The newest configuration is in the log; the views of other VMs may be of
    any age.  A turn that was answered completely is in the log, or VMs hold
    replicas of it until it is.  So the absence of a turn is certain only
    with a list of VMs that is newer than the request, an answer from every
    VM that may be alive, none of which has lost its replicas by a restart,
    and a read of the log after that.
    """

    # The log has not answered yet.
    LOG_UNHEARD = "log_unheard"
    # A record that the log acknowledged more than the bound ago may be
    # missing here.
    OLD = "old"
    # The newest record was received, but could not be decoded.
    UNREADABLE = "unreadable"
    # The log did not answer after the VMs had been asked.
    LOG_UNREAD = "log_unread"
    # A VM did not answer.
    VM_UNHEARD = "vm_unheard"
    # A VM disappeared from the list without having left: it may be cut off
    # by a partition, and serve callers on its side.
    VM_ABSENT = "vm_absent"
    # A VM was started after the turn may have ended.
    VM_RESTARTED = "vm_restarted"
    # This VM was started after the turn may have ended.
    STARTED_LATELY = "started_lately"
    # The list of VMs was read before the request.
    OLD_LIST = "old_list_of_vms"


@dataclasses.dataclass(frozen=True, slots=True)
class Certainty:
    """How complete this VM's information was at a decision.

    Parameters
    ==========

    age : float
        Seconds since when records may be missing; infinite if the log has
        never answered.
    doubts : tuple of Doubt
        Reasons why the information may be incomplete; empty if a VM may
        answer that something does not exist.
    """

    age: float
    doubts: tuple[Doubt, ...] = ()


def loggable_age(age: float) -> float | None:
    """Return an age for log lines; None if infinite, which JSON lacks.

    Examples
    --------
    >>> loggable_age(1.2345), loggable_age(float("inf"))
    (1.23, None)
    """
    return round(age, 2) if math.isfinite(age) else None


def find_doubts(
    age: float, bound: float, is_readable: bool = True
) -> tuple[Doubt, ...]:
    """Return the reasons why a view may be incomplete.

    Explanation
    ===========

    A record has to be in force ``bound`` seconds after the log acknowledged
    it.  A view that is younger than that contains all such records, as its
    age counts from when the log was asked, or from when a long poll ended
    without a record.  So the bound needs no margin, and a follower whose
    long polls take a share of it (0.7) is certain as long as the log answers
    within the rest.

    Parameters
    ----------
    age : float
        Seconds since when records may be missing here.
    bound : float
        Seconds after which a record has to be in force.
    is_readable : bool
        Whether the newest record could be decoded.

    Examples
    --------
    >>> find_doubts(1.4, bound=2.0)
    ()
    >>> find_doubts(2.1, bound=2.0, is_readable=False)
    (<Doubt.OLD: 'old'>, <Doubt.UNREADABLE: 'unreadable'>)
    >>> find_doubts(float("inf"), bound=2.0)
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
