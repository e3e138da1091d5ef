"""Links between postspring's own VMs: CBOR messages on websockets."""

from postspring.peers.hub import PeerHub
from postspring.peers.messages import AppendRecords
from postspring.peers.messages import ConfigurationOffer
from postspring.peers.messages import ConfigurationRequest
from postspring.peers.messages import GatherRows
from postspring.peers.messages import Heartbeat
from postspring.peers.messages import LogFailed
from postspring.peers.messages import peer_messages
from postspring.peers.messages import ReadRecords
from postspring.peers.messages import RecordsAppended
from postspring.peers.messages import RecordsRead
from postspring.peers.messages import ReplicateTurns
from postspring.peers.messages import RowsGathered
from postspring.peers.messages import StopAttempt
from postspring.peers.messages import TurnsReplicated

__all__ = [
    "AppendRecords",
    "ConfigurationOffer",
    "ConfigurationRequest",
    "GatherRows",
    "Heartbeat",
    "LogFailed",
    "PeerHub",
    "ReadRecords",
    "RecordsAppended",
    "RecordsRead",
    "ReplicateTurns",
    "RowsGathered",
    "StopAttempt",
    "TurnsReplicated",
    "peer_messages",
]
