"""Types of ids, and the format of program ids.

A program id contains the program's home data centre and slot, so that any VM
can route a call to the owner without a lookup: ``p-<dc>-<slot>-<random>``.
"""

import dataclasses
import re
import secrets
from typing import NewType

from postspring import errors

__all__ = [
    "CallKey",
    "DataCenter",
    "Digest",
    "Epoch",
    "Incarnation",
    "Offset",
    "ProgramAddress",
    "ProgramId",
    "ServiceName",
    "SlotNumber",
    "Step",
    "UpstreamId",
    "VmId",
    "new_program_id",
    "parse_program_id",
]

DataCenter = NewType("DataCenter", str)
VmId = NewType("VmId", str)
Incarnation = NewType("Incarnation", str)
ProgramId = NewType("ProgramId", str)
ServiceName = NewType("ServiceName", str)
UpstreamId = NewType("UpstreamId", str)
CallKey = NewType("CallKey", str)
SlotNumber = NewType("SlotNumber", int)
Epoch = NewType("Epoch", int)
Step = NewType("Step", int)
Offset = NewType("Offset", int)
Digest = NewType("Digest", bytes)

RANDOM_BYTES = 12
_PROGRAM_ID = re.compile(r"p-([a-z0-9][a-z0-9-]*)-(\d{1,6})-([0-9a-f]{24})")


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramAddress:
    """The home data centre and the slot of a program."""

    data_center: DataCenter
    slot: SlotNumber


def new_program_id(data_center: DataCenter, slot: SlotNumber) -> ProgramId:
    """Return a new id for a program in this data centre and slot.

    Examples
    --------
    >>> program = new_program_id("rimac", 3)
    >>> parse_program_id(program)
    ProgramAddress(data_center='rimac', slot=3)
    """
    random = secrets.token_hex(RANDOM_BYTES)
    return ProgramId(f"p-{data_center}-{slot}-{random}")


def parse_program_id(program: str) -> ProgramAddress:
    """Return the address that a program id contains.

    Raises
    ------
    IdentifierError
        If the text does not have the format of a program id.
    """
    match = _PROGRAM_ID.fullmatch(program)
    if match is None:
        raise errors.IdentifierError(f"not a program id: {program[:80]!r}")
    data_center, slot, _random = match.groups()
    return ProgramAddress(DataCenter(data_center), SlotNumber(int(slot)))
