"""The owner: decides which calls of its programs run, where and when.

The owner does no I/O and reads no clock.  Its inputs are requests, verdicts
on log records and the time, its outputs are typed effects.  The daemon and
the simulated scenarios run the same class.
"""

import collections
from collections.abc import Callable
from typing import Any

from postspring import configuration
from postspring.coordination import admission
from postspring.coordination import attempt_flow
from postspring.coordination import call_flow
from postspring.coordination import effects
from postspring.coordination import lifecycle
from postspring.coordination import limits
from postspring.coordination import messages
from postspring.coordination import owner_context
from postspring.coordination import refusals
from postspring.coordination import turn_flow
from postspring import ownership
from postspring import scheduling

__all__ = ["Owner"]

Verdict = ownership.Verdict


class Owner:
    """Serves the programs of the slots that one VM owns.

    Explanation
    ===========

    The host passes requests to :meth:`receive`, each record with the fold's
    verdict to :meth:`on_record`, and the time to :meth:`tick`.  After each
    of them it executes the effects that :meth:`take_effects` returns.

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
        bounds: limits.OwnerLimits = limits.OwnerLimits(),
    ):
        self._context = owner_context.OwnerContext(
            vm, incarnation, data_center, fold, pool, bounds
        )
        self._lifecycle = lifecycle.ProgramLifecycle(self._context)
        self._calls = call_flow.CallFlow(self._context)
        self._attempts = attempt_flow.AttemptFlow(self._context)
        self._turns = turn_flow.TurnFlow(self._context)
        self._context.lifecycle = self._lifecycle
        self._context.admission = admission.Admission(self._context)
        self._context.calls = self._calls
        self._context.attempts = self._attempts
        self._context.turns = self._turns
        self._handler_by_type: dict[type, Callable] = {
            messages.CreateProgram: self._lifecycle.create,
            messages.ReadProgram: self._lifecycle.read,
            messages.EndProgram: self._lifecycle.end,
            messages.CallProgram: self._calls.handle_call,
            messages.FinishAttempt: self._attempts.finish,
            messages.LoseAttempt: self._attempts.lose,
        }

    # -- inputs -------------------------------------------------------------

    def receive(self, message: Any, to: effects.ReplyTo, now: float) -> None:
        """Handle a request; exactly one reply follows, now or later.

        Raises
        ------
        IdentifierError
            If the program id of the request is malformed.
        """
        handle = self._handler_by_type.get(type(message))
        if handle is None:
            reason = refusals.RefusalReason.BAD_REQUEST
            self._context.refuse(to, reason, detail="not a request")
            return
        handle(message, to, now)
        self._attempts.assign(now)

    def on_record(self, record: Any, verdict: Verdict, now: float) -> None:
        """Process a record of this stream and the fold's verdict on it."""
        context = self._context
        if isinstance(record, ownership.Claim) and verdict.counted:
            context.claimed_at_by_slot[record.slot] = now
            slot = context.fold.slot_by_number[record.slot]
            if record.incarnation != context.incarnation:
                self._calls.abandon_slot(record.slot, now)
            elif context.owns(slot):
                self._lifecycle.release_ended_caches(slot)
        if isinstance(record, ownership.End) and verdict.counted:
            slot = context.fold.slot_by_number[record.slot]
            if context.owns(slot):
                self._lifecycle.release_caches(slot, record.program)
        callback = context.verdict_callback_by_identity.pop(
            record.identity, None
        )
        if callback is not None:
            callback(verdict, now)
        elif isinstance(record, ownership.Turn) and verdict.counted:
            self._turns.on_foreign_turn(record, now)
        self._attempts.assign(now)

    def on_peer_lost(self, vm: str, now: float) -> None:
        """Treat the attempts that a lost VM was running as failed."""
        for state in list(self._context.runtime_by_program.values()):
            call = state.active
            if call is not None and call.runner == vm:
                call.waiters = [to for to in call.waiters if to.vm != vm]
                self._attempts.attempt_lost(
                    state, call, True, "peer_lost", now
                )
        self._attempts.assign(now)

    def tick(self, now: float) -> None:
        """Apply deadlines; to be called several times a second."""
        runtime_by_program = self._context.runtime_by_program
        for state in list(runtime_by_program.values()):
            self._turns.hold_overdue(state, now)
            self._calls.expire(state, now)
            self._calls.advance(state, now)
            if state.idle and not state.lost_cost:
                del runtime_by_program[state.program.id]
        self._attempts.assign(now)

    def end_idle_programs(self, now: float) -> None:
        """End idle programs; to be called periodically."""
        self._lifecycle.end_idle_programs(now)

    # -- outputs ------------------------------------------------------------

    def take_effects(self) -> list[effects.Effect]:
        """Return the effects that the host is to execute, and clear them."""
        taken = self._context.effects
        self._context.effects = []
        return taken

    def release_slot(self, slot: int, successor: str | None) -> bool:
        """Release a slot unless it has unfinished calls or pending turns.

        Returns whether the release was appended.
        """
        context = self._context
        charge_by_program = {}
        for program_id in context.fold.slot_by_number[slot].program_by_id:
            state = context.runtime_by_program.get(program_id)
            if state is None:
                continue
            if not state.idle:
                return False
            if state.lost_cost:
                charge_by_program[program_id] = state.lost_cost
        for program_id in charge_by_program:
            context.runtime_by_program[program_id].lost_cost = 0
        context.append(
            ownership.Release,
            slot,
            successor=successor,
            charge_by_program=charge_by_program,
        )
        return True

    # -- settings and status --------------------------------------------------

    @property
    def bounds(self) -> limits.OwnerLimits:
        """The limits and timeouts."""
        return self._context.limits

    def reconfigure(self, in_force: configuration.Configuration) -> None:
        """Apply another configuration to all later decisions."""
        self._context.configuration = in_force

    @property
    def log_up(self) -> bool:
        """Whether the log is available for reads and writes."""
        return self._context.log_up

    @log_up.setter
    def log_up(self, up: bool) -> None:
        self._context.log_up = up

    @property
    def retry_budget(self) -> scheduling.RetryBudget:
        """The budget that keeps retries a small share of calls."""
        return self._context.retry_budget

    @property
    def retries_by_reason(self) -> collections.Counter:
        """Number of retries by reason."""
        return self._context.retries_by_reason

    @property
    def held_bytes(self) -> int:
        """Size of the turns that are not in the log yet."""
        return self._context.held_bytes

    @property
    def needs_ticks(self) -> bool:
        """Whether :meth:`tick` has anything to do."""
        return bool(self._context.runtime_by_program)

    @property
    def busy_programs(self) -> set[str]:
        """Programs that have calls queued, active or pending here."""
        return {
            program
            for program, state in self._context.runtime_by_program.items()
            if not state.idle
        }

    @property
    def busy_calls(self) -> int:
        """Number of calls that are queued, active or pending here."""
        return sum(
            len(state.queue_by_step)
            + (state.active is not None)
            + len(state.pending)
            for state in self._context.runtime_by_program.values()
        )
