"""The program aggregate: a tree of turns and an account of tokens."""

import dataclasses

from postspring.histories import contributions
from postspring.histories import records

__all__ = ["Program", "Turn"]

# Turns of the same size for which a VM tries to have tokens reserved.
RESERVE_TURNS = 4
# Turns whose tokens stay free for other VMs when one reserves ahead.
KEPT_FREE_TURNS = 2
# A VM may reserve one part in this many of the remaining budget. A
# conversation's turns run on many VMs, and the reserve of a dead VM is never
# released.
RESERVE_DIVISOR = 8

_RANK_BY_STATE = {
    contributions.TurnState.OPEN: 0,
    contributions.TurnState.ENDED: 1,
    contributions.TurnState.COMPLETED: 2,
}


@dataclasses.dataclass(slots=True)
class Turn:
    """One turn of a program."""

    state: contributions.TurnState
    parent: records.TurnRef | None = None
    input: bytes = b""
    output: bytes = b""
    upstream: str = ""

    @classmethod
    def from_record(cls, record: records.CompletedTurn) -> "Turn":
        """Return the turn that a record of a completed turn describes."""
        return cls(
            contributions.TurnState.COMPLETED,
            record.parent,
            record.input,
            record.output,
            record.upstream,
        )

    @property
    def rank(self) -> tuple:
        """Precedence among two versions: completed, then ended, then open.

        The other fields only make the choice the same on all VMs.
        """
        return (
            _RANK_BY_STATE[self.state],
            self.output,
            self.input,
            self.upstream,
            self.parent or (),
        )


