"""Bases: snapshots of a slot, appended before its records expire."""

from collections.abc import Sequence
from typing import Any

from postspring import budgets
from postspring.ownership import records
from postspring import programs

__all__ = ["find_parts", "restore", "slot_base_records"]


def slot_base_records(slot: Any, author: str, as_of: int) -> list[Any]:
    """Return the records of a base: a slot's state as of an offset.

    Parameters
    ----------
    slot : SlotState
        The slot, folded up to just before ``as_of``.
    author : str
        The VM incarnation that writes the base.
    """
    live = [program for program in slot.program_by_id.values() if program.live]
    parts: list[Any] = [
        _program_base(slot.number, author, as_of, program) for program in live
    ]
    parts.append(
        records.SlotBase(
            slot=slot.number,
            author=author,
            as_of=as_of,
            epoch=slot.epoch,
            owner=slot.owner,
            incarnation=slot.incarnation,
            sequence=slot.sequence,
            released=slot.released,
            successor=slot.successor,
            programs=tuple(program.id for program in live),
        )
    )
    return parts


def find_parts(
    slot_base: records.SlotBase, candidates: Sequence[Any]
) -> list[records.ProgramBase] | None:
    """Return the program records of a base, or None if one is missing."""
    part_by_program = {
        record.program: record
        for record in candidates
        if isinstance(record, records.ProgramBase)
        and record.group == slot_base.group
    }
    if not set(slot_base.programs) <= set(part_by_program):
        return None
    return [part_by_program[program] for program in slot_base.programs]


def restore(
    slot: Any,
    slot_base: records.SlotBase,
    parts: Sequence[records.ProgramBase],
) -> None:
    """Set a slot to the state in a base."""
    slot.epoch = slot_base.epoch
    slot.owner = slot_base.owner
    slot.incarnation = slot_base.incarnation
    slot.sequence = slot_base.sequence
    slot.released = slot_base.released
    slot.successor = slot_base.successor
    slot.established = True
    part_by_program = {part.program: part for part in parts}
    for part in parts:
        _restore_program(slot, part, part_by_program)


def _program_base(
    slot: int, author: str, as_of: int, program: programs.Program
) -> records.ProgramBase:
    intent = program.open_intent
    state = None
    if intent is not None:
        state = records.IntentState(
            epoch=intent.epoch,
            sequence=intent.sequence,
            step=intent.step,
            key=intent.key,
            request_digest=intent.request_digest,
            amount=intent.amount,
        )
    return records.ProgramBase(
        slot=slot,
        author=author,
        as_of=as_of,
        program=program.id,
        service=program.service,
        priority=program.priority,
        parent=program.parent,
        create_key=program.create_key,
        limit=program.account.limit,
        spent=program.account.spent,
        reserved=program.account.reserved,
        allowance=program.allowance,
        children=tuple(program.children),
        turns=tuple(program.turns),
        intent=state,
    )


def _restore_program(
    slot: Any,
    part: records.ProgramBase,
    part_by_program: dict[str, records.ProgramBase],
) -> programs.Program:
    existing = slot.program_by_id.get(part.program)
    if existing is not None:
        return existing
    parent_account = None
    if part.parent in part_by_program:
        parent = _restore_program(
            slot, part_by_program[part.parent], part_by_program
        )
        parent_account = parent.account
    account = budgets.Account(part.limit, parent_account)
    account.spent = part.spent
    account.reserved = part.reserved
    program = programs.Program(
        part.program, part.service, part.priority, part.parent, account
    )
    program.allowance = part.allowance
    program.children = [
        child for child in part.children if child in part_by_program
    ]
    program.create_key = part.create_key
    for turn in part.turns:
        program.add_turn(turn)
    if part.intent is not None:
        intent = part.intent
        program.open_intent = programs.OpenIntent(
            intent.epoch,
            intent.sequence,
            intent.step,
            intent.key,
            intent.request_digest,
            intent.amount,
        )
    slot.program_by_id[program.id] = program
    if program.create_key:
        slot.program_by_create_key[program.create_key] = program.id
    return program
