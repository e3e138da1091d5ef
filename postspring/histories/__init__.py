"""Histories of programs: their turns and token budgets in the shared log."""

from postspring.histories.accounts import LocalAccounts
from postspring.histories.accounts import Origin
from postspring.histories.accounts import Ticket
from postspring.histories.chains import Chain
from postspring.histories.contributions import TurnState
from postspring.histories.durability import LOCAL_ONLY
from postspring.histories.errors import HistoryError
from postspring.histories.errors import IncompleteChain
from postspring.histories.errors import JournalUnavailable
from postspring.histories.errors import MalformedRecord
from postspring.histories.fold import LocationFold
from postspring.histories.fold import ProgramFold
from postspring.histories.journal import Journal
from postspring.histories.ports import NoReplicaHolders
from postspring.histories.ports import ReplicaHolders
from postspring.histories.program import Program
from postspring.histories.program import Turn
from postspring.histories.records import Claim
from postspring.histories.records import CompletedTurn
from postspring.histories.records import decode_record
from postspring.histories.records import encode_record
from postspring.histories.records import EndedTurn
from postspring.histories.records import fits_key
from postspring.histories.records import OpenedTurn
from postspring.histories.records import ProgramId
from postspring.histories.records import record_key
from postspring.histories.records import TurnId
from postspring.histories.records import TurnLocation
from postspring.histories.records import TurnRef
from postspring.histories.size_limits import SizeLimits

__all__ = [
    "LOCAL_ONLY",
    "Chain",
    "Claim",
    "EndedTurn",
    "HistoryError",
    "IncompleteChain",
    "Journal",
    "JournalUnavailable",
    "LocalAccounts",
    "LocationFold",
    "MalformedRecord",
    "NoReplicaHolders",
    "OpenedTurn",
    "Origin",
    "Program",
    "ProgramFold",
    "ProgramId",
    "ReplicaHolders",
    "SizeLimits",
    "Ticket",
    "Turn",
    "TurnId",
    "TurnLocation",
    "TurnRef",
    "TurnState",
    "CompletedTurn",
    "decode_record",
    "encode_record",
    "fits_key",
    "record_key",
]
