"""Contributions: what one author's records of a turn add to an account."""

import dataclasses
import enum
from typing import NamedTuple

from postspring.histories import records

__all__ = ["Contribution", "Decision", "LedgerEntry", "TurnState"]


class TurnState(enum.Enum):
    """State of a turn.

    ``REFUSED`` turns did not fit the budget and never run. ``DEFERRED`` turns
    would fit if tokens were released, such as other VMs' reserves, and never
    run either. The id of a ``ID_IN_USE`` turn belongs to a turn that may be
    running. ``ENDED`` turns ran or were withdrawn, and are not part of the
    history.
    """

    OPEN = "open"
    REFUSED = "refused"
    DEFERRED = "deferred"
    ID_IN_USE = "taken"
    COMPLETED = "whole"
    ENDED = "ended"


class Decision(NamedTuple):
    """Effect of a record at its offset in the log.

    Parameters
    ==========

    state : TurnState or None
        For an opening: the turn may run if it is ``OPEN``.
    reserve_fits : bool
        Whether the tokens that the record reserves fit the budget: only then
        may its author use them.
    """

    state: TurnState | None
    reserve_fits: bool


@dataclasses.dataclass(slots=True)
class LedgerEntry:
    """One record; ``tokens`` is None in one that opens the turn."""

    claim: records.Claim
    tokens: int | None = None
    is_completed: bool = False
    decision: Decision | None = None


class Contribution:
    """One author's records of one turn, as a set.

    Explanation
    ===========

    Neither the order of the records nor their repetition matters. A record of
    the turn's end replaces the openings, whichever comes first. Two different
    ends add up: a turn that was withdrawn here may have run on an offline
    account afterwards.
    """

    __slots__ = ("author", "entries")

    def __init__(self, author: str):
        self.author = author
        self.entries: list[LedgerEntry] = []

    def find(self, entry: LedgerEntry) -> LedgerEntry | None:
        """Return the entry of the same record, if there is one."""
        for known in self.entries:
            if (
                known.claim == entry.claim
                and known.tokens == entry.tokens
                and known.is_completed is entry.is_completed
            ):
                return known
        return None

    @property
    def is_settled(self) -> bool:
        """Whether the turn has ended."""
        return any(entry.tokens is not None for entry in self.entries)

    @property
    def has_run(self) -> bool:
        """Whether the turn has ended, and may have run before."""
        return any(
            entry.is_completed or entry.claim.ceiling > 0
            for entry in self.entries
            if entry.tokens is not None
        )

    @property
    def ran_offline(self) -> bool:
        """Whether the turn was charged to an offline account of its author.

        The replica of its opening says so; else neither a reserve nor an
        opening charged it before it ran.  A turn that was withdrawn may have
        run on an offline account afterwards.

        Examples
        --------
        >>> claim = records.Claim("vm", ceiling=8, budget=64)
        >>> contribution = Contribution("vm")
        >>> contribution.entries.append(LedgerEntry(claim, tokens=4))
        >>> contribution.ran_offline
        True
        >>> contribution.entries.append(LedgerEntry(claim))
        >>> contribution.ran_offline
        False
        """
        openings = [entry for entry in self.entries if entry.tokens is None]
        if any(entry.claim.from_reserve for entry in openings):
            return True
        ends = [entry for entry in self.entries if entry.tokens is not None]
        is_withdrawn = any(entry.claim.ceiling == 0 for entry in ends)
        if openings and not is_withdrawn:
            return False
        return any(
            entry.claim.ceiling > 0 and entry.claim.is_offline_end
            for entry in ends
        )

    @property
    def may_run(self) -> bool:
        """Whether the turn is open and all its openings may run."""
        return not self.is_settled and all(
            entry.decision is not None
            and entry.decision.state is TurnState.OPEN
            for entry in self.entries
        )

    @property
    def settled(self) -> int:
        """Tokens of the turn if it has ended, else 0."""
        return sum(entry.tokens or 0 for entry in self.entries)

    @property
    def charged(self) -> int:
        """Tokens of the turn, or its ceiling while it may be running."""
        if self.is_settled:
            return self.settled
        return sum(entry.claim.ceiling for entry in self.entries)

    @property
    def reserve(self) -> int:
        """Change of the author's reserve."""
        is_settled = self.is_settled
        total = 0
        for entry in self.entries:
            if is_settled and entry.tokens is None:
                continue
            total += entry.claim.granted - entry.claim.returned
            if entry.claim.from_reserve:
                total -= entry.tokens or 0
        return total
