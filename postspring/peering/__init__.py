"""Peering: how entry VMs help each other while the log is away.

VMs speak HTTP with CBOR bodies, on connections that are opened when they
are needed: no heartbeats, and no links to keep at any size.  The client
and the server are those that callers and upstreams need anyway; websockets
with their message types would cost each VM 12 MB more.
"""

from postspring.peering.failover import FailoverLog
from postspring.peering.isolation import Isolation
from postspring.peering.loads import collector_of
from postspring.peering.loads import LoadExchange
from postspring.peering.members import Member
from postspring.peering.members import Members
from postspring.peering.messages import STORE_PREFIX
from postspring.peering.peer_client import PeerClient
from postspring.peering.permits import Permits
from postspring.peering.promises import Promises
from postspring.peering.service import PeerService

__all__ = [
    "FailoverLog",
    "Isolation",
    "LoadExchange",
    "Member",
    "Members",
    "PeerClient",
    "PeerService",
    "Permits",
    "Promises",
    "STORE_PREFIX",
    "collector_of",
]
