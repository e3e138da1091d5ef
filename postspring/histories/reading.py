"""Reading histories: what of them is known here, and what the log has."""

from collections.abc import Callable

from postspring.histories import accounts
from postspring.histories import chains
from postspring.histories import copies
from postspring.histories import openings
from postspring.histories import partitions
from postspring.histories import program as program_module
from postspring.histories import records

__all__ = ["JournalReader"]

# For how long a partition that failed just now is tried, in seconds; above the
# store's usual 4 ms.
FAILING_TIMEOUT_SECONDS = 0.05


class JournalReader:
    """The questions that a journal answers; it has what they are about."""

    accounts: accounts.LocalAccounts
    _partitions: partitions.Partitions
    _held_by_ref: dict[records.TurnRef, records.WholeTurn]
    _ended_replicas: copies.EndedTurnReplicas

    def charged(self, program: records.ProgramId) -> int:
        """Return what the records here charge a program with."""
        known = self._partitions.program(program)
        return known.charged + known.reserved

    def unsettled(
        self, program: records.ProgramId
    ) -> dict[records.TurnId, int]:
        """Return tokens of turns that ran at a home, and are not charged."""
        return {
            **self._ended_replicas.tokens_by_turn(program),
            **self.accounts.unsettled_offline(program),
        }

    @property
    def knows_homes(self) -> bool:
        """Whether any turn that ran at a home may not be charged yet."""
        return (
            self.accounts.has_offline_accounts or len(self._ended_replicas) > 0
        )

    def home_left(self, program: records.ProgramId) -> int:
        """Return what a program may still spend here without the log."""
        place = partitions.place_of_program(program)
        if not self._partitions.is_unresponsive(place):
            return 0
        spent = self.accounts.unsettled_offline(program).values()
        return max(0, self.accounts.home_tokens(program) - sum(spent))

    def fits_beside(
        self,
        program: records.ProgramId,
        budget: int | None,
        unsettled: dict[records.TurnId, int],
        home_left: int,
    ) -> bool:
        """Return whether a program's turns fit beside what homes used.

        Parameters
        ----------
        unsettled : dict
            Tokens of turns that the log may lack.
        home_left : int
            Tokens that homes may still spend.
        """
        if budget is None:
            return True
        known = self._partitions.program(program)
        lacking = sum(
            tokens
            for turn, tokens in unsettled.items()
            if known.state_after_run(turn) is None
        )
        return self.charged(program) + lacking + home_left <= budget

    def find_chain(
        self,
        program: records.ProgramId,
        turn: records.TurnId,
        timeout: float,
        on_done: Callable[[chains.Chain | None], None],
        on_error: openings.OnError,
    ) -> None:
        """Collect the chain that ends with a turn; None if there is none.

        ``program`` is where it is looked for first.
        """
        search = chains.ChainSearch(self, timeout, on_done, on_error)
        search.start(self.ref_of(program, turn))

    def known_chain(self, ref: records.TurnRef) -> chains.Chain | None:
        """Return a chain if this VM has all of it in memory."""
        return chains.collect_chain(self.known_turn, ref)[0]

    def ref_of(
        self, program: records.ProgramId, turn: records.TurnId
    ) -> records.TurnRef:
        """Return where a turn is looked for; ``program`` may continue it.

        Where a turn of another program stands is told by the log, unless
        the turn is not in the log yet.
        """
        ref = records.TurnRef(program, turn)
        if self.known_turn(ref) is None:
            for held in self._held_by_ref:
                if held.turn == turn:
                    return held
        return ref

    def known_turn(self, ref: records.TurnRef) -> program_module.Turn | None:
        """Return a whole turn if this VM has it in memory."""
        whole = self._partitions.whole_turn(ref)
        held = self._held_by_ref.get(ref)
        if whole is None and held is not None:
            whole = program_module.Turn.from_record(held)
        return whole

    def is_logged(self, ref: records.TurnRef) -> bool:
        """Return whether a whole turn is known to stand in the log."""
        return self._partitions.whole_turn(ref) is not None

    def knows(self, program: records.ProgramId) -> bool:
        """Return whether this VM has any turn of a program in memory."""
        return (
            bool(self._partitions.program(program).turn_by_id)
            or self.accounts.has_offline_account(program)
            or self._holds(program)
        )

    def is_recorded(
        self, program: records.ProgramId, previous: records.TurnId | None
    ) -> bool:
        """Return whether all that is known here of a program is in the log.

        Not so if this VM does not know the turn that is to be continued.
        """
        if self.accounts.has_offline_account(program) or self._holds(program):
            return False
        if previous is None:
            return True
        return self.known_turn(records.TurnRef(program, previous)) is not None

    def can_take(
        self,
        program: records.ProgramId,
        previous: records.TurnId | None,
        ceiling: int,
    ) -> bool:
        """Return whether this VM could run a turn without the log."""
        if previous is not None:
            if self.known_chain(self.ref_of(program, previous)) is None:
                return False
        is_unresponsive = self._partitions.is_unresponsive(
            partitions.place_of_program(program)
        )
        known = self._partitions.program(program)
        return self.accounts.can_admit(known, ceiling, is_unresponsive)

    def refresh_program(
        self,
        program: records.ProgramId,
        timeout: float,
        on_done: Callable[[], None],
        on_error: openings.OnError,
        keeps_timeout: bool = False,
    ) -> None:
        """Fold all records of a program's partition.

        Parameters
        ----------
        waits_long : bool
            Nobody waits: keep the whole timeout while the log is away, too.
        """
        place = partitions.place_of_program(program)
        if self._partitions.is_unresponsive(place) and not keeps_timeout:
            timeout = min(timeout, FAILING_TIMEOUT_SECONDS)
        self._partitions.get(place).refresh(
            timeout, lambda fold: on_done(), on_error
        )

    def locate(
        self,
        turn: records.TurnId,
        timeout: float,
        on_done: Callable[[records.ProgramId | None], None],
        on_error: openings.OnError,
    ) -> None:
        """Tell among which program's records a turn stands."""
        partition = self._partitions.get(partitions.place_of_location(turn))
        known = partition.fold.program_by_turn.get(turn)
        if known is not None:
            on_done(known)
            return
        partition.refresh(
            timeout,
            lambda fold: on_done(fold.program_by_turn.get(turn)),
            on_error,
        )

    def place_of(self, program: records.ProgramId, line: str) -> str:
        """Return the upstream that has a line's prompt in memory, or empty."""
        return self._partitions.program(program).place_of(line)

    # -- own ------------------------------------------------------------------

    def _holds(self, program: records.ProgramId) -> bool:
        """Return whether a turn of a program is not in the log yet."""
        if self._ended_replicas.has_program(program):
            return True
        return any(ref.program == program for ref in self._held_by_ref)
