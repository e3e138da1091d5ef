"""What this VM may spend of programs' budgets without asking the log."""

import dataclasses
import enum

from postspring.histories import program as program_module
from postspring.histories import records

__all__ = ["LocalAccounts", "Origin", "Ticket"]


# A turn uses a quarter of its ceiling on average; with half of it left, few
# have to be broken off.
MIN_CEILING_SHARE = 0.5
# Programs whose reserves are kept in mind.  What is forgotten stays charged
# and is not used.
MAX_RESERVES = 10_000


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
    """The right to run one turn.

    Parameters
    ==========

    limit : int or None
        Tokens after which the turn has to be broken off.
    granted, returned : int
        What the record that opened the turn reserved, and gave back.
    """

    program: records.ProgramId
    turn: records.TurnId
    ceiling: int
    budget: int | None
    origin: Origin
    limit: int | None = None
    granted: int = 0
    returned: int = 0


@dataclasses.dataclass(slots=True)
class _Reserve:
    """What this VM has reserved of one program's budget.

    Parameters
    ==========

    usable : int
        Tokens whose record was found to fit, less what was used.
    asked : int
        Tokens in records that are not folded yet.
    unfit : int
        Tokens whose record did not fit: to be given back, never used.
    """

    usable: int = 0
    requested: int = 0
    unfit: int = 0


@dataclasses.dataclass(slots=True)
class _OfflineAccount:
    """A program that began here while the log was away.

    Parameters
    ==========

    tokens : int
        What is left of the budget.
    is_certain : bool
        Nobody else can know the program.  Otherwise it might have spent
        its budget before; then it gets no more than the one turn by which
        a budget may be passed, and a turn starts if a good part of its
        ceiling is left.
    """

    tokens: int
    is_certain: bool


