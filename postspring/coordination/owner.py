"""The owner: decides what the calls of its programs may do, and when.

Pure: requests, verdicts of the log and the time go in, typed effects come
out.  The same class runs in the daemon and in the scenarios.
"""

import collections
from collections.abc import Callable
import dataclasses
import functools
from typing import Any

from postspring import configuration
from postspring.coordination import effects
from postspring.coordination import messages
from postspring.coordination import pricing
from postspring.coordination import refusals
from postspring.coordination import runtime
from postspring.coordination import turns
from postspring import identifiers
from postspring import ownership
from postspring import programs
from postspring import scheduling

__all__ = ["Owner", "OwnerLimits"]

Reason = refusals.RefusalReason
Ran = refusals.Ran
Verdict = ownership.Verdict
CallState = runtime.CallState


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerLimits:
    """Bounds and delays of an owner; times in seconds.

    Parameters
    ==========

    queue_window : int
        How many steps ahead of the tip a call may wait.
    max_attempts : int
        Attempts of one call, the first included.
    hold_after : float
        A turn that is not in the log by then is answered as held.
    log_patience : float
        A call that waits for the log that long is refused as not run.
    outcome_grace : float
        How long after a claim a former owner's outcome may still come in
        before its open intent is closed as unknown.
    held_bytes : int
        Bytes of turns that may be pending before calls are refused.
    """

    queue_window: int = 8
    max_attempts: int = 3
    hold_after: float = 1.0
    log_patience: float = 1.0
    outcome_grace: float = 1.0
    held_bytes: int = 8 * 1024 * 1024