class Program:
    """A program's turns and account, as a set of records defines them.

    Explanation
    ===========

    An append may take effect twice, or long after its sender gave up, and a VM
    that starts late reads only the records that a compaction has left. Turns,
    charge and reserves therefore depend on which records there are, and not on
    their order: all VMs that have read the log agree on them.

    The VM that opened a turn decides whether it may run, from all records
    before its own. Other VMs charge the turn's ceiling until its author has
    settled it, even if it seems not to fit: they may have read fewer records.

    A VM may reserve tokens ahead, so that its next turn can start without a
    record. A reserve is charged until its VM's records settle it; so tokens
    that a VM spends from it while it can't reach the log are charged already,
    even if the VM dies.

    The upstream where a conversation ran last is a hint, and may differ
    between VMs.

    Parameters
    ==========

    id : ProgramId
    turn_by_id : dict
    charged : int
        Tokens of settled turns and ceilings of the others.
    settled : int
        Tokens of settled turns; never decreases.

    Examples
    ========

    >>> program = Program("p")
    >>> claim = records.Claim("vm", ceiling=8, budget=10)
    >>> program.open(records.OpenedTurn("p", "t", claim))
    <TurnState.OPEN: 'open'>
    >>> program.open(records.OpenedTurn("p", "u", claim))
    <TurnState.REFUSED: 'refused'>
    >>> program.charged
    16
    >>> never_run = records.Claim("vm", ceiling=0, budget=10)
    >>> program.end(records.EndedTurn("p", "u", never_run, 0))
    >>> program.charged
    8
    """

    def __init__(self, program: records.ProgramId):
        self.id = program
        self.turn_by_id: dict[records.TurnId, Turn] = {}
        self.charged = 0
        self.settled = 0
        self._contributions_by_turn: dict[
            records.TurnId, list[contributions.Contribution]
        ] = {}
        self._net_reserve_by_author: dict[str, int] = {}
        self._upstream_by_line: dict[str, str] = {}

    @property
    def reserve_by_author(self) -> dict[str, int]:
        """Tokens that each VM has reserved ahead."""
        return {
            author: net
            for author, net in self._net_reserve_by_author.items()
            if net > 0
        }

    @property
    def reserved(self) -> int:
        """Tokens that all VMs have reserved ahead."""
        return sum(
            net for net in self._net_reserve_by_author.values() if net > 0
        )

    def open(
        self, record: records.OpenedTurn, is_ordered: bool = True
    ) -> contributions.TurnState | None:
        """Fold a record that opens a turn; return whether the turn may run.

        Parameters
        ----------
        is_ordered : bool
            Whether all records before this one were folded before it.
            Otherwise nothing is decided until its author calls ``decide``.
        """
        self._merge_turn(record.turn, Turn(contributions.TurnState.OPEN))
        self._add_record(record, is_ordered)
        return self.decide(record).state if is_ordered else None

    def complete(
        self, record: records.CompletedTurn, is_ordered: bool = True
    ) -> None:
        """Fold the record of a completed turn."""
        self._merge_turn(record.turn, Turn.from_record(record))
        self._add_record(record, is_ordered)

    def end(self, record: records.EndedTurn, is_ordered: bool = True) -> None:
        """Fold the record of a turn that ended without a history."""
        self._merge_turn(record.turn, Turn(contributions.TurnState.ENDED))
        self._add_record(record, is_ordered)
        if is_ordered:
            self.note_upstream(record.line, record.upstream)

    def note_upstream(self, line: str, upstream: str) -> None:
        """Note that an upstream has a conversation's prompt in memory."""
        if upstream:
            self._upstream_by_line.pop(line, None)
            self._upstream_by_line[line] = upstream

    def last_upstream_of(self, line: str) -> str:
        """Return the upstream where a conversation ran last, or empty.

        A new conversation starts with what its program has generated, which is
        in memory where the program ran last.

        Examples
        --------
        >>> program = Program("p")
        >>> program.note_upstream("main", "u1")
        >>> (
        ...     program.last_upstream_of("main"),
        ...     program.last_upstream_of("sub-agent"),
        ... )
        ('u1', 'u1')
        """
        found = self._upstream_by_line.get(line)
        if found is None and self._upstream_by_line:
            found = next(reversed(self._upstream_by_line.values()))
        return found or ""

    def completed_turn(self, turn: records.TurnId) -> Turn | None:
        """Return a turn of the history, or None if it is not completed."""
        found = self.turn_by_id.get(turn)
        if (
            found is not None
            and found.state is contributions.TurnState.COMPLETED
        ):
            return found
        return None

    def decide(self, record) -> contributions.Decision:
        """Return the decision on a folded record, which is taken once.

        A record that was read out of order is decided by all known records,
        which may be more than those before it.
        """
        contribution = self._contribution_of(record)
        entry = contribution.find(_entry(record))
        if entry is None:
            return contributions.Decision(
                contributions.TurnState.DEFERRED, False
            )
        if entry.decision is None:
            entry.decision = self._decide(record, contribution, entry)
        return entry.decision

    def has_charge(
        self, record: records.OpenedTurn | records.EndedTurn
    ) -> bool:
        """Return whether the folded records charge what a record does.

        For an opening that holds if its author has any record of the turn.
        """
        entry = _entry(record)
        return any(
            contribution.author == record.claim.author
            and (entry.tokens is None or contribution.find(entry) is not None)
            for contribution in self._contributions_by_turn.get(
                record.turn, ()
            )
        )

    def state_after_run(
        self, turn: records.TurnId
    ) -> contributions.TurnState | None:
        """Return the state of a turn that has ended and may have run."""
        found = self._contributions_by_turn.get(turn, ())
        if any(contribution.has_run for contribution in found):
            return self.turn_by_id[turn].state
        return None

    def charge_of(self, turn: records.TurnId) -> int:
        """Return the tokens that the folded records charge for a turn.

        Examples
        --------
        >>> program = Program("p")
        >>> claim = records.Claim("vm", ceiling=8, budget=10)
        >>> state = program.open(records.OpenedTurn("p", "t", claim))
        >>> program.charge_of("t"), program.charge_of("u")
        (8, 0)
        """
        if turn not in self._contributions_by_turn:
            return 0
        return self._charged_tokens(turn)

    @property
    def offline_author_by_turn(self) -> dict[records.TurnId, str]:
        """Authors of the turns that ran on offline accounts."""
        return {
            turn: contribution.author
            for turn, found in self._contributions_by_turn.items()
            for contribution in found
            if contribution.ran_offline
        }

    def is_budget_exhausted(self, ceiling: int, budget: int | None) -> bool:
        """Return whether no turn of this size can ever fit the budget."""
        return budget is not None and self.settled + ceiling > budget

    def reservable_tokens(
        self, ceiling: int, budget: int | None, own: int, used: int
    ) -> int:
        """Return the tokens that a VM may reserve for its next turns.

        They are at most an eighth of the remaining budget, and leave the
        tokens of two turns of this size free; a reserve that is too small for
        a turn is of no use.

        Parameters
        ----------
        own : int
            The VM's reserve.
        used : int
            Tokens that are not charged here yet.
        """
        if budget is None:
            return 0
        rest = budget - self.charged - self.reserved - used
        spare = min(rest // RESERVE_DIVISOR, rest - KEPT_FREE_TURNS * ceiling)
        added = min(RESERVE_TURNS * ceiling - own, spare)
        return added if added > 0 and own + added >= ceiling else 0

    # -- own ------------------------------------------------------------------

    def _merge_turn(self, turn_id: records.TurnId, turn: Turn) -> None:
        known = self.turn_by_id.get(turn_id)
        if known is None or known.rank < turn.rank:
            self.turn_by_id[turn_id] = turn

    def _contribution_of(self, record) -> contributions.Contribution:
        found = self._contributions_by_turn.setdefault(record.turn, [])
        for contribution in found:
            if contribution.author == record.claim.author:
                return contribution
        found.append(contributions.Contribution(record.claim.author))
        return found[-1]

    def _add_record(self, record, is_ordered: bool) -> None:
        contribution = self._contribution_of(record)
        entry = _entry(record)
        if contribution.find(entry) is not None:
            return
        self.charged -= self._charged_tokens(record.turn)
        self.settled -= contribution.settled
        before = contribution.reserve
        contribution.entries.append(entry)
        self.charged += self._charged_tokens(record.turn)
        self.settled += contribution.settled
        net = self._net_reserve_by_author.get(contribution.author, 0)
        self._net_reserve_by_author[contribution.author] = (
            net + contribution.reserve - before
        )
        if is_ordered:
            entry.decision = self._decide(record, contribution, entry)

    def _charged_tokens(self, turn: records.TurnId) -> int:
        """Return the tokens that a turn is charged with.

        Once a turn has run, its openings no longer count, whoever wrote them.
        """
        found = self._contributions_by_turn[turn]
        if any(contribution.has_run for contribution in found):
            return sum(contribution.settled for contribution in found)
        return sum(contribution.charged for contribution in found)

    def _decide(self, record, contribution, entry) -> contributions.Decision:
        """Decide on a record by all folded records, itself included."""
        claim = record.claim
        total = self.charged + self.reserved
        reserve_fits = claim.budget is None or total <= claim.budget
        if entry.tokens is not None:
            return contributions.Decision(None, reserve_fits)
        state = self._conflicting_state(record.turn, contribution)
        if state is not None:
            return contributions.Decision(state, False)
        if reserve_fits:
            return contributions.Decision(contributions.TurnState.OPEN, True)
        net = max(0, self._net_reserve_by_author[contribution.author])
        if total - min(claim.granted, net) <= claim.budget:
            return contributions.Decision(contributions.TurnState.OPEN, False)
        if (
            self._certain_charge_of_others(contribution) + claim.ceiling
            > claim.budget
        ):
            return contributions.Decision(
                contributions.TurnState.REFUSED, False
            )
        return contributions.Decision(contributions.TurnState.DEFERRED, False)

    def _conflicting_state(
        self, turn: records.TurnId, own: contributions.Contribution
    ) -> contributions.TurnState | None:
        """Return the state that keeps a turn's id from being used, if any."""
        ended = self.state_after_run(turn)
        if ended is not None:
            return ended
        if own.is_settled:
            return contributions.TurnState.DEFERRED
        for contribution in self._contributions_by_turn[turn]:
            if contribution is not own and not contribution.is_settled:
                return contributions.TurnState.ID_IN_USE
        return None

    def _certain_charge_of_others(
        self, own: contributions.Contribution
    ) -> int:
        """Return the charge of turns that have run, or surely may run."""
        return self.settled + sum(
            contribution.charged
            for turn, found in self._contributions_by_turn.items()
            if self.state_after_run(turn) is None
            for contribution in found
            if contribution is not own and contribution.may_run
        )


def _entry(record) -> contributions.LedgerEntry:
    if isinstance(record, records.OpenedTurn):
        return contributions.LedgerEntry(record.claim)
    is_completed = isinstance(record, records.CompletedTurn)
    return contributions.LedgerEntry(record.claim, record.tokens, is_completed)
