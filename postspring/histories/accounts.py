"""Tokens of programs' budgets that this VM may spend without the log."""

import dataclasses
import enum

from postspring.histories import program as program_module
from postspring.histories import records

__all__ = ["LocalAccounts", "Origin", "Ticket"]


# A turn uses a quarter of its ceiling on average: with half of it left, few
# turns have to be cut off.
MIN_CEILING_SHARE = 0.5
# Programs whose reserves this VM remembers. A reserve that it forgets stays
# charged and is not used.
MAX_RESERVES = 10_000


class Origin(enum.Enum):
    """The account that a turn's ceiling is charged to.

    ``LOG``: the program's account in the log, by a record that opened the
    turn. ``RESERVE``: tokens that this VM has reserved in the log before.
    ``OFFLINE``: the offline account of a program that starts or continues here
    while the log is unavailable.
    """

    LOG = "log"
    RESERVE = "reserve"
    OFFLINE = "home"


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """The right to run one turn.

    Parameters
    ==========

    limit : int or None
        Tokens after which the turn has to be cut off.
    granted, returned : int
        Tokens that the record which opened the turn reserved and released.
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
    """Tokens of one program's budget that this VM has reserved.

    Parameters
    ==========

    usable : int
        Tokens whose record fitted the budget, less those used.
    requested : int
        Tokens in records that are not folded yet.
    unfit : int
        Tokens whose record did not fit: to be released, never used.
    """

    usable: int = 0
    requested: int = 0
    unfit: int = 0


@dataclasses.dataclass(slots=True)
class _OfflineAccount:
    """Budget of a program that runs here while the log is unavailable.

    Parameters
    ==========

    tokens : int
        Tokens left, before those of unsettled turns are subtracted.
    is_certain : bool
        Whether no other VM can know the program. Otherwise the program might
        have spent its budget before: the account then gets no more than the
        one turn by which a budget may be exceeded, and a turn starts if a good
        part of its ceiling is left.
    """

    tokens: int
    is_certain: bool


class LocalAccounts:
    """Tokens of programs that this VM may spend by itself.

    Explanation
    ===========

    Only this VM knows which tokens of its reserve it may use, from its own
    records: other VMs charge all tokens that the records name, but only those
    that fitted the budget at their offset in the log may be used. Tokens that
    running turns may use, or that ended turns have used, are deducted from the
    reserve until the records that settle them are folded.

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
        is_log_unavailable: bool,
    ) -> Ticket | None:
        """Return the right to run a turn, or None if this VM lacks tokens."""
        if budget is None:
            return Ticket(program.id, turn, ceiling, budget, Origin.RESERVE)
        if self._reserve_left(program) >= ceiling:
            self._set_unsettled(program.id, Origin.RESERVE, turn, ceiling)
            return Ticket(program.id, turn, ceiling, budget, Origin.RESERVE)
        if not is_log_unavailable:
            return None
        limit = self._offline_limit(program, ceiling, budget)
        if limit <= 0:
            return None
        self._set_unsettled(program.id, Origin.OFFLINE, turn, limit)
        return Ticket(program.id, turn, ceiling, budget, Origin.OFFLINE, limit)

    def can_admit(
        self,
        program: program_module.Program,
        ceiling: int,
        is_log_unavailable: bool,
    ) -> bool:
        """Return whether a local account has the tokens for a turn."""
        if self._reserve_left(program) >= ceiling:
            return True
        return (
            is_log_unavailable
            and self._offline_limit(program, ceiling, None) > 0
        )

    def _reserve_left(self, program: program_module.Program) -> int:
        """Return the tokens that fitted, are unspent and are charged here.

        A reserve that this VM does not charge, since it has read none of the
        records for long, is not reported to other VMs either, and they may
        spend it.
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
        """Return the tokens that a turn may use offline; 0 if none."""
        offline_account = self._offline_by_program.get(program.id)
        if offline_account is None:
            return 0
        left = offline_account.tokens - self._unsettled_tokens(
            program.id, Origin.OFFLINE
        )
        if budget is not None:
            charged_in_log = program.charged + program.reserved
            used = self._unsettled_tokens(program.id, Origin.OFFLINE)
            left = min(left, budget - charged_in_log - used)
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
        """Note that a record that reserves tokens is being appended."""
        if tokens:
            self._reserve(program).requested += tokens

    def requested(self, program: records.ProgramId) -> int:
        """Return the tokens that records under way reserve."""
        reserve = self._reserve_by_program.get(program)
        return 0 if reserve is None else reserve.requested

    def note_granted(
        self, program: records.ProgramId, tokens: int, reserve_fits: bool
    ) -> None:
        """Note that a record that reserves tokens is in the log.

        Parameters
        ----------
        reserve_fits : bool
            Whether the tokens fitted the budget at the record's offset.
        """
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
        """Note that tokens of a record under way are not reserved."""
        if tokens:
            self._reserve(program).requested -= tokens

    def release_idle(self, program: program_module.Program) -> int:
        """Remove and return the idle tokens and those that never fitted."""
        idle = max(0, self._reserve_left(program))
        if idle:
            self._reserve(program.id).usable -= idle
        return idle + self.release_unfit(program.id)

    def release_unfit(self, program: records.ProgramId) -> int:
        """Remove and return the tokens that never fitted.

        They are removed so that only one record names them.
        """
        reserve = self._reserve_by_program.get(program)
        if reserve is None:
            return 0
        unfit, reserve.unfit = reserve.unfit, 0
        return unfit

    def note_spent(self, ticket: Ticket, tokens: int) -> None:
        """Note that a turn has ended and how many tokens it used."""
        if ticket.budget is None and ticket.origin is Origin.RESERVE:
            return
        self._set_unsettled(ticket.program, ticket.origin, ticket.turn, tokens)

    def note_settled(self, ticket: Ticket, tokens: int) -> None:
        """Note that the log charges what a turn used, or that it used 0."""
        self._clear_unsettled(ticket.program, ticket.origin, ticket.turn)
        offline_account = self._offline_by_program.get(ticket.program)
        if ticket.origin is Origin.OFFLINE and offline_account is not None:
            offline_account.tokens -= tokens
        is_bounded = ticket.budget is not None
        if ticket.origin is Origin.RESERVE and is_bounded and tokens:
            self._reserve(ticket.program).usable -= tokens

    def start_offline_account(
        self,
        program: records.ProgramId,
        ceiling: int,
        budget: int | None,
        charged: int,
        offline_elsewhere: int,
        is_certain: bool,
    ) -> None:
        """Open an offline account while the log is unavailable.

        Unless it is certain that no other VM does the same, all offline
        accounts of a program together get no more than the one turn by which a
        budget may be exceeded.

        Parameters
        ----------
        charged : int
            Tokens that records charge the program with, as far as any VM that
            was asked knows.
        offline_elsewhere : int
            Tokens of the program's offline accounts at other VMs.
        """
        if budget is not None:
            left = budget - charged - offline_elsewhere
            tokens = (
                left if is_certain else min(left, ceiling - offline_elsewhere)
            )
            self.open_offline_account(program, tokens, is_certain)

    def open_offline_account(
        self, program: records.ProgramId, tokens: int, is_certain: bool
    ) -> None:
        """Open an offline account unless the program has one here."""
        offline_account = _OfflineAccount(tokens, is_certain)
        self._offline_by_program.setdefault(program, offline_account)

    def offline_tokens(self, program: records.ProgramId) -> int:
        """Return the tokens of an offline account that are not settled."""
        offline_account = self._offline_by_program.get(program)
        return 0 if offline_account is None else max(0, offline_account.tokens)

    def unsettled_offline(
        self, program: records.ProgramId
    ) -> dict[records.TurnId, int]:
        """Return the tokens of offline turns here that the log lacks.

        A running turn counts with the most that it may use.
        """
        return dict(self._unsettled.get((program, Origin.OFFLINE), {}))

    def has_offline_account(self, program: records.ProgramId) -> bool:
        """Return whether a program has an offline account here."""
        return program in self._offline_by_program

    @property
    def has_offline_accounts(self) -> bool:
        """Whether there are offline accounts, or unsettled turns of one."""
        origins = {origin for program, origin in self._unsettled}
        return bool(self._offline_by_program) or Origin.OFFLINE in origins

    def close_offline_account(self, program: records.ProgramId) -> None:
        """Close an offline account if all its turns are settled."""
        if not self._unsettled.get((program, Origin.OFFLINE)):
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
