"""Calls at their owner: arrival, queueing, intents and reservations."""

from postspring.coordination import effects
from postspring.coordination import limits
from postspring.coordination import messages
from postspring.coordination import owner_context
from postspring.coordination import refusals
from postspring.coordination import runtime
from postspring.coordination import turns
from postspring import ownership
from postspring import programs

__all__ = ["CallFlow"]

Reason = refusals.RefusalReason
Verdict = ownership.Verdict
CallState = runtime.CallState


class CallFlow:
    """Accepts calls, queues them by step, logs intents and reservations.

    Parameters
    ==========

    context : OwnerContext
        State that the parts of the owner share.
    """

    def __init__(self, context: owner_context.OwnerContext):
        self._context = context

    def handle_call(
        self, message: messages.CallProgram, to: effects.ReplyTo, now: float
    ) -> None:
        """Answer a call from history, refuse it, or queue it."""
        state = self._context.find_or_refuse(message.program, to)
        if state is None:
            return
        self._context.active_at_by_program[message.program] = now
        for receipt in message.receipts:
            self._context.turns.adopt(state, receipt, now)
        if self._answer_from_history(state, message, to, now):
            return
        reason = self._context.admission.refusal_reason(state, message)
        if reason is Reason.TOO_MANY_CALLS and self._context.log_up:
            self._context.lifecycle.append_end(
                state, programs.EndReason.TOO_MANY_CALLS, None
            )
        if reason is not None:
            return self._context.refuse(
                to,
                reason,
                self._context.admission.ran_before(state, message),
                limits.retry_after_ms(reason),
            )
        if self._join(state, message, to):
            return
        call = runtime.Call(
            message, [to], deadline=now + message.timeout_ms / 1000
        )
        state.queue_by_step[message.step] = call
        self.advance(state, now)

    def _answer_from_history(
        self,
        state: runtime.ProgramRuntime,
        message: messages.CallProgram,
        to: effects.ReplyTo,
        now: float,
    ) -> bool:
        """Reply to a call whose step or key has a turn; return if so."""
        if message.key:
            turn = state.turn_with_key(message.key)
            if turn is not None:
                if turn.request_digest != message.digest:
                    self._context.refuse(to, Reason.KEY_REUSED)
                else:
                    self._context.turns.answer(state, turn, to)
                return True
        turn = state.turn_at(message.step)
        if turn is None:
            return False
        same_parent = message.parent in (None, turn.parent)
        same_key = not message.key or message.key == turn.key
        if turn.request_digest == message.digest and same_parent and same_key:
            self._context.turns.answer(state, turn, to)
        else:
            self._context.refuse(to, Reason.STEP_CONFLICT)
        return True

    def _join(
        self,
        state: runtime.ProgramRuntime,
        message: messages.CallProgram,
        to: effects.ReplyTo,
    ) -> bool:
        """Handle a request whose call is queued or active; return if so."""
        call = state.queue_by_step.get(message.step)
        if call is None and state.active is not None:
            if state.active.message.step == message.step:
                call = state.active
        if call is None:
            return False
        same_key = call.message.key == message.key
        if call.abandoned:
            self._context.refuse_log_unavailable(to)
        elif call.message.digest != message.digest or not same_key:
            self._context.refuse(to, Reason.STEP_CONFLICT)
        else:
            call.waiters.append(to)
        return True

    def advance(self, state: runtime.ProgramRuntime, now: float) -> None:
        """Start the next call in order if none is active."""
        if state.active is not None or not state.program.live:
            return
        call = state.queue_by_step.get(state.tip.step + 1)
        if call is None or not self._intent_cleared(state, call, now):
            return
        del state.queue_by_step[call.message.step]
        if call.message.parent not in (None, state.tip.digest):
            return self._context.refuse_waiters(call, Reason.PARENT_MISMATCH)
        state.active = call
        self._start(state, call, now)

    def _intent_cleared(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> bool:
        """Return whether no open intent blocks the call.

        A former owner's open intent is closed as unknown after
        ``outcome_grace``; a request for the same call gets that answer.
        """
        intent = state.program.open_intent
        if intent is None or state.pending:
            return intent is None
        slot = self._context.slot_of(state.program.id)
        if intent.epoch == slot.epoch:
            return False
        claimed_at = self._context.claimed_at_by_slot.get(slot.number, 0.0)
        if now < claimed_at + self._context.limits.outcome_grace:
            return False
        same_request = call.message.digest == intent.request_digest
        turn = turns.abandoned_intent_turn(
            slot,
            state.program,
            call.message.request if same_request else b"{}",
        )
        waiters = []
        if same_request and call.message.key == intent.key:
            waiters = call.waiters
            del state.queue_by_step[call.message.step]
        self._context.turns.commit(state, turn, waiters, now)
        if call.message.step in state.queue_by_step:
            del state.queue_by_step[call.message.step]
            self._context.refuse_waiters(call, Reason.STEP_CONFLICT)
        return False

    def _start(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> None:
        """Log the call's intent or reservation, then queue it."""
        message = call.message
        reason = self._context.admission.set_cost_bound(state, call)
        if reason is not None:
            return self._context.refuse_active(state, call, reason)
        if not self._context.pool.has_usable_upstream(message.target, now):
            return self._context.refuse_active(state, call, Reason.NO_UPSTREAM)
        if not self._context.admission.repeatable(message):
            return self._append_intent(state, call, now)
        shortfall = call.cost_bound - state.available_allowance
        if shortfall <= 0:
            return self._context.attempts.submit(state, call, now)
        self.append_reserve(state, call, shortfall, now)

    def _append_intent(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> None:
        if not self._check_reservation(state, call, call.cost_bound):
            return
        call.enter(CallState.LOGGING, now)
        record = self._context.append(
            ownership.Intent,
            self._context.slot_of(state.program.id).number,
            program=state.program.id,
            step=call.message.step,
            key=call.message.key,
            request_digest=call.message.digest,
            amount=call.cost_bound,
        )
        self._context.add_verdict_callback(
            record, self._on_intent_verdict, state, call, record
        )

    def _on_intent_verdict(
        self,
        state: runtime.ProgramRuntime,
        call: runtime.Call,
        record: ownership.Intent,
        verdict: Verdict,
        now: float,
    ) -> None:
        if verdict.counted and call.abandoned:
            self._context.append(
                ownership.Abort,
                record.slot,
                program=record.program,
                intent_sequence=record.sequence,
            )
        elif verdict.counted:
            call.intent = (record.epoch, record.sequence)
            self._context.attempts.submit(state, call, now)
        elif not call.abandoned:
            self._refuse_by_verdict(state, call, verdict)
        if call.abandoned and state.active is call:
            state.active = None
        self.advance(state, now)

    def append_reserve(
        self,
        state: runtime.ProgramRuntime,
        call: runtime.Call,
        shortfall: int,
        now: float,
    ) -> None:
        """Log a reservation, then queue the call for an upstream."""
        if not self._check_reservation(state, call, shortfall):
            return
        service = self._context.configuration.services[state.program.service]
        ahead = (service.calls_ahead - 1) * call.cost_bound
        if not state.program.account.fits(shortfall + ahead):
            ahead = 0
        call.enter(CallState.LOGGING, now)
        record = self._context.append(
            ownership.Reserve,
            self._context.slot_of(state.program.id).number,
            program=state.program.id,
            amount=shortfall + ahead,
        )
        self._context.add_verdict_callback(
            record, self._on_reserve_verdict, state, call
        )

    def _on_reserve_verdict(
        self,
        state: runtime.ProgramRuntime,
        call: runtime.Call,
        verdict: Verdict,
        now: float,
    ) -> None:
        if call.abandoned:
            if state.active is call:
                state.active = None
        elif verdict.counted:
            self._context.attempts.submit(state, call, now)
        else:
            self._refuse_by_verdict(state, call, verdict)
        self.advance(state, now)

    def _check_reservation(
        self, state: runtime.ProgramRuntime, call: runtime.Call, amount: int
    ) -> bool:
        """Return whether ``amount`` can be reserved, else refuse the call."""
        if not state.program.account.fits(amount):
            self._context.refuse_active(state, call, Reason.OVER_BUDGET)
            return False
        if not self._context.log_up:
            self._context.refuse_active(state, call, Reason.LOG_UNAVAILABLE)
            return False
        return True

    def _refuse_by_verdict(
        self,
        state: runtime.ProgramRuntime,
        call: runtime.Call,
        verdict: Verdict,
    ) -> None:
        reason_by_verdict = {
            Verdict.OVER_BUDGET: Reason.OVER_BUDGET,
            Verdict.PROGRAM_ENDED: Reason.PROGRAM_ENDED,
            Verdict.KEY_USED: Reason.KEY_REUSED,
        }
        reason = reason_by_verdict.get(verdict)
        if reason is not None:
            return self._context.refuse_active(state, call, reason)
        state.active = None
        for to in call.waiters:
            self._context.reply_not_owner(
                self._context.slot_of(state.program.id), to
            )

    def expire(self, state: runtime.ProgramRuntime, now: float) -> None:
        """Refuse calls past their deadline or past ``log_timeout``."""
        for step, call in list(state.queue_by_step.items()):
            if now >= call.deadline:
                del state.queue_by_step[step]
                self._context.refuse_waiters(call, Reason.DEADLINE_EXCEEDED)
        call = state.active
        if call is None or call.abandoned:
            return
        waited = now - call.state_since
        if call.state is CallState.WAITING and now >= call.deadline:
            self._context.pool.withdraw(call.message.target, state.program.id)
            if call.intent is not None:
                self._context.attempts.append_abort(state, call)
            self._context.refuse_active(state, call, Reason.DEADLINE_EXCEEDED)
        elif call.state is CallState.LOGGING and (
            now >= call.deadline
            or (
                not self._context.log_up
                and waited > self._context.limits.log_timeout
            )
        ):
            # The record may still count.  This owner must then not dispatch
            # the call, as the refusal says that it did not run.
            call.abandoned = True
            self._context.refuse_waiters(call, Reason.LOG_UNAVAILABLE)

    def abandon_slot(self, number: int, now: float) -> None:
        """Redirect the waiters of a lost slot to its new owner.

        Running attempts continue, and the VM that runs one sends its turn
        to the new owner.  Turns already appended may still count.
        """
        slot = self._context.fold.slot_by_number[number]
        for program_id in slot.program_by_id:
            state = self._context.runtime_by_program.pop(program_id, None)
            if state is None:
                continue
            calls = list(state.queue_by_step.values())
            if state.active is not None:
                calls.append(state.active)
            for call in calls:
                self._abandon_call(state, call, now)
            state.active = None
            state.queue_by_step.clear()

    def _abandon_call(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> None:
        call.abandoned = True
        self._context.pool.withdraw(call.message.target, state.program.id)
        if call.state is CallState.RUNNING:
            self._context.attempts.release_upstream(call)
        for to in call.waiters:
            self._context.reply_not_owner(
                self._context.slot_of(state.program.id), to
            )
        call.waiters = []
