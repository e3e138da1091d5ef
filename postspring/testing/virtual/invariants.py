"""What must hold of a world whatever happened in it."""

from typing import Any

from postspring import ownership
from postspring.testing.virtual import callers

__all__ = ["check_invariants"]


def check_invariants(world: Any) -> list[str]:
    """Return what does not hold; empty if all is well.

    Call it once the world has settled: nothing cut, down or frozen.
    """
    faults: list[str] = []
    faults += _calls_ran_at_most_once(world)
    for name, caller in world.caller_by_name.items():
        faults += _history_is_what_was_told(world, name, caller)
        faults += _not_run_is_true(world, name, caller)
    faults += _budgets_hold(world)
    faults += _gone_programs_hold_nothing(world)
    faults += _folds_agree(world)
    return faults


def _calls_ran_at_most_once(world: Any) -> list[str]:
    return [
        f"{key} ran {count} times"
        for key, count in world.tool.count_by_key.items()
        if count > 1
    ]


def _history_is_what_was_told(
    world: Any, name: str, caller: callers.VirtualCaller
) -> list[str]:
    """Every answer that a caller was given stands in the log, in order."""
    program = world.program_state(name)
    if program is None:
        return [f"{name} is not in the log"]
    faults = []
    parent = b""
    for step, turn in enumerate(program.turns, 1):
        if turn.step != step or turn.parent != parent or not turn.intact:
            faults.append(f"{name}: turn {step} does not follow")
        parent = turn.digest
    for outcome in caller.outcomes:
        if outcome.told not in ("answered", "unknown"):
            continue
        turn = program.turn_at(outcome.step)
        if turn is None or turn.digest.hex() != outcome.digest:
            held = " (held)" if outcome.held else ""
            faults.append(f"{name}: turn {outcome.step}{held} is lost")
    return faults


def _not_run_is_true(
    world: Any, name: str, caller: callers.VirtualCaller
) -> list[str]:
    return [
        f"{name}: {outcome.key} was refused as not run and ran"
        for outcome in caller.outcomes
        if outcome.kind == "tool"
        and outcome.told == "refused not_run"
        and world.executions(outcome.key)
    ]


def _budgets_hold(world: Any) -> list[str]:
    """Neither the ledger nor what engines and tools did is past a limit."""
    faults = []
    for place in {vm.data_center for vm in world.vm_by_name.values()}:
        for slot in world.refold(place).slot_by_number.values():
            for program in slot.program_by_id.values():
                account = program.account
                if account.limit is None:
                    continue
                if account.spent + account.reserved > account.limit:
                    faults.append(f"{program.id}: the ledger is past")
                used = _used(world, slot, program)
                if used > account.limit:
                    text = f"used {used} of {account.limit}"
                    faults.append(f"{program.id}: {text}")
    return faults


def _gone_programs_hold_nothing(world: Any) -> list[str]:
    """No engine holds cache of a program that has ended."""
    faults = []
    for caller in world.caller_by_name.values():
        program = world.state_of(caller.program)
        if program is None or program.live:
            continue
        for engine in world.engine_by_name.values():
            if engine.held_by_session[caller.program]:
                faults.append(f"{engine.name} holds {caller.program}")
    return faults


def _used(world: Any, slot: ownership.SlotState, program: Any) -> int:
    """Return what upstreams really did for a program and its sub-agents."""
    price = 0
    for member in slot.tree(program.id):
        for engine in world.engine_by_name.values():
            price += engine.tokens_by_program[member.id]
    return price


def _folds_agree(world: Any) -> list[str]:
    """Every VM's fold says what the whole log says."""
    faults = []
    for vm in world.live_vms():
        whole = world.refold(vm.data_center)
        own = vm.core.slots.fold
        if own.next_offset != whole.next_offset:
            faults.append(f"{vm.name} has not read the whole log")
            continue
        for number, slot in whole.slot_by_number.items():
            other = own.slot_by_number[number]
            if _summary(slot) != _summary(other):
                faults.append(f"{vm.name}: slot {number} differs")
    return faults


def _summary(slot: ownership.SlotState) -> tuple:
    return (
        slot.epoch,
        slot.owner,
        [
            (
                program.id,
                program.head,
                program.account.spent,
                program.account.reserved,
                program.status,
            )
            for program in sorted(
                slot.program_by_id.values(), key=lambda item: item.id
            )
        ],
    )
