"""Programs: state and turns of a program, and the digests of calls."""

from postspring.programs.calls import CallKind
from postspring.programs.calls import chain_digest
from postspring.programs.calls import request_digest
from postspring.programs.calls import TurnStatus
from postspring.programs.calls import Usage
from postspring.programs.program import EMPTY_DIGEST
from postspring.programs.program import EndReason
from postspring.programs.program import Head
from postspring.programs.program import OpenIntent
from postspring.programs.program import Program
from postspring.programs.program import ProgramStatus

__all__ = [
    "CallKind",
    "EMPTY_DIGEST",
    "EndReason",
    "Head",
    "OpenIntent",
    "Program",
    "ProgramStatus",
    "TurnStatus",
    "Usage",
    "chain_digest",
    "request_digest",
]
