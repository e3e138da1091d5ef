"""Attempts of calls: queueing, grants, answers and retries."""

import dataclasses
import itertools
from typing import Any

from postspring.coordination import effects
from postspring.coordination import messages
from postspring.coordination import owner_context
from postspring.coordination import refusals
from postspring.coordination import runtime
from postspring.coordination import turns
from postspring import ownership
from postspring import programs
from postspring import scheduling

__all__ = ["AttemptFlow"]

Reason = refusals.RefusalReason
Ran = refusals.Ran
CallState = runtime.CallState


class AttemptFlow:
    """Grants attempts, records their answers, retries failed ones.

    Parameters
    ==========

    context : OwnerContext
        State that the parts of the owner share.
    """

    def __init__(self, context: owner_context.OwnerContext):
        self._context = context
        self._attempt_numbers = itertools.count(1)

    def submit(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> None:
        """Queue a call for an upstream; its cost is already reserved."""
        call.enter(CallState.WAITING, now)
        if call.attempt_count == 0:
            self._context.retry_budget.deposit()
        self._context.pool.submit(
            scheduling.WaitingCall(
                key=state.program.id,
                target=call.message.target,
                priority=state.program.priority,
                enqueued_at=now,
                last_upstream=self._last_upstream(state, call),
                excluded=call.excluded,
            )
        )

    def _last_upstream(
        self, state: runtime.ProgramRuntime, call: runtime.Call
    ) -> str:
        for turn in reversed(state.turns):
            if turn.target == call.message.target:
                return turn.upstream
        return ""

    def assign(self, now: float) -> None:
        """Grant attempts to the calls that the pool assigns."""
        for assignment in self._context.pool.assign(now):
            state = self._context.runtime_by_program.get(
                assignment.waiting_call.key
            )
            if state is None or state.active is None:
                self._context.pool.release(
                    assignment.upstream.id, failed=False, now=now
                )
                continue
            self._grant(state, state.active, assignment.upstream, now)

    def _grant(
        self,
        state: runtime.ProgramRuntime,
        call: runtime.Call,
        upstream: Any,
        now: float,
    ) -> None:
        call.attempt = next(self._attempt_numbers)
        call.attempt_count += 1
        call.upstream = upstream.id
        if call.message.kind is programs.CallKind.MODEL:
            engines = self._context.engines_by_program
            engines.setdefault(state.program.id, set()).add(upstream.id)
        call.enter(CallState.RUNNING, now)
        grant = self._build_grant(state, call, upstream)
        runner = self._choose_runner(call)
        call.runner = self._context.vm if runner is None else runner.vm
        if runner is None:
            self._context.effects.append(effects.RunAttempt(grant))
        else:
            call.waiters.remove(runner)
            self._context.reply(runner, grant)

    def _choose_runner(self, call: runtime.Call) -> effects.ReplyTo | None:
        """Return the waiter that runs the attempt, None for this VM.

        A model call runs on a VM that has a caller connected, as that VM
        streams the answer.  Calls of tools and services, whose answers are
        short, run on the owner's VM.
        """
        if call.message.kind is not programs.CallKind.MODEL:
            return None
        return call.waiters[0] if call.waiters else None

    def _build_grant(
        self, state: runtime.ProgramRuntime, call: runtime.Call, upstream: Any
    ) -> messages.Grant:
        message = call.message
        slot = self._context.slot_of(state.program.id)
        tip = state.tip
        epoch, sequence = call.intent or (None, None)
        fields = self._grant_fields(state, message)
        return messages.Grant(
            attempt=call.attempt,
            slot=slot.number,
            epoch=slot.epoch,
            program=state.program.id,
            step=message.step,
            parent=tip.digest,
            kind=message.kind,
            target=message.target,
            key=message.key,
            request=message.request,
            upstream=upstream.id,
            address=upstream.address,
            priority=state.program.priority,
            cost_bound=call.cost_bound,
            intent_epoch=epoch,
            intent_sequence=sequence,
            **fields,
        )

    def _grant_fields(
        self, state: runtime.ProgramRuntime, message: messages.CallProgram
    ) -> dict[str, Any]:
        service = self._context.configuration.services[state.program.service]
        if message.kind is programs.CallKind.MODEL:
            model = self._context.configuration.models[message.target]
            return {
                "prompt": turns.build_prompt(state.turns, message.request),
                "max_tokens": self._context.admission.max_tokens(message),
                "prompt_price": model.prompt_price,
                "completion_price": model.completion_price,
                "timeout_ms": int(service.call_timeout_seconds * 1000),
            }
        seconds = service.call_timeout_seconds
        price = 0
        if message.kind is programs.CallKind.TOOL:
            tool = self._context.configuration.tools[message.target]
            seconds = tool.timeout_seconds
            price = tool.price
        return {
            "prompt": message.request,
            "max_tokens": 0,
            "call_price": price,
            "timeout_ms": int(seconds * 1000),
        }

    def finish(
        self, message: messages.FinishAttempt, to: effects.ReplyTo, now: float
    ) -> None:
        """Record an attempt's turn, even one that a former owner granted."""
        turn = message.turn
        slot = self._context.slot_of(turn.program)
        state = self._context.state_of(turn.program)
        if state is None:
            return self._context.reply_not_owner(slot, to)
        call = self._running_call(message.attempt, state)
        if call is not None:
            self.release_upstream(call)
            state.active = None
            self._context.turns.commit(
                state,
                self._with_top_up(state, call, turn),
                [to, *call.waiters],
                now,
            )
            return self._context.calls.advance(state, now)
        if not self._context.turns.adopt(state, turn, now):
            return self._context.refuse(to, Reason.SUPERSEDED, ran=Ran.UNKNOWN)
        self._context.turns.answer(state, turn, to)

    def _with_top_up(
        self,
        state: runtime.ProgramRuntime,
        call: runtime.Call,
        turn: ownership.Turn,
    ) -> ownership.Turn:
        """Return the turn with a reservation for further calls added."""
        service = self._context.configuration.services.get(
            state.program.service
        )
        if call.intent is not None or service is None:
            return turn
        remaining = state.available_allowance - turn.cost
        top_up = max(0, service.calls_ahead * call.cost_bound - remaining)
        fits = state.program.account.fits(top_up)
        return dataclasses.replace(turn, top_up=top_up if fits else 0)

    def abandon_active(
        self, state: runtime.ProgramRuntime, call: runtime.Call
    ) -> None:
        """Give up the active call, without a reply to its waiters.

        A running attempt may still incur its cost, so its cost bound is
        added to ``lost_cost`` unless an intent reserves it.
        """
        if call.state is CallState.RUNNING:
            self.release_upstream(call)
            if call.intent is None:
                state.lost_cost += call.cost_bound
        else:
            call.abandoned = True
            self._context.pool.withdraw(call.message.target, state.program.id)
        state.active = None

    def lose(
        self, message: messages.LoseAttempt, to: effects.ReplyTo, now: float
    ) -> None:
        """Handle the report of a failed attempt."""
        state = self._context.state_of(message.program)
        if state is None:
            slot = self._context.slot_of(message.program)
            return self._context.reply_not_owner(slot, to)
        call = self._running_call(message.attempt, state)
        if call is None:
            turn = state.turn_at(message.step)
            if turn is not None:
                return self._context.turns.answer(state, turn, to)
            reason = Reason.SUPERSEDED
            if not state.program.live:
                reason = Reason.PROGRAM_ENDED
            return self._context.refuse(to, reason, ran=Ran.UNKNOWN)
        call.waiters.insert(0, to)
        self.attempt_lost(state, call, message.sent, "upstream_failed", now)

    def attempt_lost(
        self,
        state: runtime.ProgramRuntime,
        call: runtime.Call,
        sent: bool,
        reason: str,
        now: float,
    ) -> None:
        """Retry a failed attempt, or end its call if that is not possible."""
        self.release_upstream(call, failed=reason != "peer_lost", now=now)
        call.excluded = call.excluded | {call.upstream}
        if call.intent is not None and sent:
            return self._record_unknown(state, call, now)
        call.enter(CallState.QUEUED, now)
        if sent:
            call.may_have_run = True
            state.lost_cost += call.cost_bound
        if not call.waiters and call.intent is None:
            state.active = None
            return self._context.calls.advance(state, now)
        if not self._may_retry(state, call, now):
            if call.intent is not None:
                self.append_abort(state, call)
            return self._context.refuse_active(
                state, call, Reason.UPSTREAM_FAILED
            )
        self._context.retries_by_reason[reason] += 1
        shortfall = call.cost_bound - state.available_allowance
        if call.intent is not None or shortfall <= 0:
            return self.submit(state, call, now)
        self._context.calls.append_reserve(state, call, shortfall, now)

    def _may_retry(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> bool:
        if (
            call.attempt_count >= self._context.limits.max_attempts
            or now >= call.deadline
        ):
            return False
        if not self._context.pool.has_usable_upstream(
            call.message.target, now
        ):
            return False
        untried = [
            upstream
            for upstream in self._context.pool.upstream_by_id.values()
            if call.message.target in upstream.serves
            and upstream.id not in call.excluded
        ]
        if not untried:
            call.excluded = frozenset()
        return self._context.retry_budget.take()

    def _record_unknown(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> None:
        slot = self._context.slot_of(state.program.id)
        if state.program.open_intent is None:
            return self._context.refuse_active(state, call, Reason.SUPERSEDED)
        turn = turns.abandoned_intent_turn(
            slot, state.program, call.message.request
        )
        turn = dataclasses.replace(
            turn,
            kind=call.message.kind,
            target=call.message.target,
            upstream=call.upstream,
        )
        state.active = None
        self._context.turns.commit(state, turn, call.waiters, now)
        self._context.calls.advance(state, now)

    def append_abort(
        self, state: runtime.ProgramRuntime, call: runtime.Call
    ) -> None:
        """Append that the call of an intent is never dispatched."""
        self._context.append(
            ownership.Abort,
            self._context.slot_of(state.program.id).number,
            program=state.program.id,
            intent_sequence=call.intent[1],
        )

    def _running_call(
        self, attempt: int, state: runtime.ProgramRuntime
    ) -> runtime.Call | None:
        call = state.active
        if call is None or call.attempt != attempt:
            return None
        return call if call.state is CallState.RUNNING else None

    def release_upstream(
        self, call: runtime.Call, *, failed: bool = False, now: float = 0.0
    ) -> None:
        """Free the place that an attempt occupies at its upstream.

        ``now`` is needed only for a failed attempt.
        """
        self._context.pool.release(call.upstream, failed=failed, now=now)
