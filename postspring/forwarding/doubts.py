"""Why a VM can't be certain that there is no such turn."""

import enum

__all__ = ["Doubt"]


class Doubt(enum.Enum):
    """A premise of "there is no such turn" that does not hold.

    Explanation
    ===========

    A turn that was answered whole stands in the log, or is kept by VMs until
    it does.  So the claim needs a list of VMs that is newer than the
    question, an answer from every VM that may be alive, and none among them
    that has forgotten what it kept; and the log has to be read after that.

    ``ABSENT``: a VM dropped off the list without having left; it may be cut
    off and serve callers behind the cut.  ``RESTARTED``: a VM was started
    after the turn may have ended.
    """

    UNHEARD = "vm_unheard"
    ABSENT = "vm_absent"
    RESTARTED = "vm_restarted"
    STARTED_LATELY = "started_lately"
    OLD_LIST = "old_list_of_vms"