class Owner:
    """Serves the programs of the slots that one VM owns.

    Explanation
    ===========

    The host feeds requests to :meth:`receive`, every record that the fold
    judged to :meth:`on_record`, and the time to :meth:`tick`; after each it
    carries out what :meth:`take_effects` returns.

    Parameters
    ==========

    vm, incarnation : str
        This VM, and this start of it.
    data_center : str
        The data centre whose slots these are.
    fold : StreamFold
        The slots as the log tells them.
    pool : UpstreamPool
        Upstreams and the calls that wait for them.
    limits : OwnerLimits
        Bounds and delays.
    """

    def __init__(
        self,
        vm: str,
        incarnation: str,
        data_center: str,
        fold: ownership.StreamFold,
        pool: scheduling.UpstreamPool,
        limits: OwnerLimits = OwnerLimits(),
    ):
        self.vm = vm
        self.incarnation = incarnation
        self.data_center = data_center
        self.fold = fold
        self.pool = pool
        self.limits = limits
        self.retry_budget = scheduling.RetryBudget()
        self.configuration = configuration.Configuration()
        self.log_up = True
        self.held_bytes = 0
        self.retries_by_reason: collections.Counter = collections.Counter()
        self._effects: list[effects.Effect] = []
        self._runtime_by_program: dict[str, runtime.ProgramRuntime] = {}
        self._program_by_attempt: dict[int, str] = {}
        self._sequence_by_slot: dict[int, tuple[int, int]] = {}
        self._claimed_at_by_slot: dict[int, float] = {}
        self._on_verdict_by_identity: dict[tuple, Callable] = {}
        self._next_attempt = 0

    # -- inputs ---------------------------------------------------------

    def receive(self, message: Any, to: effects.ReplyTo, now: float) -> None:
        """Handle a request; exactly one reply to it follows, in time."""
        self._handle(message, to, now)
        self._assign(now)

    def on_record(self, record: Any, verdict: Verdict, now: float) -> None:
        """Take note of a record of this stream and the fold's verdict."""
        if isinstance(record, ownership.Claim) and verdict.counted:
            self._claimed_at_by_slot[record.slot] = now
            if record.incarnation != self.incarnation:
                self._leave_slot(record.slot, now)
        callback = self._on_verdict_by_identity.pop(record.identity, None)
        if callback is not None:
            callback(verdict, now)
        elif isinstance(record, ownership.Turn) and verdict.counted:
            self._on_foreign_turn(record, now)
        self._assign(now)

    def on_peer_lost(self, vm: str, now: float) -> None:
        """Take note that a VM is gone with the attempts it was running."""
        for state in list(self._runtime_by_program.values()):
            call = state.active
            if call is not None and call.runner == vm:
                call.waiters = [to for to in call.waiters if to.vm != vm]
                self._attempt_lost(state, call, True, "peer_lost", now)
        self._assign(now)

    def tick(self, now: float) -> None:
        """Apply deadlines; call it some times a second."""
        for state in list(self._runtime_by_program.values()):
            self._hold_turns(state, now)
            self._expire_calls(state, now)
            self._advance(state, now)
            if state.idle and not state.lost_cost:
                del self._runtime_by_program[state.program.id]
        self._assign(now)

    def take_effects(self) -> list[effects.Effect]:
        """Return what the host has to do now, and forget it."""
        taken = self._effects
        self._effects = []
        return taken

    def release_slot(self, slot: int, successor: str | None) -> bool:
        """Hand a slot over if nothing of it is in flight.

        Returns whether the release was appended.
        """
        charges = {}
        for program_id in self.fold.slot_by_number[slot].program_by_id:
            state = self._runtime_by_program.get(program_id)
            if state is None:
                continue
            if not state.idle:
                return False
            charges[program_id] = state.lost_cost
            state.lost_cost = 0
        self._append(
            ownership.Release,
            slot,
            successor=successor,
            charge_by_program=charges,
        )
        return True

    @property
    def busy_calls(self) -> int:
        """Number of calls that are queued, active or pending here."""
        return sum(
            len(state.queue_by_step)
            + (state.active is not None)
            + len(state.pending)
            for state in self._runtime_by_program.values()
        )

    # -- requests ---------------------------------------------------------

    @functools.singledispatchmethod
    def _handle(self, message: Any, to: effects.ReplyTo, now: float) -> None:
        self._refuse(to, Reason.BAD_REQUEST, detail="not a request")

    @_handle.register
    def _create(
        self, message: messages.CreateProgram, to: effects.ReplyTo, now: float
    ) -> None:
        slot = self.fold.slot_by_number.get(message.slot)
        if not self._owns(slot):
            return self._reply_not_owner(slot, to)
        known = slot.program_by_create_key.get(message.key)
        if message.key and known is not None:
            return self._reply(to, messages.ProgramCreated(program=known))
        service = self.configuration.services.get(message.service)
        fault = self._creation_fault(slot, message, service)
        if fault is not None:
            return self._refuse(to, fault)
        if not self.log_up:
            return self._refuse_log(to)
        budget = message.budget
        if budget is None and message.parent is None:
            budget = service.default_budget
        priority = message.priority
        if priority is None:
            priority = service.priority
        record = self._append(
            ownership.Create,
            message.slot,
            program=identifiers.new_program_id(self.data_center, message.slot),
            service=message.service,
            priority=priority,
            budget=budget,
            parent=message.parent,
            key=message.key,
        )
        self._on_verdict(record, self._created, record, to)

    def _creation_fault(
        self,
        slot: ownership.SlotState,
        message: messages.CreateProgram,
        service: configuration.Service | None,
    ) -> Reason | None:
        if service is None:
            return Reason.UNKNOWN_SERVICE
        if message.budget is not None and message.budget > service.max_budget:
            return Reason.BUDGET_TOO_LARGE
        if message.parent is None:
            return None
        parent = slot.program_by_id.get(message.parent)
        if parent is None:
            return Reason.UNKNOWN_PROGRAM
        return None if parent.live else Reason.PROGRAM_ENDED

    def _created(
        self,
        record: ownership.Create,
        to: effects.ReplyTo,
        verdict: Verdict,
        now: float,
    ) -> None:
        slot = self.fold.slot_by_number[record.slot]
        if verdict.counted:
            created = messages.ProgramCreated(program=record.program)
            self._reply(to, created)
        elif verdict is Verdict.KEY_USED:
            known = slot.program_by_create_key[record.key]
            self._reply(to, messages.ProgramCreated(program=known))
        elif verdict is Verdict.PROGRAM_ENDED:
            self._refuse(to, Reason.PROGRAM_ENDED)
        else:
            self._reply_not_owner(slot, to)

    @_handle.register
    def _read(
        self, message: messages.ReadProgram, to: effects.ReplyTo, now: float
    ) -> None:
        found = self._find(message.program, to)
        if found is not None:
            self._reply(to, self._view(found, message))

    def _view(
        self, state: runtime.ProgramRuntime, message: messages.ReadProgram
    ) -> messages.ProgramView:
        program = state.program
        slot = self._slot_of(program.id)
        first = max(message.from_step, 1) - 1
        page = state.turns[first : first + max(message.limit, 0)]
        return messages.ProgramView(
            program=program.id,
            service=program.service,
            priority=program.priority,
            parent=program.parent,
            status=program.status,
            end_reason=program.end_reason,
            owner=self.vm,
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

    @_handle.register
    def _end(
        self, message: messages.EndProgram, to: effects.ReplyTo, now: float
    ) -> None:
        found = self._find(message.program, to)
        if found is None:
            return
        program = found.program
        if not program.live:
            ended = messages.ProgramEnded(
                program=program.id, spent=program.account.spent
            )
            return self._reply(to, ended)
        if not self.log_up:
            return self._refuse_log(to)
        self._append_end(found, message.reason, to)

    def _append_end(
        self,
        state: runtime.ProgramRuntime,
        reason: programs.EndReason,
        to: effects.ReplyTo | None,
    ) -> None:
        slot = self._slot_of(state.program.id)
        for member in slot.tree(state.program.id):
            self._cancel_calls(member.id)
        record = self._append(
            ownership.End,
            slot.number,
            program=state.program.id,
            reason=reason,
            charge=state.lost_cost,
        )
        self._on_verdict(record, self._ended, record, to)

    def _ended(
        self,
        record: ownership.End,
        to: effects.ReplyTo | None,
        verdict: Verdict,
        now: float,
    ) -> None:
        slot = self.fold.slot_by_number[record.slot]
        if to is None:
            return
        if verdict.counted or verdict is Verdict.PROGRAM_ENDED:
            account = slot.program_by_id[record.program].account
            ended = messages.ProgramEnded(
                program=record.program, spent=account.spent
            )
            self._reply(to, ended)
        else:
            self._reply_not_owner(slot, to)

    def _cancel_calls(self, program_id: str) -> None:
        """Stop every call of a program that is about to end."""
        state = self._runtime_by_program.get(program_id)
        if state is None:
            return
        for call in state.queue_by_step.values():
            self._refuse_all(call, Reason.PROGRAM_ENDED)
        state.queue_by_step.clear()
        call = state.active
        if call is None:
            return
        if call.state is CallState.RUNNING:
            self._effects.append(
                effects.CancelAttempt(call.runner, program_id, call.attempt)
            )
            self._forget_attempt(call, failed=False, now=0.0)
            if call.intent is None:
                state.lost_cost += call.bound
            self._refuse_all(call, Reason.PROGRAM_ENDED)
        else:
            self.pool.withdraw(call.message.target, program_id)
            call.abandoned = True
            self._refuse_all(call, Reason.PROGRAM_ENDED)
        state.active = None

    # -- calls ------------------------------------------------------------

    @_handle.register
    def _call(
        self, message: messages.CallProgram, to: effects.ReplyTo, now: float
    ) -> None:
        state = self._find(message.program, to)
        if state is None:
            return
        for receipt in message.receipts:
            self._adopt_turn(state, receipt, now)
        if self._answer_from_history(state, message, to, now):
            return
        fault = self._call_fault(state, message)
        if fault is Reason.TOO_MANY_CALLS and self.log_up:
            self._append_end(state, programs.EndReason.TOO_MANY_CALLS, None)
        if fault is not None:
            return self._refuse(to, fault, retry_after_ms=_retry_for(fault))
        if self._join(state, message, to):
            return
        call = runtime.Call(
            message, [to], deadline=now + message.timeout_ms / 1000
        )
        state.queue_by_step[message.step] = call
        self._advance(state, now)

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
                    self._refuse(to, Reason.KEY_REUSED)
                else:
                    self._answer_turn(state, turn, to)
                return True
        turn = state.turn_at(message.step)
        if turn is None:
            return False
        same_parent = message.parent in (None, turn.parent)
        same_key = not message.key or message.key == turn.key
        if turn.request_digest == message.digest and same_parent and same_key:
            self._answer_turn(state, turn, to)
        else:
            self._refuse(to, Reason.STEP_CONFLICT)
        return True

    def _answer_turn(
        self,
        state: runtime.ProgramRuntime,
        turn: ownership.Turn,
        to: effects.ReplyTo,
    ) -> None:
        pending = state.pending_turn(turn.digest)
        if pending is None or pending.held:
            held = pending is not None
            self._reply(to, messages.CallAnswered(turn=turn, held=held))
        else:
            pending.waiters.append(to)

    def _call_fault(
        self, state: runtime.ProgramRuntime, message: messages.CallProgram
    ) -> Reason | None:
        """Return why a call can't be taken at all, or None."""
        program = state.program
        tip = state.tip
        if not program.live:
            return Reason.PROGRAM_ENDED
        if message.service not in ("", program.service):
            return Reason.NOT_PERMITTED
        if message.step > tip.step + 1 + self.limits.queue_window:
            return Reason.STEP_GAP
        follows = message.step == tip.step + 1
        if follows and message.parent not in (None, tip.digest):
            return Reason.PARENT_MISMATCH
        if self.held_bytes > self.limits.held_bytes:
            return Reason.HELD_TURNS_FULL
        service = self.configuration.services.get(program.service)
        if service is None:
            return Reason.UNKNOWN_SERVICE
        if message.step > service.max_calls:
            return Reason.TOO_MANY_CALLS
        if not self._permitted(service, message):
            return Reason.UNKNOWN_TARGET
        if self.pool.full(message.target):
            return Reason.OVERLOADED
        return None

    def _permitted(
        self,
        service: configuration.Service,
        message: messages.CallProgram,
    ) -> bool:
        targets_by_kind = {
            programs.CallKind.MODEL: service.models,
            programs.CallKind.TOOL: service.tools,
            programs.CallKind.SERVICE: service.plain,
        }
        return message.target in targets_by_kind[message.kind]

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
            self._refuse_log(to)
        elif call.message.digest != message.digest or not same_key:
            self._refuse(to, Reason.STEP_CONFLICT)
        else:
            call.waiters.append(to)
        return True

    def _advance(self, state: runtime.ProgramRuntime, now: float) -> None:
        """Start the next call in order if none is active."""
        if state.active is not None or not state.program.live:
            return
        call = state.queue_by_step.get(state.tip.step + 1)
        if call is None or not self._intent_cleared(state, call, now):
            return
        del state.queue_by_step[call.message.step]
        if call.message.parent not in (None, state.tip.digest):
            return self._refuse_all(call, Reason.PARENT_MISMATCH)
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
        slot = self._slot_of(state.program.id)
        if intent.epoch == slot.epoch:
            return False
        claimed_at = self._claimed_at_by_slot.get(slot.number, 0.0)
        if now < claimed_at + self.limits.outcome_grace:
            return False
        same = call.message.digest == intent.request_digest
        turn = turns.abandoned_intent_turn(
            slot, state.program, call.message.request if same else b"{}"
        )
        waiters = []
        if same and call.message.key == intent.key:
            waiters = call.waiters
            del state.queue_by_step[call.message.step]
        self._commit(state, turn, waiters, now)
        if call.message.step in state.queue_by_step:
            del state.queue_by_step[call.message.step]
            self._refuse_all(call, Reason.STEP_CONFLICT)
        return False

    def _start(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> None:
        """Secure what the call needs in the log, then let it wait its turn."""
        message = call.message
        fault = self._price(state, call)
        if fault is not None:
            return self._drop(state, call, fault)
        if not self.pool.usable(message.target, now):
            return self._drop(state, call, Reason.NO_UPSTREAM)
        if not self._repeatable(message):
            return self._log_intent(state, call, now)
        short = call.bound - state.spendable
        if short <= 0:
            return self._submit(state, call, now)
        self._log_reserve(state, call, short, now)

    def _price(
        self, state: runtime.ProgramRuntime, call: runtime.Call
    ) -> Reason | None:
        """Set the call's worst case; return why it can't be run, or None."""
        message = call.message
        if message.kind is programs.CallKind.TOOL:
            call.bound = self.configuration.tools[message.target].price
        if message.kind is not programs.CallKind.MODEL:
            return None
        model = self.configuration.models[message.target]
        tokens = pricing.prompt_token_bound(state.turns, message.request)
        max_tokens = self._max_tokens(message)
        if tokens + max_tokens > model.context_tokens:
            return Reason.CONTEXT_TOO_LONG
        call.bound = pricing.worst_case(model, tokens, max_tokens)
        return None

    def _max_tokens(self, message: messages.CallProgram) -> int:
        model = self.configuration.models[message.target]
        return min(message.max_tokens or model.max_tokens, model.max_tokens)

    def _repeatable(self, message: messages.CallProgram) -> bool:
        if message.kind is programs.CallKind.TOOL:
            tool = self.configuration.tools[message.target]
            return message.repeatable and tool.repeatable
        return message.repeatable

    def _log_intent(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> None:
        if not self._log_usable(state, call, call.bound):
            return
        self._set_state(call, CallState.LOGGING, now)
        record = self._append(
            ownership.Intent,
            self._slot_of(state.program.id).number,
            program=state.program.id,
            step=call.message.step,
            key=call.message.key,
            request_digest=call.message.digest,
            amount=call.bound,
        )
        self._on_verdict(record, self._intent_judged, state, call, record)

    def _intent_judged(
        self,
        state: runtime.ProgramRuntime,
        call: runtime.Call,
        record: ownership.Intent,
        verdict: Verdict,
        now: float,
    ) -> None:
        if verdict.counted and call.abandoned:
            self._append(
                ownership.Abort,
                record.slot,
                program=record.program,
                intent_sequence=record.sequence,
            )
        elif verdict.counted:
            call.intent = (record.epoch, record.sequence)
            self._submit(state, call, now)
        elif not call.abandoned:
            self._logging_failed(state, call, verdict)
        if call.abandoned and state.active is call:
            state.active = None
        self._advance(state, now)

    def _log_reserve(
        self,
        state: runtime.ProgramRuntime,
        call: runtime.Call,
        short: int,
        now: float,
    ) -> None:
        if not self._log_usable(state, call, short):
            return
        ahead = (
            call.bound if state.program.account.fits(short + call.bound) else 0
        )
        self._set_state(call, CallState.LOGGING, now)
        record = self._append(
            ownership.Reserve,
            self._slot_of(state.program.id).number,
            program=state.program.id,
            amount=short + ahead,
        )
        self._on_verdict(record, self._reserve_judged, state, call)

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
            self._submit(state, call, now)
        else:
            self._logging_failed(state, call, verdict)
        self._advance(state, now)

    def _log_usable(
        self, state: runtime.ProgramRuntime, call: runtime.Call, amount: int
    ) -> bool:
        """Return whether ``amount`` can be reserved; drop the call if not."""
        if not state.program.account.fits(amount):
            self._drop(state, call, Reason.OVER_BUDGET)
            return False
        if not self.log_up:
            self._drop(state, call, Reason.LOG_UNAVAILABLE)
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
            return self._drop(state, call, reason)
        state.active = None
        for to in call.waiters:
            self._reply_not_owner(self._slot_of(state.program.id), to)

    # -- attempts -----------------------------------------------------------

    def _submit(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> None:
        self._set_state(call, CallState.WAITING, now)
        if call.attempts == 0:
            self.retry_budget.deposit()
        self.pool.submit(
            scheduling.Ticket(
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

    def _assign(self, now: float) -> None:
        for assignment in self.pool.assign(now):
            state = self._runtime_by_program.get(assignment.ticket.key)
            if state is None or state.active is None:
                self.pool.release(
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
        self._next_attempt += 1
        call.attempt = self._next_attempt
        call.attempts += 1
        call.upstream = upstream.id
        self._program_by_attempt[call.attempt] = state.program.id
        self._set_state(call, CallState.RUNNING, now)
        grant = self._build_grant(state, call, upstream)
        runner = self._choose_runner(call)
        call.runner = self.vm if runner is None else runner.vm
        if runner is None:
            self._effects.append(effects.Run(grant))
        else:
            call.waiters.remove(runner)
            self._reply(runner, grant)

    def _choose_runner(self, call: runtime.Call) -> effects.ReplyTo | None:
        """Return the waiter that runs the attempt, None for this VM.

        Model answers stream through the VM that has the caller; short
        answers of tools and services come to the owner.
        """
        if call.message.kind is not programs.CallKind.MODEL:
            return None
        return call.waiters[0] if call.waiters else None

    def _build_grant(
        self, state: runtime.ProgramRuntime, call: runtime.Call, upstream: Any
    ) -> messages.Grant:
        message = call.message
        slot = self._slot_of(state.program.id)
        tip = state.tip
        epoch, sequence = call.intent or (None, None)
        fields = self._grant_for_kind(state, message)
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
            cost_bound=call.bound,
            intent_epoch=epoch,
            intent_sequence=sequence,
            **fields,
        )

    def _grant_for_kind(
        self, state: runtime.ProgramRuntime, message: messages.CallProgram
    ) -> dict[str, Any]:
        service = self.configuration.services[state.program.service]
        if message.kind is programs.CallKind.MODEL:
            model = self.configuration.models[message.target]
            return {
                "prompt": turns.build_prompt(state.turns, message.request),
                "max_tokens": self._max_tokens(message),
                "prompt_price": model.prompt_price,
                "completion_price": model.completion_price,
                "timeout_ms": int(service.call_timeout_seconds * 1000),
            }
        seconds = service.call_timeout_seconds
        price = 0
        if message.kind is programs.CallKind.TOOL:
            tool = self.configuration.tools[message.target]
            seconds = tool.timeout_seconds
            price = tool.price
        return {
            "prompt": message.request,
            "max_tokens": 0,
            "call_price": price,
            "timeout_ms": int(seconds * 1000),
        }

    @_handle.register
    def _finish(
        self, message: messages.FinishAttempt, to: effects.ReplyTo, now: float
    ) -> None:
        turn = message.turn
        slot = self._slot_of(turn.program)
        state = self._state_of(turn.program)
        if state is None:
            return self._reply_not_owner(slot, to)
        call = self._attempt_of(message.attempt, state)
        if call is not None:
            self._forget_attempt(call, failed=False, now=now)
            state.active = None
            self._commit(
                state,
                self._with_top_up(state, call, turn),
                [to, *call.waiters],
                now,
            )
            return self._advance(state, now)
        if not self._adopt_turn(state, turn, now):
            return self._refuse(to, Reason.SUPERSEDED, ran=Ran.UNKNOWN)
        self._answer_turn(state, turn, to)

    def _with_top_up(
        self,
        state: runtime.ProgramRuntime,
        call: runtime.Call,
        turn: ownership.Turn,
    ) -> ownership.Turn:
        """Return the turn with money reserved ahead for the next call."""
        if call.intent is not None:
            return turn
        left = state.spendable - turn.cost
        top_up = max(0, 2 * call.bound - left)
        fits = state.program.account.fits(top_up)
        return dataclasses.replace(turn, top_up=top_up if fits else 0)

    @_handle.register
    def _lose(
        self, message: messages.LoseAttempt, to: effects.ReplyTo, now: float
    ) -> None:
        state = self._state_of(message.program)
        if state is None:
            slot = self._slot_of(message.program)
            return self._reply_not_owner(slot, to)
        call = self._attempt_of(message.attempt, state)
        if call is None:
            turn = state.turn_at(message.step)
            if turn is not None:
                return self._answer_turn(state, turn, to)
            return self._refuse(to, Reason.SUPERSEDED, ran=Ran.UNKNOWN)
        call.waiters.insert(0, to)
        self._attempt_lost(state, call, message.sent, "upstream_failed", now)

    def _attempt_lost(
        self,
        state: runtime.ProgramRuntime,
        call: runtime.Call,
        sent: bool,
        reason: str,
        now: float,
    ) -> None:
        """Retry a broken attempt, or answer that its outcome is unknown."""
        self._forget_attempt(call, failed=reason != "peer_lost", now=now)
        call.excluded = call.excluded | {call.upstream}
        if call.intent is not None and sent:
            return self._outcome_unknown(state, call, now)
        self._set_state(call, CallState.QUEUED, now)
        if sent:
            call.may_have_run = True
            state.lost_cost += call.bound
        if not call.waiters and call.intent is None:
            state.active = None
            return self._advance(state, now)
        if not self._may_retry(state, call, now):
            if call.intent is not None:
                self._append_abort(state, call)
            return self._drop(state, call, Reason.UPSTREAM_FAILED)
        self.retries_by_reason[reason] += 1
        short = call.bound - state.spendable
        if call.intent is not None or short <= 0:
            return self._submit(state, call, now)
        self._log_reserve(state, call, short, now)

    def _may_retry(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> bool:
        if call.attempts >= self.limits.max_attempts or now >= call.deadline:
            return False
        if not self.pool.usable(call.message.target, now):
            return False
        others = [
            upstream
            for upstream in self.pool.upstream_by_id.values()
            if call.message.target in upstream.serves
            and upstream.id not in call.excluded
        ]
        if not others:
            call.excluded = frozenset()
        return self.retry_budget.take()

    def _outcome_unknown(
        self, state: runtime.ProgramRuntime, call: runtime.Call, now: float
    ) -> None:
        slot = self._slot_of(state.program.id)
        if state.program.open_intent is None:
            return self._drop(state, call, Reason.SUPERSEDED)
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
        self._commit(state, turn, call.waiters, now)
        self._advance(state, now)

    def _append_abort(
        self, state: runtime.ProgramRuntime, call: runtime.Call
    ) -> None:
        self._append(
            ownership.Abort,
            self._slot_of(state.program.id).number,
            program=state.program.id,
            intent_sequence=call.intent[1],
        )

    def _attempt_of(
        self, attempt: int, state: runtime.ProgramRuntime
    ) -> runtime.Call | None:
        call = state.active
        if call is None or call.attempt != attempt:
            return None
        return call if call.state is CallState.RUNNING else None

    def _forget_attempt(
        self, call: runtime.Call, *, failed: bool, now: float
    ) -> None:
        self._program_by_attempt.pop(call.attempt, None)
        self.pool.release(call.upstream, failed=failed, now=now)

    def _leave_slot(self, number: int, now: float) -> None:
        """Send everyone who waits for a slot that was lost to its owner.

        Attempts under way go on: whoever runs one hands its turn to the
        new owner.  Turns that were appended are still judged.
        """
        slot = self.fold.slot_by_number[number]
        for program_id in slot.program_by_id:
            state = self._runtime_by_program.pop(program_id, None)
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
        self.pool.withdraw(call.message.target, state.program.id)
        if call.state is CallState.RUNNING:
            self._forget_attempt(call, failed=False, now=now)
        for to in call.waiters:
            self._reply_not_owner(self._slot_of(state.program.id), to)
        call.waiters = []

    # -- turns --------------------------------------------------------------

    def _adopt_turn(
        self,
        state: runtime.ProgramRuntime,
        turn: ownership.Turn,
        now: float,
    ) -> bool:
        """Record a turn that somebody else kept; return whether it stands."""
        known = state.turn_at(turn.step)
        if known is not None:
            return known.digest == turn.digest
        tip = state.tip
        follows = turn.step == tip.step + 1 and turn.parent == tip.digest
        if turn.program != state.program.id or not follows or not turn.intact:
            return False
        call = state.active
        waiters = []
        if call is not None and call.state is CallState.RUNNING:
            self._forget_attempt(call, failed=False, now=now)
            if call.intent is None:
                state.lost_cost += call.bound
            waiters = call.waiters
        elif call is not None:
            call.abandoned = True
            self.pool.withdraw(call.message.target, state.program.id)
            waiters = call.waiters
        state.active = None
        self._commit(state, turn, waiters, now)
        return True

    def _commit(
        self,
        state: runtime.ProgramRuntime,
        turn: ownership.Turn,
        waiters: list[effects.ReplyTo],
        now: float,
    ) -> None:
        """Append a turn that follows the tip, and answer once it counts."""
        tip = state.tip
        if turn.step != tip.step + 1 or turn.parent != tip.digest:
            for to in waiters:
                self._refuse(to, Reason.SUPERSEDED, ran=Ran.UNKNOWN)
            return
        pending = runtime.PendingTurn(turn, now, waiters)
        state.pending.append(pending)
        self.held_bytes += len(turn.request) + len(turn.answer)
        self._on_verdict(turn, self._turn_judged, state, pending)
        self._effects.append(effects.Append(turn))
        if not self.log_up:
            self._hold_turns(state, now + self.limits.hold_after)

    def _turn_judged(
        self,
        state: runtime.ProgramRuntime,
        pending: runtime.PendingTurn,
        verdict: Verdict,
        now: float,
    ) -> None:
        turn = pending.turn
        if pending not in state.pending:
            return
        state.pending.remove(pending)
        self.held_bytes -= len(turn.request) + len(turn.answer)
        if verdict.counted:
            answered = messages.CallAnswered(turn=turn)
            for to in pending.waiters:
                self._reply(to, answered)
        else:
            self._pending_lost(state, pending, verdict)
        self._advance(state, now)

    def _pending_lost(
        self,
        state: runtime.ProgramRuntime,
        pending: runtime.PendingTurn,
        verdict: Verdict,
    ) -> None:
        """Refuse a turn that did not count, and all that follow it."""
        ended = verdict is Verdict.PROGRAM_ENDED
        reason = Reason.PROGRAM_ENDED if ended else Reason.SUPERSEDED
        followers = state.pending
        state.pending = []
        for item in [pending, *followers]:
            for to in item.waiters:
                self._refuse(to, reason, ran=Ran.UNKNOWN)
        for item in followers:
            self.held_bytes -= len(item.turn.request) + len(item.turn.answer)

    def _on_foreign_turn(self, turn: ownership.Turn, now: float) -> None:
        """Take note of a counted turn that this owner did not append."""
        state = self._runtime_by_program.get(turn.program)
        if state is None:
            return
        call = state.active
        overtaken = []
        if call is not None and call.message.step == turn.step:
            if call.state is CallState.RUNNING:
                self._forget_attempt(call, failed=False, now=now)
                if call.intent is None:
                    state.lost_cost += call.bound
            self.pool.withdraw(call.message.target, turn.program)
            call.abandoned = True
            state.active = None
            overtaken.append(call)
        queued = state.queue_by_step.pop(turn.step, None)
        if queued is not None:
            overtaken.append(queued)
        for call in overtaken:
            for to in call.waiters:
                self._handle(call.message, to, now)
        self._advance(state, now)

    # -- deadlines ------------------------------------------------------------

    def _hold_turns(self, state: runtime.ProgramRuntime, now: float) -> None:
        """Answer as held the turns that the log takes too long to take."""
        for pending in state.pending:
            if now - pending.since < self.limits.hold_after:
                continue
            pending.held = True
            answered = messages.CallAnswered(turn=pending.turn, held=True)
            for to in pending.waiters:
                self._reply(to, answered)
            pending.waiters = []

    def _expire_calls(self, state: runtime.ProgramRuntime, now: float) -> None:
        for step, call in list(state.queue_by_step.items()):
            if now >= call.deadline:
                del state.queue_by_step[step]
                self._refuse_all(call, Reason.DEADLINE_EXCEEDED)
        call = state.active
        if call is None or call.abandoned:
            return
        waited = now - call.state_since
        if call.state is CallState.WAITING and now >= call.deadline:
            self.pool.withdraw(call.message.target, state.program.id)
            if call.intent is not None:
                self._append_abort(state, call)
            self._drop(state, call, Reason.DEADLINE_EXCEEDED)
        elif call.state is CallState.LOGGING and (
            now >= call.deadline
            or (not self.log_up and waited > self.limits.log_patience)
        ):
            # Its record may still count, but this owner never dispatches
            # it: only so may the caller be told that it did not run.
            call.abandoned = True
            self._refuse_all(call, Reason.LOG_UNAVAILABLE)

    # -- helpers --------------------------------------------------------------

    def _slot_of(self, program_id: str) -> ownership.SlotState:
        address = identifiers.parse_program_id(program_id)
        return self.fold.slot_by_number[address.slot]

    def _owns(self, slot: ownership.SlotState | None) -> bool:
        return slot is not None and slot.owned_by(self.incarnation)

    def _state_of(self, program_id: str) -> runtime.ProgramRuntime | None:
        """Return the runtime of a program in a slot owned here, or None."""
        slot = self._slot_of(program_id)
        program = slot.program_by_id.get(program_id)
        if not self._owns(slot) or program is None:
            return None
        state = self._runtime_by_program.get(program_id)
        if state is None:
            state = runtime.ProgramRuntime(program)
            self._runtime_by_program[program_id] = state
        return state

    def _find(
        self, program_id: str, to: effects.ReplyTo
    ) -> runtime.ProgramRuntime | None:
        """Return a program's runtime, or refuse and return None."""
        address = identifiers.parse_program_id(program_id)
        slot = self.fold.slot_by_number.get(address.slot)
        if slot is None or address.data_center != self.data_center:
            self._refuse(to, Reason.UNKNOWN_PROGRAM)
            return None
        if not self._owns(slot):
            self._reply_not_owner(slot, to)
            return None
        if program_id not in slot.program_by_id:
            self._refuse(to, Reason.UNKNOWN_PROGRAM)
            return None
        return self._state_of(program_id)

    def _append(
        self, record_type: type, slot_number: int, **fields: Any
    ) -> Any:
        """Append a sequenced record of a slot that is owned here."""
        slot = self.fold.slot_by_number[slot_number]
        epoch, last = self._sequence_by_slot.get(slot_number, (0, 0))
        if epoch != slot.epoch:
            last = 0
        sequence = max(last, slot.sequence) + 1
        self._sequence_by_slot[slot_number] = (slot.epoch, sequence)
        record = record_type(
            slot=slot_number, epoch=slot.epoch, sequence=sequence, **fields
        )
        self._effects.append(effects.Append(record))
        return record

    def _on_verdict(
        self, record: Any, function: Callable, *arguments: Any
    ) -> None:
        """Call ``function(*arguments, verdict, now)`` once it is judged."""
        callback = functools.partial(function, *arguments)
        self._on_verdict_by_identity[record.identity] = callback

    def _set_state(
        self, call: runtime.Call, state: CallState, now: float
    ) -> None:
        call.state = state
        call.state_since = now

    def _reply(self, to: effects.ReplyTo, message: Any) -> None:
        self._effects.append(effects.Reply(to, message))

    def _reply_not_owner(
        self, slot: ownership.SlotState | None, to: effects.ReplyTo
    ) -> None:
        owner = None if slot is None or slot.released else slot.owner
        self._reply(to, messages.NotOwner(owner=owner))

    def _refuse(
        self,
        to: effects.ReplyTo,
        reason: Reason,
        ran: Ran = Ran.NOT_RUN,
        retry_after_ms: int | None = None,
        detail: str = "",
    ) -> None:
        self._reply(
            to,
            refusals.Refused(
                reason=reason,
                ran=ran,
                retry_after_ms=retry_after_ms,
                detail=detail,
            ),
        )

    def _refuse_log(self, to: effects.ReplyTo) -> None:
        reason = Reason.LOG_UNAVAILABLE
        self._refuse(to, reason, retry_after_ms=_retry_for(reason))

    def _refuse_all(self, call: runtime.Call, reason: Reason) -> None:
        waiters = call.waiters
        call.waiters = []
        for to in waiters:
            self._refuse(to, reason, call.ran, _retry_for(reason))

    def _drop(
        self, state: runtime.ProgramRuntime, call: runtime.Call, reason: Reason
    ) -> None:
        """Give up the active call: it will not be dispatched again."""
        state.active = None
        self._refuse_all(call, reason)


RETRY_AFTER_MS_BY_REASON = {
    Reason.DEADLINE_EXCEEDED: 1000,
    Reason.HELD_TURNS_FULL: 2000,
    Reason.LOG_UNAVAILABLE: 1000,
    Reason.NO_UPSTREAM: 1000,
    Reason.OVERLOADED: 1000,
    Reason.QUEUE_FULL: 500,
    Reason.STEP_GAP: 200,
    Reason.SUPERSEDED: 100,
    Reason.UPSTREAM_FAILED: 1000,
}


def _retry_for(reason: Reason) -> int | None:
    """Return when to come back after that refusal, in milliseconds."""
    return RETRY_AFTER_MS_BY_REASON.get(reason)
