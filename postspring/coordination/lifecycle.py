"""Creation, reading and end of programs at their owner."""

from postspring import configuration
from postspring.coordination import effects
from postspring.coordination import limits
from postspring.coordination import messages
from postspring.coordination import owner_context
from postspring.coordination import refusals
from postspring.coordination import runtime
from postspring import identifiers
from postspring import ownership
from postspring import programs

__all__ = ["ProgramLifecycle"]

Reason = refusals.RefusalReason
Verdict = ownership.Verdict
CallState = runtime.CallState


class ProgramLifecycle:
    """Creates, reads and ends programs.

    Parameters
    ==========

    context : OwnerContext
        State that the parts of the owner share.
    """

    def __init__(self, context: owner_context.OwnerContext):
        self._context = context

    def create(
        self, message: messages.CreateProgram, to: effects.ReplyTo, now: float
    ) -> None:
        """Create a program, or return the one with the same key."""
        slot = self._context.fold.slot_by_number.get(message.slot)
        if not self._context.owns(slot):
            return self._context.reply_not_owner(slot, to)
        known = slot.program_by_create_key.get(message.key)
        if message.key and known is not None:
            return self._context.reply(
                to, messages.ProgramCreated(program=known)
            )
        service = self._context.configuration.services.get(message.service)
        reason = self._creation_refusal(slot, message, service)
        if reason is not None:
            return self._context.refuse(
                to, reason, retry_after_ms=limits.retry_after_ms(reason)
            )
        if not self._context.log_up:
            return self._context.refuse_log_unavailable(to)
        budget = message.budget
        if budget is None and message.parent is None:
            budget = service.default_budget
        priority = message.priority
        if priority is None:
            priority = service.priority
        record = self._context.append(
            ownership.Create,
            message.slot,
            program=identifiers.new_program_id(
                self._context.data_center, message.slot
            ),
            service=message.service,
            priority=priority,
            budget=budget,
            parent=message.parent,
            key=message.key,
        )
        self._context.add_verdict_callback(
            record, self._on_create_verdict, record, to
        )

    def _creation_refusal(
        self,
        slot: ownership.SlotState,
        message: messages.CreateProgram,
        service: configuration.Service | None,
    ) -> Reason | None:
        if service is None:
            return Reason.UNKNOWN_SERVICE
        if message.budget is not None and message.budget > service.max_budget:
            return Reason.BUDGET_TOO_LARGE
        if self._live_program_count(message.service) >= service.max_programs:
            return Reason.TOO_MANY_PROGRAMS
        if message.parent is None:
            return None
        parent = slot.program_by_id.get(message.parent)
        if parent is None:
            return Reason.UNKNOWN_PROGRAM
        return None if parent.live else Reason.PROGRAM_ENDED

    def _live_program_count(self, service: str) -> int:
        """Return how many programs of a service live in this data centre."""
        return sum(
            program.live and program.service == service
            for slot in self._context.fold.slot_by_number.values()
            for program in slot.program_by_id.values()
        )

    def _on_create_verdict(
        self,
        record: ownership.Create,
        to: effects.ReplyTo,
        verdict: Verdict,
        now: float,
    ) -> None:
        slot = self._context.fold.slot_by_number[record.slot]
        if verdict.counted:
            created = messages.ProgramCreated(program=record.program)
            self._context.reply(to, created)
        elif verdict is Verdict.KEY_USED:
            known = slot.program_by_create_key[record.key]
            self._context.reply(to, messages.ProgramCreated(program=known))
        elif verdict is Verdict.PROGRAM_ENDED:
            self._context.refuse(to, Reason.PROGRAM_ENDED)
        else:
            self._context.reply_not_owner(slot, to)

    def read(
        self, message: messages.ReadProgram, to: effects.ReplyTo, now: float
    ) -> None:
        """Reply with a program's state and a page of its turns."""
        state = self._context.find_or_refuse(message.program, to)
        if state is not None:
            self._context.reply(to, self._view(state, message))

    def _view(
        self, state: runtime.ProgramRuntime, message: messages.ReadProgram
    ) -> messages.ProgramView:
        program = state.program
        slot = self._context.slot_of(program.id)
        first = max(message.from_step, 1) - 1
        page = state.turns[first : first + max(message.limit, 0)]
        return messages.ProgramView(
            program=program.id,
            service=program.service,
            priority=program.priority,
            parent=program.parent,
            status=program.status,
            end_reason=program.end_reason,
            owner=self._context.vm,
            epoch=slot.epoch,
            step=state.tip.step,
            digest=state.tip.digest,
            budget=program.account.limit,
            spent=program.account.spent,
            reserved=program.account.reserved,
            held_turns=len(state.pending),
            open_intent=program.open_intent is not None,
            children=tuple(program.children),
            turns=tuple(page),
        )

    def end(
        self, message: messages.EndProgram, to: effects.ReplyTo, now: float
    ) -> None:
        """End a program and its sub-agents."""
        state = self._context.find_or_refuse(message.program, to)
        if state is None:
            return
        program = state.program
        if not program.live:
            ended = messages.ProgramEnded(
                program=program.id, spent=program.account.spent
            )
            return self._context.reply(to, ended)
        if not self._context.log_up:
            return self._context.refuse_log_unavailable(to)
        self.append_end(state, message.reason, to)

    def append_end(
        self,
        state: runtime.ProgramRuntime,
        reason: programs.EndReason,
        to: effects.ReplyTo | None,
    ) -> None:
        """Stop all calls of a program's tree and append its end."""
        slot = self._context.slot_of(state.program.id)
        for member in slot.tree(state.program.id):
            self._cancel_calls(member.id)
        record = self._context.append(
            ownership.End,
            slot.number,
            program=state.program.id,
            reason=reason,
            charge=state.lost_cost,
        )
        self._context.add_verdict_callback(
            record, self._on_end_verdict, record, to
        )

    def _on_end_verdict(
        self,
        record: ownership.End,
        to: effects.ReplyTo | None,
        verdict: Verdict,
        now: float,
    ) -> None:
        slot = self._context.fold.slot_by_number[record.slot]
        if to is None:
            return
        if verdict.counted or verdict is Verdict.PROGRAM_ENDED:
            account = slot.program_by_id[record.program].account
            ended = messages.ProgramEnded(
                program=record.program, spent=account.spent
            )
            self._context.reply(to, ended)
        else:
            self._context.reply_not_owner(slot, to)

    def release_caches(
        self, slot: ownership.SlotState, program_id: str
    ) -> None:
        """Release what engines cache for an ended program's tree."""
        for member in slot.tree(program_id):
            engines = {
                turn.upstream
                for turn in member.turns
                if turn.kind is programs.CallKind.MODEL and turn.upstream
            }
            engines |= self._context.engines_by_program.pop(member.id, set())
            self._context.active_at_by_program.pop(member.id, None)
            if engines:
                self._context.effects.append(
                    effects.ReleaseCache(
                        member.id, slot.epoch, tuple(sorted(engines))
                    )
                )

    def release_ended_caches(self, slot: ownership.SlotState) -> None:
        """Release caches that a former owner may not have released."""
        for program in list(slot.program_by_id.values()):
            if not program.live:
                self.release_caches(slot, program.id)

    def end_idle_programs(self, now: float) -> None:
        """End programs that have had no call for ``idle_seconds``.

        Programs that have sub-agents are not ended.
        """
        context = self._context
        for slot in context.fold.slot_by_number.values():
            if not context.owns(slot):
                continue
            claimed_at = context.claimed_at_by_slot.get(slot.number, now)
            for program in list(slot.program_by_id.values()):
                since = context.active_at_by_program.get(
                    program.id, claimed_at
                )
                service = context.configuration.services.get(program.service)
                if not program.live or service is None:
                    continue
                if now - since < service.idle_seconds or program.children:
                    continue
                state = context.state_of(program.id)
                if state.idle and context.log_up:
                    self.append_end(state, programs.EndReason.IDLE, None)

    def _cancel_calls(self, program_id: str) -> None:
        """Stop every call of a program that is about to end."""
        state = self._context.runtime_by_program.get(program_id)
        if state is None:
            return
        for call in state.queue_by_step.values():
            self._context.refuse_waiters(call, Reason.PROGRAM_ENDED)
        state.queue_by_step.clear()
        call = state.active
        if call is None:
            return
        if call.state is CallState.RUNNING:
            self._context.effects.append(
                effects.CancelAttempt(call.runner, program_id, call.attempt)
            )
        self._context.attempts.abandon_active(state, call)
        self._context.refuse_waiters(call, Reason.PROGRAM_ENDED)
