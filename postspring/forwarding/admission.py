"""Authenticates callers: finds the workspace of a call by its API key.

A call is admitted before it is charged, before other VMs are asked about it
and before it is sent to an upstream.
"""

from collections.abc import Callable
import math

from postspring.forwarding import ports
from postspring.forwarding import refusals
from postspring import routing
from postspring import transport
from postspring import workspaces

__all__ = ["Admission"]

# Share of the time within which a revoked key has to lose its effect: a
# configuration that the log confirmed within this share still admits calls.
# The rest allows for clocks that run at different speeds.
ADMISSION_SHARE = 0.9


class Admission:
    """Finds the workspace of a call by its key.

    Explanation
    ===========

    A call that is sent later than a bound after the removal of its key must
    not run.  A VM admits a call by a configuration that the log confirmed
    at some time: a key in this configuration was removed after that time or
    not at all.  The call was sent before its admission.  So if the
    confirmation is younger than the bound, the call was sent within the
    bound after the removal, whatever happens to the VM or the call later.

    Parameters
    ==========

    confirmed_age : callable
        Returns the seconds since the log last confirmed this VM's
        configuration; infinite if it never did.
    key_removal : float or None
        The bound in seconds; None if keys stay valid during an outage of
        the log.
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
        self._max_confirmed_age = math.inf
        if key_removal is not None:
            self._max_confirmed_age = key_removal * ADMISSION_SHARE

    @property
    def is_confirmed(self) -> bool:
        """Whether the configuration is recent enough to check keys."""
        return self._confirmed_age() < self._max_confirmed_age

    def find(
        self,
        call: transport.IncomingCall,
        route: routing.Route,
        directory: workspaces.WorkspaceDirectory,
    ) -> workspaces.Workspace | refusals.Refusal | None:
        """Return the workspace of a call, or the refusal.

        None stands for a caller without a valid key on a public route.
        """
        if self._peers.is_relayed(call.header):
            # The VM that received the request from the caller admitted it.
            name = self._wire.decode_workspace(call.header)
            if not name and route.is_public:
                return None
            found = directory.by_name.get(workspaces.WorkspaceName(name))
            return found or refusals.Refusal.WORKSPACE_UNKNOWN
        if not route.is_public and not self.is_confirmed:
            return refusals.Refusal.KEYS_UNCONFIRMED
        key = self._wire.decode_key(call.fields)
        found = directory.find_by_key(key) if self.is_confirmed else None
        if found is not None or route.is_public:
            return found
        if not key and call.header(ports.RELAYED_NAME):
            # Relayed to a process that had this address before.
            return refusals.Refusal.WORKSPACE_UNKNOWN
        return refusals.Refusal.UNKNOWN_KEY
