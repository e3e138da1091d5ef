"""State of a program that its owner keeps in memory only."""

import dataclasses
import enum

from postspring.coordination import effects
from postspring.coordination import messages
from postspring.coordination import refusals
from postspring import ownership
from postspring import programs

__all__ = ["Call", "CallState", "PendingTurn", "ProgramRuntime"]


class CallState(enum.StrEnum):
    """State of a call at its owner."""

    QUEUED = "queued"
    LOGGING = "logging"
    WAITING = "waiting"
    RUNNING = "running"


@dataclasses.dataclass(slots=True)
class Call:
    """A call that has no turn yet.

    Parameters
    ==========

    waiters : list of ReplyTo
        Requests for the call that are not answered yet.
    deadline : float
        Latest time of its dispatch, in seconds.
    attempt : int
        Number of the latest attempt, unique at this owner.
    runner : str
        The VM that runs the attempt.
    intent : tuple of int or None
        Epoch and sequence of its counted intent.
    abandoned : bool
        The owner gave the call up and must not dispatch it any more.
    may_have_run : bool
        An earlier attempt may have reached an upstream.
    """

    message: messages.CallProgram
    waiters: list[effects.ReplyTo]
    deadline: float
    state: CallState = CallState.QUEUED
    state_since: float = 0.0
    cost_bound: int = 0
    attempt: int = 0
    attempt_count: int = 0
    runner: str = ""
    upstream: str = ""
    excluded: frozenset[str] = frozenset()
    intent: tuple[int, int] | None = None
    abandoned: bool = False
    may_have_run: bool = False

    def enter(self, state: CallState, now: float) -> None:
        """Change the state and record the time of the change."""
        self.state = state
        self.state_since = now

    @property
    def ran(self) -> refusals.Ran:
        """Whether the call may have run, for a refusal sent now."""
        if self.may_have_run or self.state is CallState.RUNNING:
            return refusals.Ran.UNKNOWN
        return refusals.Ran.NOT_RUN


@dataclasses.dataclass(slots=True)
class PendingTurn:
    """A turn that is not in the log yet, and the requests for it."""

    turn: ownership.Turn
    appended_at: float
    waiters: list[effects.ReplyTo]
    held: bool = False


class ProgramRuntime:
    """Calls and pending turns of one program at its owner.

    Explanation
    ===========

    ``pending`` lists, in order, the turns that follow the program's head
    but are not in the log yet; the *tip* is the last of them, or the head.
    At most one call is active at a time, so calls run in order of steps.

    Parameters
    ==========

    program : Program
        The program's state in the log.
    """

    __slots__ = ("program", "queue_by_step", "active", "pending", "lost_cost")

    def __init__(self, program: programs.Program):
        self.program = program
        self.queue_by_step: dict[int, Call] = {}
        self.active: Call | None = None
        self.pending: list[PendingTurn] = []
        self.lost_cost = 0

    @property
    def tip(self) -> programs.Head:
        """Step and digest of the latest turn, logged or pending."""
        if self.pending:
            turn = self.pending[-1].turn
            return programs.Head(turn.step, turn.digest)
        return self.program.head

    @property
    def turns(self) -> list[ownership.Turn]:
        """All turns up to the tip."""
        return self.program.turns + [item.turn for item in self.pending]

    @property
    def available_allowance(self) -> int:
        """Micro-units of the logged allowance that are not in use."""
        pending_cost = sum(
            item.turn.cost
            for item in self.pending
            if item.turn.intent_sequence is None
        )
        in_use = pending_cost + self.lost_cost
        if self.active is not None and self.active.intent is None:
            if self.active.state in (CallState.WAITING, CallState.RUNNING):
                in_use += self.active.cost_bound
        return self.program.allowance - in_use

    @property
    def idle(self) -> bool:
        """Whether nothing is queued, active or pending."""
        return not (self.queue_by_step or self.active or self.pending)

    def turn_at(self, step: int) -> ownership.Turn | None:
        """Return the logged or pending turn with that step, if any."""
        turn = self.program.turn_at(step)
        if turn is not None:
            return turn
        for item in self.pending:
            if item.turn.step == step:
                return item.turn
        return None

    def turn_with_key(self, key: str) -> ownership.Turn | None:
        """Return the logged or pending turn with that key, if any."""
        turn = self.program.turn_with_key(key)
        if turn is not None:
            return turn
        for item in self.pending:
            if item.turn.key == key:
                return item.turn
        return None

    def pending_turn(self, digest: bytes) -> PendingTurn | None:
        """Return the pending turn with that digest, if there is one."""
        for item in self.pending:
            if item.turn.digest == digest:
                return item
        return None
