"""The fold of a slot stream: decides in log order which records count.

Every VM of a data centre folds the same stream and reaches the same
verdicts.  The fold does no I/O and reads no clock.
"""

from collections.abc import Callable
from typing import Any

from postspring import budgets
from postspring.ownership import base
from postspring.ownership import records
from postspring.ownership import slot as slot_module
from postspring.ownership import verdicts
from postspring import programs

__all__ = ["StreamFold"]

SlotState = slot_module.SlotState
Verdict = verdicts.Verdict
_RULE_BY_TYPE: dict[type, Callable] = {}


def _rule(record_type: type) -> Callable:
    """Register the function that judges and applies a record type."""

    def register(function: Callable) -> Callable:
        _RULE_BY_TYPE[record_type] = function
        return function

    return register


def _sequenced_rule(record_type: type) -> Callable:
    """Register a rule for a record that only the current owner may write."""

    def register(function: Callable) -> Callable:
        def fenced_rule(slot: SlotState, record: Any) -> Verdict:
            verdict = _fencing_verdict(slot, record)
            return function(slot, record) if verdict is None else verdict

        _RULE_BY_TYPE[record_type] = fenced_rule
        return function

    return register


def _program_rule(record_type: type) -> Callable:
    """Register a rule for a sequenced record of a live program."""

    def register(function: Callable) -> Callable:
        @_sequenced_rule(record_type)
        def live_rule(slot: SlotState, record: Any) -> Verdict:
            program, verdict = _live_program(slot, record.program)
            if program is None:
                return verdict
            return function(slot, program, record)

        return function

    return register


class StreamFold:
    """State of all slots of a data centre, folded from its log stream.

    Parameters
    ==========

    slots : int
        Number of slots of the data centre.

    Examples
    ========

    >>> fold = StreamFold(slots=4)
    >>> claim = records.Claim(slot=1, epoch=1, owner="vm-a", incarnation="a1")
    >>> fold.apply(0, claim).value
    'counted'
    >>> late = records.Claim(slot=1, epoch=1, owner="vm-b", incarnation="b1")
    >>> fold.apply(1, late).value
    'stale_epoch'
    >>> fold.slot_by_number[1].owner
    'vm-a'
    """

    def __init__(self, slots: int):
        self.next_offset = 0
        self.slot_by_number = {
            number: SlotState(number) for number in range(slots)
        }

    def apply(self, offset: int, record: Any) -> verdicts.Verdict:
        """Judge the record at ``offset`` and apply it if it counts.

        Records must be applied in the order of their offsets; None stands
        for bytes that could not be decoded as a record.
        """
        if offset < self.next_offset:
            raise ValueError(f"offset {offset} was applied before")
        self.next_offset = offset + 1
        rule = _RULE_BY_TYPE.get(type(record))
        slot = self.slot_by_number.get(getattr(record, "slot", None))
        if rule is None or slot is None:
            return Verdict.NOT_A_RECORD
        if not slot.established:
            return _apply_unestablished(slot, offset, record)
        return rule(slot, record)

    def skip_to(self, offset: int) -> None:
        """Continue at ``offset``, as earlier unread records have expired.

        All slots lose their state.  The records of a slot are judged only
        once a complete base has been read that is as of ``offset`` or later.
        """
        self.next_offset = offset
        for number in self.slot_by_number:
            slot = SlotState(number)
            slot.established = False
            slot.base_offset = offset
            self.slot_by_number[number] = slot

    def program(self, program_id: str, slot: int) -> programs.Program | None:
        """Return a program's state, or None if the slot does not have it."""
        state = self.slot_by_number.get(slot)
        return None if state is None else state.program_by_id.get(program_id)


def _apply_unestablished(slot: SlotState, offset: int, record: Any) -> Verdict:
    """Keep a record until a complete base restores the slot's state.

    The kept records from the base's ``as_of`` on are then judged.
    """
    slot.unjudged.append((offset, record))
    if not isinstance(record, records.SlotBase):
        return Verdict.NO_BASE
    parts = base.find_parts(record, [item for _, item in slot.unjudged])
    if record.as_of < slot.base_offset or parts is None:
        return Verdict.NO_BASE
    unjudged = slot.unjudged
    slot.unjudged = []
    base.restore(slot, record, parts)
    verdict = Verdict.NO_BASE
    for number, item in unjudged:
        if number >= record.as_of:
            verdict = _RULE_BY_TYPE[type(item)](slot, item)
    return verdict


@_rule(records.ProgramBase)
def _apply_program_base(
    slot: SlotState, record: records.ProgramBase
) -> Verdict:
    return Verdict.COUNTED


@_rule(records.SlotBase)
def _apply_slot_base(slot: SlotState, record: records.SlotBase) -> Verdict:
    """Remove the ended programs that the base does not contain."""
    carried = set(record.programs)
    removed = {
        program.id
        for program in slot.program_by_id.values()
        if not program.live and program.id not in carried
    }
    for program_id in removed:
        del slot.program_by_id[program_id]
    slot.program_by_create_key = {
        key: program_id
        for key, program_id in slot.program_by_create_key.items()
        if program_id not in removed
    }
    for program in slot.program_by_id.values():
        program.children = [
            child for child in program.children if child not in removed
        ]
    return Verdict.COUNTED


def _fencing_verdict(slot: SlotState, record: Any) -> Verdict | None:
    """Return why a sequenced record is fenced, or None if it is not.

    A record that is not fenced raises the slot's sequence, even if a rule
    rejects it afterwards, so that no later copy of it counts.
    """
    if record.epoch != slot.epoch or slot.released:
        return Verdict.STALE_EPOCH
    if record.sequence <= slot.sequence:
        return Verdict.STALE_SEQUENCE
    slot.sequence = record.sequence
    return None


