"""Ownership: slots, their epochs, and the fold of the slots' log stream."""

from postspring.ownership.assignment import plan_slots
from postspring.ownership.assignment import preferred_owner
from postspring.ownership.assignment import SlotPlan
from postspring.ownership.base import slot_base_records
from postspring.ownership.fold import StreamFold
from postspring.ownership.records import Abort
from postspring.ownership.records import Claim
from postspring.ownership.records import Create
from postspring.ownership.records import End
from postspring.ownership.records import Intent
from postspring.ownership.records import ProgramBase
from postspring.ownership.records import Release
from postspring.ownership.records import Reserve
from postspring.ownership.records import slot_records
from postspring.ownership.records import SlotBase
from postspring.ownership.records import Turn
from postspring.ownership.slot import SlotState
from postspring.ownership.verdicts import Verdict

__all__ = [
    "Abort",
    "Claim",
    "Create",
    "End",
    "Intent",
    "ProgramBase",
    "Release",
    "Reserve",
    "SlotBase",
    "SlotPlan",
    "SlotState",
    "StreamFold",
    "Turn",
    "Verdict",
    "plan_slots",
    "preferred_owner",
    "slot_base_records",
    "slot_records",
]
