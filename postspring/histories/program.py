"""The program aggregate: a tree of turns and one account of tokens."""

import dataclasses
import enum

from postspring.histories import records

__all__ = ["Program", "Turn", "TurnState"]

# Turns that stay free for other VMs when one reserves ahead.
KEPT_FREE_TURNS = 2
# One part in so many of the rest may be reserved by a VM.  A line of turns
# goes through many VMs, and what a dead one has reserved is never free again.
RESERVED_PART = 8


class TurnState(enum.Enum):
    """What is known of a turn.

    ``REFUSED`` turns did not fit the budget and never run; ``DEFERRED``
    ones would fit but for what other VMs have reserved, and never run
    either.  ``ENDED`` ones ran or were given up, and are no part of the
    history.
    """

    OPEN = "open"
    REFUSED = "refused"
    DEFERRED = "deferred"
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
    upstream: str = ""

    @classmethod
    def of(cls, record: records.WholeTurn) -> "Turn":
        """Return the turn that a record of a whole turn tells of."""
        return cls(
            TurnState.WHOLE,
            record.tokens,
            record.parent,
            record.input,
            record.output,
            record.upstream,
        )


class Program:
    """A program's turns and account, in the order of the log.

    Explanation
    ===========

    Whether a turn fits the budget is decided by what stands before it in
    the log, so all VMs that read the log decide alike.  The first record
    that opens a turn counts, and nothing reopens a turn that has ended: an
    append may take effect twice, or long after its sender gave up.

    A VM may reserve tokens ahead, so that its next turn needs no record
    before it starts.  A reserve is charged until its VM's records settle
    it; so what a VM spends from it while it can't reach the log is
    charged already, also if the VM dies.

    Examples
    ========

    >>> program = Program("p")
    >>> claim = records.Claim("vm", ceiling=8, budget=10)
    >>> program.open(records.OpenedTurn("p", "t", claim))
    <TurnState.OPEN: 'open'>
    >>> program.open(records.OpenedTurn("p", "u", claim))
    <TurnState.REFUSED: 'refused'>
    >>> program.charged
    8
    """

    def __init__(self, program: records.ProgramId):
        self.id = program
        self.turn_by_id: dict[records.TurnId, Turn] = {}
        self.charged = 0
        self.reserve_by_author: dict[str, int] = {}

    @property
    def reserved(self) -> int:
        """Tokens that all VMs have reserved ahead."""
        return sum(self.reserve_by_author.values())

    def open(self, record: records.OpenedTurn) -> TurnState:
        """Fold a record that opens a turn; return the turn's state."""
        known = self.turn_by_id.get(record.turn)
        if known is not None:
            return known.state
        claim = record.claim
        self._reduce(claim.author, claim.returned)
        state = self._verdict(claim)
        if state is TurnState.OPEN:
            self._put(record.turn, Turn(state, claim.ceiling))
            self._top_up(claim)
        else:
            self._put(record.turn, Turn(state, 0))
        return state

    def complete(self, record: records.WholeTurn) -> None:
        """Fold the record of a turn that ran to its end."""
        if self.whole_turn(record.turn) is not None:
            return
        self._settle(record, Turn.of(record))

    def end(self, record: records.EndedTurn) -> None:
        """Fold the record of a turn that ended without an answer."""
        known = self.turn_by_id.get(record.turn)
        if known is not None and known.state in (
            TurnState.WHOLE,
            TurnState.ENDED,
        ):
            return
        self._settle(record, Turn(TurnState.ENDED, record.tokens))

    def whole_turn(self, turn: records.TurnId) -> Turn | None:
        """Return a turn of the history, or None if it is not one."""
        found = self.turn_by_id.get(turn)
        if found is not None and found.state is TurnState.WHOLE:
            return found
        return None

    # -- own ------------------------------------------------------------------

    def _verdict(self, claim: records.Claim) -> TurnState:
        if claim.budget is None:
            return TurnState.OPEN
        if self.charged + claim.ceiling > claim.budget:
            return TurnState.REFUSED
        if self.charged + self.reserved + claim.ceiling > claim.budget:
            return TurnState.DEFERRED
        return TurnState.OPEN

    def _settle(self, record, turn: Turn) -> None:
        claim = record.claim
        if claim.from_reserve:
            self._reduce(claim.author, record.tokens)
        self._put(record.turn, turn)
        self._top_up(claim)

    def _reduce(self, author: str, tokens: int) -> None:
        left = self.reserve_by_author.get(author, 0) - tokens
        if left > 0:
            self.reserve_by_author[author] = left
        else:
            self.reserve_by_author.pop(author, None)

    def _top_up(self, claim: records.Claim) -> None:
        """Reserve what the author asks for, if others keep enough.

        At most an eighth of the rest, and two turns of this size stay
        free; a reserve that no turn fits in is of no use.
        """
        if claim.budget is None:
            return
        own = self.reserve_by_author.get(claim.author, 0)
        rest = claim.budget - self.charged - self.reserved
        spare = min(
            rest // RESERVED_PART, rest - KEPT_FREE_TURNS * claim.ceiling
        )
        added = min(claim.ahead - own, spare)
        if added > 0 and own + added >= claim.ceiling:
            self.reserve_by_author[claim.author] = own + added

    def _put(self, turn_id: records.TurnId, turn: Turn) -> None:
        previous = self.turn_by_id.get(turn_id)
        if previous is not None:
            self.charged -= previous.tokens
        self.charged += turn.tokens
        self.turn_by_id[turn_id] = turn
