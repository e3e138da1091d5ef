"""Peering: the messages that entry VMs exchange, and what they serve.

VMs send each other CBOR over HTTP, on connections that are opened on demand: a
VM sends no heartbeats to other VMs and has no permanent links to them, however
many there are.  The HTTP client and server exist anyway for callers and
upstreams; websockets with their own message types would cost each VM another
12 MB of memory.

While a VM can't reach the log, it calls the log through another VM
(:class:`FailoverLog`), stores replicas of its records at other VMs, or runs a
program *offline*: it charges the program's turns to an account of its own and
records them when the log is back.
"""

from postspring.peering.crash_exchange import CrashExchange
from postspring.peering.cut_detection import cut_detection_by_name
from postspring.peering.cut_detection import CutDetection
from postspring.peering.failover import FailoverLog
from postspring.peering.isolation import Isolation
from postspring.peering.loads import collector_of
from postspring.peering.loads import LoadExchange
from postspring.peering.members import Member
from postspring.peering.members import Members
from postspring.peering.messages import STORE_PREFIX
from postspring.peering.peer_client import PeerClient
from postspring.peering.permits import Permits
from postspring.peering.program_leases import ProgramLeases
from postspring.peering.rate_limiter import messages_per_second
from postspring.peering.service import PeerService

__all__ = [
    "CrashExchange",
    "CutDetection",
    "FailoverLog",
    "Isolation",
    "LoadExchange",
    "Member",
    "Members",
    "PeerClient",
    "PeerService",
    "Permits",
    "ProgramLeases",
    "STORE_PREFIX",
    "collector_of",
    "cut_detection_by_name",
    "messages_per_second",
]
