"""Turns on their way into the log."""

from postspring.coordination import desk
from postspring.coordination import effects
from postspring.coordination import limits
from postspring.coordination import messages
from postspring.coordination import refusals
from postspring.coordination import runtime
from postspring import ownership
from postspring import programs

__all__ = ["TurnFlow"]

Reason = refusals.RefusalReason
Ran = refusals.Ran
Verdict = ownership.Verdict


class TurnFlow:
    """Appends turns, answers once they count, and holds what must wait.

    Parameters
    ==========

    shared : OwnerDesk
        What the parts of an owner share.
    """

    def __init__(self, shared: desk.OwnerDesk):
        self._desk = shared

    def answer(
        self,
        state: runtime.ProgramRuntime,
        turn: ownership.Turn,
        to: effects.ReplyTo,
    ) -> None:
        """Answer with a turn, at once or when it counts."""
        pending = state.pending_turn(turn.digest)
        if pending is None or pending.held:
            held = pending is not None
            self._desk.reply(to, messages.CallAnswered(turn=turn, held=held))
        else:
            pending.waiters.append(to)

    def adopt(
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
        if call is not None:
            waiters = call.waiters
            self._desk.attempts.set_aside(state, call)
        self.commit(state, turn, waiters, now)
        return True

    def commit(
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
                self._desk.refuse(to, Reason.SUPERSEDED, ran=Ran.UNKNOWN)
            return
        pending = runtime.PendingTurn(turn, now, waiters)
        state.pending.append(pending)
        self._desk.held_bytes += len(turn.request) + len(turn.answer)
        self._desk.on_verdict(turn, self._turn_judged, state, pending)
        self._desk.effects.append(effects.Append(turn))
        if not self._desk.log_up:
            self.hold_slow(state, now + self._desk.limits.hold_after)

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
        self._desk.held_bytes -= len(turn.request) + len(turn.answer)
        if verdict.counted:
            answered = messages.CallAnswered(turn=turn)
            for to in pending.waiters:
                self._desk.reply(to, answered)
        else:
            self._pending_lost(state, pending, verdict)
        self._desk.calls.advance(state, now)

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
                self._desk.refuse(to, reason, ran=Ran.UNKNOWN)
        for item in followers:
            self._desk.held_bytes -= len(item.turn.request) + len(
                item.turn.answer
            )

    def on_foreign_turn(self, turn: ownership.Turn, now: float) -> None:
        """Take note of a counted turn that this owner did not append."""
        state = self._desk.runtime_by_program.get(turn.program)
        if state is None:
            return
        call = state.active
        overtaken = []
        if call is not None and call.message.step == turn.step:
            self._desk.attempts.set_aside(state, call)
            overtaken.append(call)
        queued = state.queue_by_step.pop(turn.step, None)
        if queued is not None:
            overtaken.append(queued)
        for call in overtaken:
            for to in call.waiters:
                self._desk.calls.call(call.message, to, now)
        self._desk.calls.advance(state, now)

    def _refuse_unknown(self, pending: runtime.PendingTurn) -> None:
        """Refuse for now a call whose outcome may still come in.

        "Unknown" is never held: until it is in the log, the outcome that a
        former owner has seen can come first, and is the better answer.
        """
        waiters = pending.waiters
        pending.waiters = []
        for to in waiters:
            self._desk.refuse(
                to,
                Reason.LOG_UNAVAILABLE,
                Ran.UNKNOWN,
                limits.retry_for(Reason.LOG_UNAVAILABLE),
            )

    def hold_slow(self, state: runtime.ProgramRuntime, now: float) -> None:
        """Answer as held the turns that the log takes too long to take."""
        for pending in state.pending:
            if now - pending.since < self._desk.limits.hold_after:
                continue
            if pending.turn.status is programs.TurnStatus.UNKNOWN:
                self._refuse_unknown(pending)
                continue
            if not pending.held:
                pending.held = True
                self._desk.effects.append(effects.CopyTurn(pending.turn))
            answered = messages.CallAnswered(turn=pending.turn, held=True)
            for to in pending.waiters:
                self._desk.reply(to, answered)
            pending.waiters = []
