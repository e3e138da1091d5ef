"""The operators' query and command language, without I/O."""

from postspring.command.evaluation import evaluate
from postspring.command.evaluation import Table
from postspring.command.formats import format_table
from postspring.command.grammar import parse
from postspring.command.statements import Aggregate
from postspring.command.statements import CancelProgram
from postspring.command.statements import Comparison
from postspring.command.statements import DeclareDataCenter
from postspring.command.statements import Drain
from postspring.command.statements import EngineOrder
from postspring.command.statements import Query
from postspring.command.statements import SetField
from postspring.command.statements import SortKey
from postspring.command.statements import Statement

__all__ = [
    "Aggregate",
    "CancelProgram",
    "Comparison",
    "DeclareDataCenter",
    "Drain",
    "EngineOrder",
    "Query",
    "SetField",
    "SortKey",
    "Statement",
    "Table",
    "evaluate",
    "format_table",
    "parse",
]
