"""Appends turns to the log and answers the requests that wait for them."""

from postspring.coordination import effects
from postspring.coordination import limits
from postspring.coordination import messages
from postspring.coordination import owner_context
from postspring.coordination import refusals
from postspring.coordination import runtime
from postspring import ownership
from postspring import programs

__all__ = ["TurnFlow"]

Reason = refusals.RefusalReason
Ran = refusals.Ran
Verdict = ownership.Verdict


class TurnFlow:
    """Appends turns and answers once the log has them.

    Explanation
    ===========

    A turn that waits too long for the log is answered as *held*: the owner
    has other VMs replicate it, and the caller keeps it as a receipt.

    Parameters
    ==========

    context : OwnerContext
        State that the parts of the owner share.
    """

    def __init__(self, context: owner_context.OwnerContext):
        self._context = context

    def answer(
        self,
        state: runtime.ProgramRuntime,
        turn: ownership.Turn,
        to: effects.ReplyTo,
    ) -> None:
        """Answer with a turn, which may first have to be logged or held."""
        pending = state.pending_turn(turn.digest)
        if pending is None or pending.held:
            held = pending is not None
            self._context.reply(
                to, messages.CallAnswered(turn=turn, held=held)
            )
        else:
            pending.waiters.append(to)

    def adopt(
        self,
        state: runtime.ProgramRuntime,
        turn: ownership.Turn,
        now: float,
    ) -> bool:
        """Record a turn that another VM or a caller has kept.

        Returns whether the turn belongs to the program's history.
        """
        known = state.turn_at(turn.step)
        if known is not None:
            return known.digest == turn.digest
        tip = state.tip
        follows = turn.step == tip.step + 1 and turn.parent == tip.digest
        if turn.program != state.program.id or not follows or not turn.intact:
            return False
        call = state.active
        waiters = []
        if call is not None:
            waiters = call.waiters
            self._context.attempts.abandon_active(state, call)
        self.commit(state, turn, waiters, now)
        return True

    def commit(
        self,
        state: runtime.ProgramRuntime,
        turn: ownership.Turn,
        waiters: list[effects.ReplyTo],
        now: float,
    ) -> None:
        """Append a turn, and answer its waiters once it counts.

        If the turn does not follow the tip, the waiters are refused.
        """
        tip = state.tip
        if turn.step != tip.step + 1 or turn.parent != tip.digest:
            for to in waiters:
                self._context.refuse(to, Reason.SUPERSEDED, ran=Ran.UNKNOWN)
            return
        pending = runtime.PendingTurn(turn, now, waiters)
        state.pending.append(pending)
        self._context.held_bytes += len(turn.request) + len(turn.answer)
        self._context.add_verdict_callback(
            turn, self._on_turn_verdict, state, pending
        )
        self._context.effects.append(effects.Append(turn))
        if not self._context.log_up:
            self.hold_overdue(state, now + self._context.limits.hold_after)

    def _on_turn_verdict(
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
        self._context.held_bytes -= len(turn.request) + len(turn.answer)
        if verdict.counted:
            answered = messages.CallAnswered(turn=turn)
            for to in pending.waiters:
                self._context.reply(to, answered)
        else:
            self._refuse_rejected(state, pending, verdict)
        self._context.calls.advance(state, now)

    def _refuse_rejected(
        self,
        state: runtime.ProgramRuntime,
        pending: runtime.PendingTurn,
        verdict: Verdict,
    ) -> None:
        """Refuse the waiters of a rejected turn and of its successors."""
        ended = verdict is Verdict.PROGRAM_ENDED
        reason = Reason.PROGRAM_ENDED if ended else Reason.SUPERSEDED
        followers = state.pending
        state.pending = []
        for item in [pending, *followers]:
            for to in item.waiters:
                self._context.refuse(to, reason, ran=Ran.UNKNOWN)
        for item in followers:
            self._context.held_bytes -= len(item.turn.request) + len(
                item.turn.answer
            )

    def on_foreign_turn(self, turn: ownership.Turn, now: float) -> None:
        """Apply a counted turn that this owner did not append.

        Requests for the call of that step are then handled anew.
        """
        state = self._context.runtime_by_program.get(turn.program)
        if state is None:
            return
        call = state.active
        superseded = []
        if call is not None and call.message.step == turn.step:
            self._context.attempts.abandon_active(state, call)
            superseded.append(call)
        queued = state.queue_by_step.pop(turn.step, None)
        if queued is not None:
            superseded.append(queued)
        for call in superseded:
            for to in call.waiters:
                self._context.calls.handle_call(call.message, to, now)
        self._context.calls.advance(state, now)

    def _refuse_unknown(self, pending: runtime.PendingTurn) -> None:
        """Refuse, with a retry delay, a call whose outcome may arrive.

        An unknown outcome is never answered as held: until it is in the
        log, the outcome that a former owner received may be logged first,
        and that is the better answer.
        """
        waiters = pending.waiters
        pending.waiters = []
        for to in waiters:
            self._context.refuse(
                to,
                Reason.LOG_UNAVAILABLE,
                Ran.UNKNOWN,
                limits.retry_after_ms(Reason.LOG_UNAVAILABLE),
            )

    def hold_overdue(self, state: runtime.ProgramRuntime, now: float) -> None:
        """Answer as held the turns that waited too long for the log."""
        for pending in state.pending:
            if now - pending.appended_at < self._context.limits.hold_after:
                continue
            if pending.turn.status is programs.TurnStatus.UNKNOWN:
                self._refuse_unknown(pending)
                continue
            if not pending.held:
                pending.held = True
                self._context.effects.append(
                    effects.ReplicateTurn(pending.turn)
                )
            answered = messages.CallAnswered(turn=pending.turn, held=True)
            for to in pending.waiters:
                self._context.reply(to, answered)
            pending.waiters = []
