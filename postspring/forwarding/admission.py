"""Whose a call is, and whether that may be told at all.

A call is admitted before anything is charged, asked of other VMs or sent.
"""

from collections.abc import Callable
import math

from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring import routing
from postspring import transport
from postspring import workspaces

__all__ = ["Admission"]

# Of the time in which a key that was taken away has to be without effect:
# calls are admitted by what the log confirmed within this share of it.  The
# rest is for clocks that run at different speeds.
ADMISSION_SHARE = 0.9


class Admission:
    """Finds the workspace of a call by its key.

    Explanation
    ===========

    A key that was taken away may let nothing run that is sent later than a
    bound after that.  A VM that admits a call knows a configuration which
    the log confirmed at some moment: a key in it was taken away after that
    moment or not at all.  The call was sent before it is admitted.  So if
    the confirmation is younger than the bound, the call was sent within the
    bound of the removal, whatever becomes of the VM or the call afterwards.

    Parameters
    ==========

    confirmed_age : callable
        Returns the seconds since when the log has confirmed what this VM
        knows of the configuration; without end if it never has.
    key_removal : float or None
        The bound in seconds, if it holds also without the log.
    """

    def __init__(
        self,
        wire: ports.WireFormat,
        peers: ports.Peers,
        confirmed_age: Callable[[], float] = lambda: 0.0,
        key_removal: float | None = None,
    ):
        self._wire = wire
        self._peers = peers
        self._confirmed_age = confirmed_age
        self._longest_age = math.inf
        if key_removal is not None:
            self._longest_age = key_removal * ADMISSION_SHARE

    @property
    def is_confirmed(self) -> bool:
        """Whether keys may be believed just now."""
        return self._confirmed_age() < self._longest_age

    def find(
        self,
        call: transport.IncomingCall,
        route: routing.Route,
        known: workspaces.WorkspaceDirectory,
    ) -> workspaces.Workspace | refusals.Refusal | None:
        """Return the workspace of a call, or why that can't be told.

        None is a caller who needs no key and shows none that counts.
        """
        if self._peers.is_relayed(call.header):
            # Admitted by the VM that took the request, at that moment.
            name = self._wire.decode_workspace(call.header)
            if not name and route.is_public:
                return None
            found = known.by_name.get(workspaces.WorkspaceName(name))
            return found or refusals.Refusal.WORKSPACE_UNKNOWN
        if not route.is_public and not self.is_confirmed:
            return refusals.Refusal.KEYS_UNCONFIRMED
        key = self._wire.decode_key(call.fields)
        found = known.holder_of(key) if self.is_confirmed else None
        if found is not None or route.is_public:
            return found
        if not key and call.header(ports.RELAYED_NAME):
            # Passed on to a process that had this address before.
            return refusals.Refusal.WORKSPACE_UNKNOWN
        return refusals.Refusal.UNKNOWN_KEY
