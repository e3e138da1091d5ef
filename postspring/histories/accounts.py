"""What this VM may spend of programs' budgets without asking the log."""

import dataclasses
import enum

from postspring.histories import program as program_module
from postspring.histories import records

__all__ = ["LocalAccounts", "Origin", "Ticket"]


class Origin(enum.Enum):
    """What a turn's ceiling is charged to.

    ``LOG``: a record that opened the turn.  ``RESERVE``: what this VM has
    reserved in the log before.  ``HOME``: the whole budget of a program
    that began here while the log was away.
    """

    LOG = "log"
    RESERVE = "reserve"
    HOME = "home"


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """The right to run one turn."""

    program: records.ProgramId
    turn: records.TurnId
    ceiling: int
    budget: int | None
    origin: Origin


class LocalAccounts:
    """Tokens of programs that this VM may spend on its own.

    Explanation
    ===========

    What the VM has spent, or may spend in turns under way, is held against
    its reserve until the records that settle it were folded; only then the
    reserve itself has become smaller.

    Parameters
    ==========

    author : str
        This VM's incarnation.
    """

    def __init__(self, author: str):
        self.author = author
        self._unsettled: dict[
            tuple[records.ProgramId, Origin], dict[records.TurnId, int]
        ] = {}
        self._home_by_program: dict[records.ProgramId, int] = {}

    def take(
        self,
        program: program_module.Program,
        turn: records.TurnId,
        ceiling: int,
        budget: int | None,
    ) -> Ticket | None:
        """Return the right to run a turn, if this VM may give it."""
        for origin in (Origin.RESERVE, Origin.HOME):
            if budget is None or self.available(program, origin) >= ceiling:
                self._put(program.id, origin, turn, ceiling)
                return Ticket(program.id, turn, ceiling, budget, origin)
        return None

    def can_take(self, program: program_module.Program, ceiling: int) -> bool:
        """Return whether a turn would get its right."""
        return any(
            self.available(program, origin) >= ceiling
            for origin in (Origin.RESERVE, Origin.HOME)
        )

    def available(
        self, program: program_module.Program, origin: Origin
    ) -> int:
        """Return the tokens that are left, in turns under way counted."""
        if origin is Origin.HOME:
            granted = self._home_by_program.get(program.id, 0)
        else:
            granted = program.reserve_by_author.get(self.author, 0)
        used = self._unsettled.get((program.id, origin), {})
        return granted - sum(used.values())

    def give_back(
        self, program: program_module.Program, turn: records.TurnId
    ) -> int:
        """Return the idle reserve; it can't be used until ``turn`` settles."""
        idle = max(0, self.available(program, Origin.RESERVE))
        if idle:
            self._put(program.id, Origin.RESERVE, turn, idle)
        return idle

    def spent(self, ticket: Ticket, tokens: int) -> None:
        """Take note that a turn has ended, and what it used."""
        self._put(ticket.program, ticket.origin, ticket.turn, tokens)

    def settle(self, ticket: Ticket, tokens: int) -> None:
        """Take note that the log holds what a turn used, or that it is 0."""
        self._drop(ticket.program, ticket.origin, ticket.turn)
        if ticket.origin is Origin.HOME:
            left = self._home_by_program.get(ticket.program, 0) - tokens
            self._home_by_program[ticket.program] = max(0, left)

    def returned(
        self, program: records.ProgramId, turn: records.TurnId
    ) -> None:
        """Take note that the log holds what was given back."""
        self._drop(program, Origin.RESERVE, turn)

    def make_home(self, program: records.ProgramId, budget: int) -> None:
        """Take over the whole budget of a program that begins here."""
        self._home_by_program.setdefault(program, budget)

    def is_home(self, program: records.ProgramId) -> bool:
        """Return whether the program began here while the log was away."""
        return program in self._home_by_program

    def close_homes(self) -> None:
        """End the homes whose turns all stand in the log."""
        for program in list(self._home_by_program):
            if not self._unsettled.get((program, Origin.HOME)):
                del self._home_by_program[program]

    # -- own ------------------------------------------------------------------

    def _put(self, program, origin, turn, tokens) -> None:
        self._unsettled.setdefault((program, origin), {})[turn] = tokens

    def _drop(self, program, origin, turn) -> None:
        used = self._unsettled.get((program, origin))
        if used is None:
            return
        used.pop(turn, None)
        if not used:
            del self._unsettled[program, origin]