class LocalAccounts:
    """Tokens of programs that this VM may spend on its own.

    Explanation
    ===========

    What the VM has reserved is known here alone, by its own records: others
    charge all that they name, and only what fitted at its place in the log
    may be used.  What the VM has spent, or may spend in turns under way, is
    held against its reserve until the records that settle it were folded.

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
        self._offline_by_program: dict[records.ProgramId, _OfflineAccount] = {}
        self._reserve_by_program: dict[records.ProgramId, _Reserve] = {}

    def admit(
        self,
        program: program_module.Program,
        turn: records.TurnId,
        ceiling: int,
        budget: int | None,
        is_log_away: bool,
    ) -> Ticket | None:
        """Return the right to run a turn, if this VM may give it."""
        if budget is None:
            return Ticket(program.id, turn, ceiling, budget, Origin.RESERVE)
        if self._reserve_left(program) >= ceiling:
            self._set_unsettled(program.id, Origin.RESERVE, turn, ceiling)
            return Ticket(program.id, turn, ceiling, budget, Origin.RESERVE)
        if not is_log_away:
            return None
        limit = self._offline_limit(program, ceiling, budget)
        if limit <= 0:
            return None
        self._set_unsettled(program.id, Origin.HOME, turn, limit)
        return Ticket(program.id, turn, ceiling, budget, Origin.HOME, limit)

    def can_admit(
        self,
        program: program_module.Program,
        ceiling: int,
        is_log_away: bool,
    ) -> bool:
        """Return whether a turn would get its right."""
        if self._reserve_left(program) >= ceiling:
            return True
        return is_log_away and self._offline_limit(program, ceiling, None) > 0

    def _reserve_left(self, program: program_module.Program) -> int:
        """Return what may be spent: fitting, unspent, and charged here.

        What this VM doesn't charge, since it has read none of the records
        for long, it doesn't name to others either, and they may spend it.
        """
        reserve = self._reserve_by_program.get(program.id)
        if reserve is None:
            return 0
        charged = program.reserve_by_author.get(self.author, 0)
        usable = min(reserve.usable, charged)
        return usable - self._unsettled_tokens(program.id, Origin.RESERVE)

    def _offline_limit(
        self,
        program: program_module.Program,
        ceiling: int,
        budget: int | None,
    ) -> int:
        """Return the tokens that a turn may use at a home; 0 if none."""
        offline_account = self._offline_by_program.get(program.id)
        if offline_account is None:
            return 0
        left = offline_account.tokens - self._unsettled_tokens(
            program.id, Origin.HOME
        )
        if budget is not None:
            charged_elsewhere = program.charged + program.reserved
            used = self._unsettled_tokens(program.id, Origin.HOME)
            left = min(left, budget - charged_elsewhere - used)
        if offline_account.is_certain:
            return ceiling if left >= ceiling else 0
        if left < ceiling * MIN_CEILING_SHARE:
            return 0
        return min(left, ceiling)

    def _unsettled_tokens(
        self, program: records.ProgramId, origin: Origin
    ) -> int:
        return sum(self._unsettled.get((program, origin), {}).values())

    def note_requested(self, program: records.ProgramId, tokens: int) -> None:
        """Take note that a record is on its way that reserves tokens."""
        if tokens:
            self._reserve(program).requested += tokens

    def requested(self, program: records.ProgramId) -> int:
        """Return what records on their way reserve."""
        reserve = self._reserve_by_program.get(program)
        return 0 if reserve is None else reserve.requested

    def note_granted(
        self, program: records.ProgramId, tokens: int, reserve_fits: bool
    ) -> None:
        """Take note that a record stands in the log that reserves tokens."""
        if not tokens:
            return
        reserve = self._reserve(program)
        reserve.requested -= tokens
        if reserve_fits:
            reserve.usable += tokens
        else:
            reserve.unfit += tokens

    def note_not_granted(
        self, program: records.ProgramId, tokens: int
    ) -> None:
        """Take note that a record came to nothing."""
        if tokens:
            self._reserve(program).requested -= tokens

    def release_idle(self, program: program_module.Program) -> int:
        """Return the idle reserve, and what never fitted: both are gone."""
        idle = max(0, self._reserve_left(program))
        if idle:
            self._reserve(program.id).usable -= idle
        return idle + self.release_unfit(program.id)

    def release_unfit(self, program: records.ProgramId) -> int:
        """Return what never fitted, to be named in one record."""
        reserve = self._reserve_by_program.get(program)
        if reserve is None:
            return 0
        unfit, reserve.unfit = reserve.unfit, 0
        return unfit

    def note_spent(self, ticket: Ticket, tokens: int) -> None:
        """Take note that a turn has ended, and what it used."""
        if ticket.budget is None and ticket.origin is Origin.RESERVE:
            return
        self._set_unsettled(ticket.program, ticket.origin, ticket.turn, tokens)

    def note_settled(self, ticket: Ticket, tokens: int) -> None:
        """Take note that the log holds what a turn used, or that it is 0."""
        self._clear_unsettled(ticket.program, ticket.origin, ticket.turn)
        offline_account = self._offline_by_program.get(ticket.program)
        if ticket.origin is Origin.HOME and offline_account is not None:
            offline_account.tokens -= tokens
        is_bounded = ticket.budget is not None
        if ticket.origin is Origin.RESERVE and is_bounded and tokens:
            self._reserve(ticket.program).usable -= tokens

    def begin_home(
        self,
        program: records.ProgramId,
        ceiling: int,
        budget: int | None,
        charged: int,
        charged_elsewhere: int,
        is_certain: bool,
    ) -> None:
        """Let a program go on here while the log is away.

        If it is not certain that nobody else does the same, all homes
        together get no more than the one turn by which a budget may be
        passed.

        Parameters
        ----------
        charged : int
            Tokens that records charge it with, as far as anybody knows.
        elsewhere : int
            Tokens of its other homes.
        """
        if budget is not None:
            left = budget - charged - charged_elsewhere
            tokens = (
                left if is_certain else min(left, ceiling - charged_elsewhere)
            )
            self.open_offline_account(program, tokens, is_certain)

    def open_offline_account(
        self, program: records.ProgramId, tokens: int, is_certain: bool
    ) -> None:
        """Let a program begin here while the log is away."""
        offline_account = _OfflineAccount(tokens, is_certain)
        self._offline_by_program.setdefault(program, offline_account)

    def home_tokens(self, program: records.ProgramId) -> int:
        """Return what a program may spend here, or has spent unrecorded."""
        offline_account = self._offline_by_program.get(program)
        return 0 if offline_account is None else max(0, offline_account.tokens)

    def unsettled_offline(
        self, program: records.ProgramId
    ) -> dict[records.TurnId, int]:
        """Return what turns used here, or may use, that the log lacks."""
        return dict(self._unsettled.get((program, Origin.HOME), {}))

    def has_offline_account(self, program: records.ProgramId) -> bool:
        """Return whether the program began here while the log was away."""
        return program in self._offline_by_program

    @property
    def has_offline_accounts(self) -> bool:
        """Whether any program began here, or has not settled it yet."""
        origins = {origin for program, origin in self._unsettled}
        return bool(self._offline_by_program) or Origin.HOME in origins

    def close_offline_account(self, program: records.ProgramId) -> None:
        """End a home if all its turns stand in the log."""
        if not self._unsettled.get((program, Origin.HOME)):
            self._offline_by_program.pop(program, None)

    # -- own ------------------------------------------------------------------

    def _reserve(self, program: records.ProgramId) -> _Reserve:
        found = self._reserve_by_program.pop(program, None) or _Reserve()
        self._reserve_by_program[program] = found
        if len(self._reserve_by_program) > MAX_RESERVES:
            del self._reserve_by_program[next(iter(self._reserve_by_program))]
        return found

    def _set_unsettled(self, program, origin, turn, tokens) -> None:
        self._unsettled.setdefault((program, origin), {})[turn] = tokens

    def _clear_unsettled(self, program, origin, turn) -> None:
        used = self._unsettled.get((program, origin))
        if used is None:
            return
        used.pop(turn, None)
        if not used:
            del self._unsettled[program, origin]
