"""Folds: the state that results from the records of one partition.

A fold uses no clock and does no I/O, so the same records give the same state
on every VM.
"""

import logging

from postspring.histories import errors
from postspring.histories import program as program_module
from postspring.histories import records

__all__ = ["LocationFold", "ProgramFold"]

LOG = logging.getLogger(__name__)


def _decode(value: bytes) -> records.Record | None:
    try:
        return records.decode_record(value)
    except errors.MalformedRecord as error:
        LOG.warning("malformed record skipped", extra={"error": str(error)})
        return None


class ProgramFold:
    """The programs whose records one partition holds."""

    def __init__(self):
        self.program_by_id: dict[
            records.ProgramId, program_module.Program
        ] = {}

    def apply(self, value: bytes, is_ordered: bool = True) -> None:
        """Fold one record; an empty value drops its key and changes nothing.

        A dropped turn has outlived its retention, and so has every turn that
        may refer to it.

        Parameters
        ----------
        is_ordered : bool
            Whether all records before this one were folded before it.
        """
        record = _decode(value) if value else None
        if record is None:
            return
        program = self.program(record.program)
        if isinstance(record, records.OpenedTurn):
            program.open(record, is_ordered)
        elif isinstance(record, records.CompletedTurn):
            program.complete(record, is_ordered)
        elif isinstance(record, records.EndedTurn):
            program.end(record, is_ordered)

    def program(self, program: records.ProgramId) -> program_module.Program:
        """Return a program, which is created empty if it is unknown."""
        found = self.program_by_id.get(program)
        if found is None:
            found = program_module.Program(program)
            self.program_by_id[program] = found
        return found

    def completed_turn(
        self, ref: records.TurnRef
    ) -> program_module.Turn | None:
        """Return a turn of the history, or None if this fold lacks it."""
        found = self.program_by_id.get(ref.program)
        return None if found is None else found.completed_turn(ref.turn)


class LocationFold:
    """Programs of completed turns, for callers that know only a turn's id."""

    def __init__(self):
        self.program_by_turn: dict[records.TurnId, records.ProgramId] = {}

    def apply(self, value: bytes, is_ordered: bool = True) -> None:
        """Fold one record."""
        record = _decode(value) if value else None
        if isinstance(record, records.TurnLocation):
            self.program_by_turn[record.turn] = record.program
