"""The services that all turns of a VM share."""

import dataclasses

from postspring.forwarding import ports
from postspring.forwarding import program_admission
from postspring import histories

__all__ = ["OPEN_TIMEOUT_SECONDS", "TurnServices"]

# How long a turn waits for the journal before this VM asks other VMs; above
# the 0.25 s that a slow store takes for two calls.
OPEN_TIMEOUT_SECONDS = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class TurnServices:
    """The services that all turns of a VM share."""

    journal: histories.Journal
    peers: ports.Peers
    admission: program_admission.ProgramAdmission