def _live_program(
    slot: SlotState, program_id: str
) -> tuple[programs.Program | None, Verdict]:
    program = slot.program_by_id.get(program_id)
    if program is None:
        return None, Verdict.UNKNOWN_PROGRAM
    if not program.live:
        return None, Verdict.PROGRAM_ENDED
    return program, Verdict.COUNTED


@_rule(records.Claim)
def _apply_claim(slot: SlotState, record: records.Claim) -> Verdict:
    if record.epoch != slot.epoch + 1:
        return Verdict.STALE_EPOCH
    slot.epoch = record.epoch
    slot.owner = record.owner
    slot.incarnation = record.incarnation
    slot.sequence = 0
    slot.released = False
    slot.successor = None
    for program in slot.program_by_id.values():
        # The former owner may have spent all of it without logging that.
        program.close_allowance(charge=program.allowance)
    return Verdict.COUNTED


@_sequenced_rule(records.Release)
def _apply_release(slot: SlotState, record: records.Release) -> Verdict:
    slot.released = True
    slot.successor = record.successor
    for program in slot.program_by_id.values():
        charge = record.charge_by_program.get(program.id, 0)
        program.close_allowance(charge=charge)
    return Verdict.COUNTED


@_sequenced_rule(records.Create)
def _apply_create(slot: SlotState, record: records.Create) -> Verdict:
    if record.program in slot.program_by_id:
        return Verdict.PROGRAM_EXISTS
    if record.key and record.key in slot.program_by_create_key:
        return Verdict.KEY_USED
    parent_account = None
    if record.parent is not None:
        parent, verdict = _live_program(slot, record.parent)
        if parent is None:
            return verdict
        parent.children.append(record.program)
        parent_account = parent.account
    slot.program_by_id[record.program] = programs.Program(
        record.program,
        record.service,
        record.priority,
        record.parent,
        budgets.Account(record.budget, parent_account),
    )
    if record.key:
        slot.program_by_create_key[record.key] = record.program
        slot.program_by_id[record.program].create_key = record.key
    return Verdict.COUNTED


@_program_rule(records.Reserve)
def _apply_reserve(
    slot: SlotState, program: programs.Program, record: records.Reserve
) -> Verdict:
    if not program.add_allowance(record.amount):
        return Verdict.OVER_BUDGET
    return Verdict.COUNTED


@_program_rule(records.Intent)
def _apply_intent(
    slot: SlotState, program: programs.Program, record: records.Intent
) -> Verdict:
    if program.open_intent is not None:
        return Verdict.INTENT_OPEN
    if record.step != program.head.step + 1:
        return Verdict.NOT_NEXT_STEP
    if record.key in program.step_by_key:
        return Verdict.KEY_USED
    intent = programs.OpenIntent(
        record.epoch,
        record.sequence,
        record.step,
        record.key,
        record.request_digest,
        record.amount,
    )
    return (
        Verdict.COUNTED if program.add_intent(intent) else Verdict.OVER_BUDGET
    )


@_program_rule(records.Abort)
def _apply_abort(
    slot: SlotState, program: programs.Program, record: records.Abort
) -> Verdict:
    intent = program.open_intent
    if intent is None or (intent.epoch, intent.sequence) != (
        record.epoch,
        record.intent_sequence,
    ):
        return Verdict.NO_INTENT
    program.settle_intent(0)
    return Verdict.COUNTED


@_rule(records.Turn)
def _apply_turn(slot: SlotState, record: records.Turn) -> Verdict:
    program = slot.program_by_id.get(record.program)
    if program is None:
        return Verdict.UNKNOWN_PROGRAM
    recorded = program.turn_at(record.step)
    if recorded is not None and recorded.digest == record.digest:
        return Verdict.DUPLICATE
    # The turn of a call that was running when the program ended counts.
    # The end has charged what such a call may cost.
    if record.step != program.head.step + 1:
        return Verdict.NOT_NEXT_STEP
    if record.parent != program.head.digest or not record.intact:
        return Verdict.WRONG_PARENT
    if record.key and record.key in program.step_by_key:
        return Verdict.KEY_USED
    if not _intent_matches(program, record):
        return Verdict.NO_INTENT
    _charge_turn(slot, program, record)
    program.add_turn(record)
    return Verdict.COUNTED


def _intent_matches(program: programs.Program, turn: records.Turn) -> bool:
    """Return whether the turn closes the open intent, or needs none.

    While an intent is open, only its outcome may follow.  Without an open
    intent, only turns of calls that may be repeated may follow.
    """
    intent = program.open_intent
    if intent is None:
        return turn.intent_sequence is None
    return (turn.intent_epoch, turn.intent_sequence) == (
        intent.epoch,
        intent.sequence,
    )


def _charge_turn(
    slot: SlotState, program: programs.Program, turn: records.Turn
) -> None:
    if turn.intent_sequence is not None:
        program.settle_intent(turn.cost)
    elif turn.epoch == slot.epoch:
        program.spend_allowance(turn.cost)
    # The claim has charged all of the allowance of an earlier epoch.
    if turn.top_up and turn.epoch == slot.epoch and not slot.released:
        program.add_allowance(turn.top_up)


@_program_rule(records.End)
def _apply_end(
    slot: SlotState, program: programs.Program, record: records.End
) -> Verdict:
    for member in slot.tree(record.program):
        if not member.live:
            continue
        if member is program:
            member.end(record.reason, record.charge)
        else:
            member.end(programs.EndReason.PARENT_ENDED, member.allowance)
    return Verdict.COUNTED
