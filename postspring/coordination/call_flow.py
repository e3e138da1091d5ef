"""Calls at their owner, from the request to the log."""

from postspring.coordination import desk
from postspring.coordination import effects
from postspring.coordination import limits
from postspring.coordination import messages
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
    """Takes calls, keeps them in order, and secures them in the log.

    Parameters
    ==========

    shared : OwnerDesk
        What the parts of an owner share.
    """

    def __init__(self, shared: desk.OwnerDesk):
        self._desk = shared

    def call(
        self, message: messages.CallProgram, to: effects.ReplyTo, now: float
    ) -> None:
        """Answer a call from history, refuse it, or put it in its place."""
        state = self._desk.find(message.program, to)
        if state is None:
            return
        self._desk.active_at_by_program[message.program] = now
        for receipt in message.receipts:
            self._desk.turns.adopt(state, receipt, now)
        if self._answer_from_history(state, message, to, now):
            return
        fault = self._desk.admission.fault(state, message)
        if fault is Reason.TOO_MANY_CALLS and self._desk.log_up:
            self._desk.lifecycle.append_end(
                state, programs.EndReason.TOO_MANY_CALLS, None
            )
        if fault is not None:
            return self._desk.refuse(
                to,
                fault,
                self._desk.admission.ran_before(state, message),
                limits.retry_for(fault),
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
        """Give a repeated call its first answer; return whether it is one."""
        if message.key:
            turn = state.turn_with_key(message.key)
            if turn is not None:
                if turn.request_digest != message.digest:
                    self._desk.refuse(to, Reason.KEY_REUSED)
                else:
                    self._desk.turns.answer(state, turn, to)
                return True
        turn = state.turn_at(message.step)
        if turn is None:
            return False
        same_parent = message.parent in (None, turn.parent)
        same_key = not message.key or message.key == turn.key
        if turn.request_digest == message.digest and same_parent and same_key:
            self._desk.turns.answer(state, turn, to)
        else:
            self._desk.refuse(to, Reason.STEP_CONFLICT)
        return True

    def _join(
        self,
        state: runtime.ProgramRuntime,
        message: messages.CallProgram,
        to: effects.ReplyTo,
    ) -> bool:
        """Attach a repeated request to the same call, if it is under way."""
        call = state.queue_by_step.get(message.step)
        if call is None and state.active is not None:
            if state.active.message.step == message.step:
                call = state.active
        if call is None:
            return False
        same_key = call.message.key == message.key
        if call.abandoned:
            self._desk.refuse_log(to)
        elif call.message.digest != message.digest or not same_key:
            self._desk.refuse(to, Reason.STEP_CONFLICT)
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
            return self._desk.refuse_all(call, Reason.PARENT_MISMATCH)
        state.active = call
        self._start(state, call, now)

    def _intent_cleared(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> bool:
        """Return whether no open intent stands before the call.

        A former owner's open intent is closed as unknown once its outcome
        had time to come in; whoever asks for that call gets that answer.
        """
        intent = state.program.open_intent
        if intent is None or state.pending:
            return intent is None
        slot = self._desk.slot_of(state.program.id)
        if intent.epoch == slot.epoch:
            return False
        claimed_at = self._desk.claimed_at_by_slot.get(slot.number, 0.0)
        if now < claimed_at + self._desk.limits.outcome_grace:
            return False
        same = call.message.digest == intent.request_digest
        turn = turns.abandoned_intent_turn(
            slot, state.program, call.message.request if same else b"{}"
        )
        waiters = []
        if same and call.message.key == intent.key:
            waiters = call.waiters
            del state.queue_by_step[call.message.step]
        self._desk.turns.commit(state, turn, waiters, now)
        if call.message.step in state.queue_by_step:
            del state.queue_by_step[call.message.step]
            self._desk.refuse_all(call, Reason.STEP_CONFLICT)
        return False

    def _start(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> None:
        """Secure what the call needs in the log, then let it wait its turn."""
        message = call.message
        fault = self._desk.admission.price(state, call)
        if fault is not None:
            return self._desk.drop(state, call, fault)
        if not self._desk.pool.usable(message.target, now):
            return self._desk.drop(state, call, Reason.NO_UPSTREAM)
        if not self._desk.admission.repeatable(message):
            return self._log_intent(state, call, now)
        short = call.bound - state.spendable
        if short <= 0:
            return self._desk.attempts.submit(state, call, now)
        self.log_reserve(state, call, short, now)

    def _log_intent(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> None:
        if not self._log_usable(state, call, call.bound):
            return
        call.enter(CallState.LOGGING, now)
        record = self._desk.append(
            ownership.Intent,
            self._desk.slot_of(state.program.id).number,
            program=state.program.id,
            step=call.message.step,
            key=call.message.key,
            request_digest=call.message.digest,
            amount=call.bound,
        )
        self._desk.on_verdict(record, self._intent_judged, state, call, record)

    def _intent_judged(
        self,
        state: runtime.ProgramRuntime,
        call: runtime.Call,
        record: ownership.Intent,
        verdict: Verdict,
        now: float,
    ) -> None:
        if verdict.counted and call.abandoned:
            self._desk.append(
                ownership.Abort,
                record.slot,
                program=record.program,
                intent_sequence=record.sequence,
            )
        elif verdict.counted:
            call.intent = (record.epoch, record.sequence)
            self._desk.attempts.submit(state, call, now)
        elif not call.abandoned:
            self._logging_failed(state, call, verdict)
        if call.abandoned and state.active is call:
            state.active = None
        self.advance(state, now)

    def log_reserve(
        self,
        state: runtime.ProgramRuntime,
        call: runtime.Call,
        short: int,
        now: float,
    ) -> None:
        """Reserve money in the log, then let the call wait its turn."""
        if not self._log_usable(state, call, short):
            return
        service = self._desk.configuration.services[state.program.service]
        ahead = (service.calls_ahead - 1) * call.bound
        if not state.program.account.fits(short + ahead):
            ahead = 0
        call.enter(CallState.LOGGING, now)
        record = self._desk.append(
            ownership.Reserve,
            self._desk.slot_of(state.program.id).number,
            program=state.program.id,
            amount=short + ahead,
        )
        self._desk.on_verdict(record, self._reserve_judged, state, call)

    def _reserve_judged(
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
            self._desk.attempts.submit(state, call, now)
        else:
            self._logging_failed(state, call, verdict)
        self.advance(state, now)

    def _log_usable(
        self, state: runtime.ProgramRuntime, call: runtime.Call, amount: int
    ) -> bool:
        """Return whether ``amount`` can be reserved; drop the call if not."""
        if not state.program.account.fits(amount):
            self._desk.drop(state, call, Reason.OVER_BUDGET)
            return False
        if not self._desk.log_up:
            self._desk.drop(state, call, Reason.LOG_UNAVAILABLE)
            return False
        return True

    def _logging_failed(
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
            return self._desk.drop(state, call, reason)
        state.active = None
        for to in call.waiters:
            self._desk.reply_not_owner(
                self._desk.slot_of(state.program.id), to
            )

    def expire(self, state: runtime.ProgramRuntime, now: float) -> None:
        """Refuse calls whose deadline has passed or that the log stalls."""
        for step, call in list(state.queue_by_step.items()):
            if now >= call.deadline:
                del state.queue_by_step[step]
                self._desk.refuse_all(call, Reason.DEADLINE_EXCEEDED)
        call = state.active
        if call is None or call.abandoned:
            return
        waited = now - call.state_since
        if call.state is CallState.WAITING and now >= call.deadline:
            self._desk.pool.withdraw(call.message.target, state.program.id)
            if call.intent is not None:
                self._desk.attempts.append_abort(state, call)
            self._desk.drop(state, call, Reason.DEADLINE_EXCEEDED)
        elif call.state is CallState.LOGGING and (
            now >= call.deadline
            or (
                not self._desk.log_up
                and waited > self._desk.limits.log_timeout
            )
        ):
            # Its record may still count, but this owner never dispatches
            # it: only so may the caller be told that it did not run.
            call.abandoned = True
            self._desk.refuse_all(call, Reason.LOG_UNAVAILABLE)

    def leave_slot(self, number: int, now: float) -> None:
        """Send everyone who waits for a slot that was lost to its owner.

        Attempts under way go on: whoever runs one hands its turn to the
        new owner.  Turns that were appended are still judged.
        """
        slot = self._desk.fold.slot_by_number[number]
        for program_id in slot.program_by_id:
            state = self._desk.runtime_by_program.pop(program_id, None)
            if state is None:
                continue
            calls = list(state.queue_by_step.values())
            if state.active is not None:
                calls.append(state.active)
            for call in calls:
                self._leave_call(state, call, now)
            state.active = None
            state.queue_by_step.clear()

    def _leave_call(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> None:
        call.abandoned = True
        self._desk.pool.withdraw(call.message.target, state.program.id)
        if call.state is CallState.RUNNING:
            self._desk.attempts.forget(call)
        for to in call.waiters:
            self._desk.reply_not_owner(
                self._desk.slot_of(state.program.id), to
            )
        call.waiters = []
