"""State and helpers that the parts of an owner share."""

import collections
from collections.abc import Callable
import functools
from typing import Any

from postspring import configuration
from postspring.coordination import effects
from postspring.coordination import limits
from postspring.coordination import messages
from postspring.coordination import refusals
from postspring.coordination import runtime
from postspring import identifiers
from postspring import ownership
from postspring import scheduling

__all__ = ["OwnerContext"]

Reason = refusals.RefusalReason
Ran = refusals.Ran


class OwnerContext:
    """State and helpers that the parts of one owner share.

    Explanation
    ===========

    The parts add what they want executed to ``effects``, and the host takes
    it from there through the owner.

    Parameters
    ==========

    vm, incarnation : str
        Name of the VM, and the id of this start of its process.
    data_center : str
        The data centre whose slots these are.
    fold : StreamFold
        State of the slots, as folded from the log.
    pool : UpstreamPool
        Upstreams, and the calls that are queued for them.
    bounds : OwnerLimits
        Limits and timeouts.
    """

    def __init__(
        self,
        vm: str,
        incarnation: str,
        data_center: str,
        fold: ownership.StreamFold,
        pool: scheduling.UpstreamPool,
        bounds: limits.OwnerLimits,
    ):
        self.vm = vm
        self.incarnation = incarnation
        self.data_center = data_center
        self.fold = fold
        self.pool = pool
        self.limits = bounds
        self.configuration = configuration.Configuration()
        self.log_up = True
        self.held_bytes = 0
        self.retry_budget = scheduling.RetryBudget()
        self.retries_by_reason: collections.Counter = collections.Counter()
        self.effects: list[effects.Effect] = []
        self.runtime_by_program: dict[str, runtime.ProgramRuntime] = {}
        self.active_at_by_program: dict[str, float] = {}
        self.engines_by_program: dict[str, set[str]] = {}
        self.claimed_at_by_slot: dict[int, float] = {}
        self.verdict_callback_by_identity: dict[tuple, Callable] = {}
        self.sequence_by_slot: dict[int, tuple[int, int]] = {}
        # The parts of the owner call each other through these references,
        # which the owner sets.
        self.lifecycle: Any = None
        self.admission: Any = None
        self.calls: Any = None
        self.attempts: Any = None
        self.turns: Any = None

    def slot_of(self, program_id: str) -> ownership.SlotState:
        """Return the slot that a program's id names."""
        address = identifiers.parse_program_id(program_id)
        return self.fold.slot_by_number[address.slot]

    def owns(self, slot: ownership.SlotState | None) -> bool:
        """Return whether this VM incarnation owns the slot now."""
        return slot is not None and slot.owned_by(self.incarnation)

    def state_of(self, program_id: str) -> runtime.ProgramRuntime | None:
        """Return the runtime of a program in a slot owned here, or None."""
        slot = self.slot_of(program_id)
        program = slot.program_by_id.get(program_id)
        if not self.owns(slot) or program is None:
            return None
        state = self.runtime_by_program.get(program_id)
        if state is None:
            state = runtime.ProgramRuntime(program)
            self.runtime_by_program[program_id] = state
        return state

    def find_or_refuse(
        self, program_id: str, to: effects.ReplyTo
    ) -> runtime.ProgramRuntime | None:
        """Return a program's runtime, or refuse and return None."""
        address = identifiers.parse_program_id(program_id)
        slot = self.fold.slot_by_number.get(address.slot)
        if slot is None or address.data_center != self.data_center:
            self.refuse(to, Reason.UNKNOWN_PROGRAM)
            return None
        if not self.owns(slot):
            self.reply_not_owner(slot, to)
            return None
        if program_id not in slot.program_by_id:
            self.refuse(to, Reason.UNKNOWN_PROGRAM)
            return None
        return self.state_of(program_id)

    def append(
        self, record_type: type, slot_number: int, **fields: Any
    ) -> Any:
        """Append a sequenced record to a slot that this VM owns."""
        slot = self.fold.slot_by_number[slot_number]
        epoch, last = self.sequence_by_slot.get(slot_number, (0, 0))
        if epoch != slot.epoch:
            last = 0
        sequence = max(last, slot.sequence) + 1
        self.sequence_by_slot[slot_number] = (slot.epoch, sequence)
        record = record_type(
            slot=slot_number, epoch=slot.epoch, sequence=sequence, **fields
        )
        self.effects.append(effects.Append(record))
        return record

    def add_verdict_callback(
        self, record: Any, function: Callable, *arguments: Any
    ) -> None:
        """Call ``function(*arguments, verdict, now)`` on its verdict."""
        callback = functools.partial(function, *arguments)
        self.verdict_callback_by_identity[record.identity] = callback

    def reply(self, to: effects.ReplyTo, message: Any) -> None:
        """Reply to a request."""
        self.effects.append(effects.Reply(to, message))

    def reply_not_owner(
        self, slot: ownership.SlotState | None, to: effects.ReplyTo
    ) -> None:
        """Redirect a request to the owner of a slot, if it has one."""
        owner = None if slot is None or slot.released else slot.owner
        self.reply(to, messages.NotOwner(owner=owner))

    def refuse(
        self,
        to: effects.ReplyTo,
        reason: Reason,
        ran: Ran = Ran.NOT_RUN,
        retry_after_ms: int | None = None,
        detail: str = "",
    ) -> None:
        """Refuse a request."""
        self.reply(
            to,
            refusals.Refused(
                reason=reason,
                ran=ran,
                retry_after_ms=retry_after_ms,
                detail=detail,
            ),
        )

    def refuse_log_unavailable(self, to: effects.ReplyTo) -> None:
        """Refuse a request because the log is unavailable."""
        reason = Reason.LOG_UNAVAILABLE
        self.refuse(to, reason, retry_after_ms=limits.retry_after_ms(reason))

    def refuse_waiters(self, call: runtime.Call, reason: Reason) -> None:
        """Refuse all requests that wait for a call."""
        waiters = call.waiters
        call.waiters = []
        ran = (
            refusals.Ran.UNKNOWN
            if self._has_earlier_intent(call)
            else call.ran
        )
        for to in waiters:
            self.refuse(to, reason, ran, limits.retry_after_ms(reason))

    def _has_earlier_intent(self, call: runtime.Call) -> bool:
        """Return whether the log has an earlier open intent of the call."""
        slot = self.slot_of(call.message.program)
        program = slot.program_by_id.get(call.message.program)
        intent = None if program is None else program.open_intent
        if intent is None or intent.key != call.message.key:
            return False
        return (intent.epoch, intent.sequence) != call.intent

    def refuse_active(
        self, state: runtime.ProgramRuntime, call: runtime.Call, reason: Reason
    ) -> None:
        """Refuse the active call, which is not dispatched again."""
        state.active = None
        self.refuse_waiters(call, reason)
