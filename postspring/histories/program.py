"""The program aggregate: a tree of turns and one account of tokens."""

import dataclasses
import enum

from postspring.histories import records

__all__ = ["Program", "Turn", "TurnState"]


class TurnState(enum.Enum):
    """What is known of a turn.

    ``REFUSED`` turns did not fit the budget and never run; ``ENDED`` ones
    ran or were given up, and are no part of the history.
    """

    OPEN = "open"
    REFUSED = "refused"
    WHOLE = "whole"
    ENDED = "ended"


@dataclasses.dataclass(slots=True)
class Turn:
    """One turn; ``tokens`` is what it is charged with."""

    state: TurnState
    tokens: int
    parent: records.TurnRef | None = None
    input: bytes = b""
    output: bytes = b""


class Program:
    """A program's turns, in the order of the log.

    Explanation
    ===========

    Whether a turn fits the budget is decided by what stands before it in
    the log, so all VMs that read the log decide alike.  The first record
    that opens a turn counts, and nothing reopens a turn that has ended: an
    append may take effect twice, or long after its sender gave up.

    Examples
    ========

    >>> program = Program("p")
    >>> opened = records.OpenedTurn("p", "t", ceiling=8, budget=10)
    >>> program.open(opened)
    <TurnState.OPEN: 'open'>
    >>> program.open(records.OpenedTurn("p", "u", ceiling=8, budget=10))
    <TurnState.REFUSED: 'refused'>
    >>> program.charged
    8
    """

    def __init__(self, program: records.ProgramId):
        self.id = program
        self.turn_by_id: dict[records.TurnId, Turn] = {}
        self.charged = 0

    def open(self, record: records.OpenedTurn) -> TurnState:
        """Fold a record that opens a turn; return the turn's state."""
        known = self.turn_by_id.get(record.turn)
        if known is not None:
            return known.state
        fits = (
            record.budget is None
            or self.charged + record.ceiling <= record.budget
        )
        if fits:
            self._put(record.turn, Turn(TurnState.OPEN, record.ceiling))
            return TurnState.OPEN
        self._put(record.turn, Turn(TurnState.REFUSED, 0))
        return TurnState.REFUSED

    def complete(self, record: records.WholeTurn) -> None:
        """Fold the record of a turn that ran to its end."""
        parent = record.parent
        if parent is not None:
            parent = records.TurnRef(*parent)
        turn = Turn(
            TurnState.WHOLE,
            record.tokens,
            parent,
            record.input,
            record.output,
        )
        self._put(record.turn, turn)

    def end(self, record: records.EndedTurn) -> None:
        """Fold the record of a turn that ended without an answer."""
        known = self.turn_by_id.get(record.turn)
        if known is not None and known.state is TurnState.WHOLE:
            return
        self._put(record.turn, Turn(TurnState.ENDED, record.tokens))

    def whole_turn(self, turn: records.TurnId) -> Turn | None:
        """Return a turn of the history, or None if it is not one."""
        found = self.turn_by_id.get(turn)
        if found is not None and found.state is TurnState.WHOLE:
            return found
        return None

    def _put(self, turn_id: records.TurnId, turn: Turn) -> None:
        previous = self.turn_by_id.get(turn_id)
        if previous is not None:
            self.charged -= previous.tokens
        self.charged += turn.tokens
        self.turn_by_id[turn_id] = turn
