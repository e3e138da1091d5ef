"""Histories: programs' turns and token budgets, kept in the shared log."""

from postspring.histories.errors import HistoryError
from postspring.histories.errors import JournalUnavailable
from postspring.histories.errors import MalformedRecord
from postspring.histories.fold import LocationFold
from postspring.histories.fold import ProgramFold
from postspring.histories.journal import Chain
from postspring.histories.journal import Journal
from postspring.histories.program import Program
from postspring.histories.program import Turn
from postspring.histories.program import TurnState
from postspring.histories.records import decode_record
from postspring.histories.records import encode_record
from postspring.histories.records import EndedTurn
from postspring.histories.records import OpenedTurn
from postspring.histories.records import ProgramId
from postspring.histories.records import TurnId
from postspring.histories.records import TurnLocation
from postspring.histories.records import TurnRef
from postspring.histories.records import WholeTurn

__all__ = [
    "Chain",
    "EndedTurn",
    "HistoryError",
    "Journal",
    "JournalUnavailable",
    "LocationFold",
    "MalformedRecord",
    "OpenedTurn",
    "Program",
    "ProgramFold",
    "ProgramId",
    "Turn",
    "TurnId",
    "TurnLocation",
    "TurnRef",
    "TurnState",
    "WholeTurn",
    "decode_record",
    "encode_record",
]
