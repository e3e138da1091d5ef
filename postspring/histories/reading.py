"""Read access to histories: what this VM knows, and what the log has."""

from collections.abc import Callable
from collections.abc import Iterable

from postspring.histories import accounts
from postspring.histories import chains
from postspring.histories import held_turns
from postspring.histories import partitions
from postspring.histories import program as program_module
from postspring.histories import records
from postspring.histories import replicas
from postspring.histories import turn_opener

__all__ = ["JournalReader"]

# Timeout for a partition that has just failed, in seconds; above the store's
# usual 4 ms.
FAILING_TIMEOUT_SECONDS = 0.05


class JournalReader:
    """The queries of a journal, which sets the attributes that they use.

    Attributes
    ==========

    may_have_uncharged_turns : callable
        Returns whether other VMs may have turns of a program that the log
        doesn't charge yet.
    """

    may_have_uncharged_turns: Callable[[records.ProgramId], bool]
    accounts: accounts.LocalAccounts
    _partitions: partitions.Partitions
    _held_by_ref: held_turns.HeldTurns
    _charge_replicas: replicas.ChargeReplicas

    def charged(self, program: records.ProgramId) -> int:
        """Return the tokens that the folded records charge a program with."""
        known = self._partitions.program(program)
        return known.charged + known.reserved

    def unsettled(
        self, program: records.ProgramId
    ) -> dict[records.TurnId, int]:
        """Return the tokens of turns that the log may not charge.

        These ran on an offline account here, or at a VM that may be gone and
        whose replicas this VM holds.
        """
        return {
            **self._held_tokens_by_turn(program),
            **self._charge_replicas.tokens_by_turn(program),
            **self.accounts.unsettled_offline(program),
        }

    def offline_author_by_turn(
        self, program: records.ProgramId
    ) -> dict[records.TurnId, str]:
        """Return the turns that ran on offline accounts of other VMs.

        They are known from records, or from replicas of what no record has
        opened.  Their authors may have run more turns of the program, and may
        still run some.
        """
        known = self._partitions.program(program)
        replicas_held = [
            *self._charge_replicas.stored,
            *(
                turn
                for turn in self._held_replicas
                if turn.claim.is_offline_end
                and known.charge_of(turn.turn) == 0
            ),
        ]
        author_by_turn = known.offline_author_by_turn | {
            record.turn: record.claim.author
            for record in replicas_held
            if record.program == program
        }
        return {
            turn: author
            for turn, author in author_by_turn.items()
            if author != self.accounts.author
        }

    @property
    def may_have_offline_charges(self) -> bool:
        """Whether any offline turn may not be charged yet."""
        return (
            self.accounts.has_offline_accounts
            or len(self._charge_replicas) > 0
            or any(self._held_replicas)
        )

    def offline_tokens_left(self, program: records.ProgramId) -> int:
        """Return the tokens that a program may still spend here offline."""
        place = partitions.place_of_program(program)
        if not self._partitions.is_unresponsive(place):
            return 0
        spent = self.accounts.unsettled_offline(program).values()
        return max(0, self.accounts.offline_tokens(program) - sum(spent))

    def fits_with_offline_use(
        self,
        program: records.ProgramId,
        budget: int | None,
        unsettled: dict[records.TurnId, int],
        offline_tokens_left: int,
    ) -> bool:
        """Return whether a program's charge and offline use fit its budget.

        This VM's own offline use counts as well.

        Parameters
        ----------
        unsettled : dict
            Tokens of turns that the log may lack, by the other VMs.
        offline_tokens_left : int
            Tokens that offline accounts may still spend.
        """
        if budget is None:
            return True
        known = self._partitions.program(program)
        lacking = sum(
            max(0, tokens - known.charge_of(turn))
            for turn, tokens in (unsettled | self.unsettled(program)).items()
            if known.state_after_run(turn) is None
        )
        if not lacking and not offline_tokens_left:
            return True
        return self.charged(program) + lacking + offline_tokens_left <= budget

    def is_budget_exhausted(
        self, program: records.ProgramId, ceiling: int, budget: int | None
    ) -> bool:
        """Return whether no turn of this size can ever run again."""
        known = self._partitions.program(program)
        return known.is_budget_exhausted(ceiling, budget)

    def patience(self, usual: float) -> float:
        """Return how long a caller should wait for the log.

        Parameters
        ----------
        usual : float
            Seconds for a log that is not slow.
        """
        return self._partitions.patience(usual)

    def has_log_answered_since(self, moment: float) -> bool:
        """Return whether the log has answered this VM itself since then."""
        return self._partitions.has_log_answered_since(moment)

    def find_chain(
        self,
        program: records.ProgramId,
        turn: records.TurnId,
        timeout: float,
        on_done: Callable[[chains.Chain | None], None],
        on_error: turn_opener.OnError,
    ) -> None:
        """Find the chain that ends with a turn; None if there is none.

        The records of ``program`` are searched first.
        """
        search = chains.ChainSearch(self, timeout, on_done, on_error)
        search.start(self.resolve_ref(program, turn))

    def known_chain(self, ref: records.TurnRef) -> chains.Chain | None:
        """Return a chain if this VM has all of it in memory."""
        return chains.collect_chain(self.known_turn, ref)[0]

    def resolve_ref(
        self, program: records.ProgramId, turn: records.TurnId
    ) -> records.TurnRef:
        """Return where to look for a turn that ``program`` may continue.

        If the turn belongs to another program, its location in the log tells
        which one, unless this VM holds the turn.
        """
        ref = records.TurnRef(program, turn)
        if self.known_turn(ref) is None:
            for held in self._held_by_ref:
                if held.turn == turn:
                    return held
        return ref

    def known_turn(self, ref: records.TurnRef) -> program_module.Turn | None:
        """Return a completed turn if this VM has it in memory."""
        turn = self._partitions.completed_turn(ref)
        held = self._held_by_ref.get(ref)
        if turn is None and held is not None:
            turn = program_module.Turn.from_record(held)
        return turn

    def is_logged(self, ref: records.TurnRef) -> bool:
        """Return whether a completed turn is known to be in the log."""
        return self._partitions.completed_turn(ref) is not None

    def knows(self, program: records.ProgramId) -> bool:
        """Return whether this VM has any turn or account of a program."""
        return (
            bool(self._partitions.program(program).turn_by_id)
            or self.accounts.has_offline_account(program)
            or self._holds(program)
        )

    def is_recorded(
        self, program: records.ProgramId, previous: records.TurnId | None
    ) -> bool:
        """Return whether VMs that have the log only can continue a program.

        Held turns that the new one does not rest on don't matter. False as
        well if this VM does not know a turn of the chain.
        """
        if self.accounts.has_offline_account(program):
            return False
        if self._charge_replicas.has_program(program):
            return False
        ref = None
        if previous is not None:
            ref = records.TurnRef(program, previous)
        while ref is not None:
            turn = self.known_turn(ref)
            if turn is None or self._held_by_ref.is_unrecorded(ref):
                return False
            ref = turn.parent
        return True

    def can_run(
        self,
        program: records.ProgramId,
        previous: records.TurnId | None,
        ceiling: int,
    ) -> bool:
        """Return whether this VM could run a turn without the log."""
        if previous is not None:
            if self.known_chain(self.resolve_ref(program, previous)) is None:
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
        on_error: turn_opener.OnError,
        keeps_timeout: bool = False,
    ) -> None:
        """Fold all records of a program's partition.

        Parameters
        ----------
        keeps_timeout : bool
            Keep the timeout as it is even while the log is unavailable, since
            no caller waits.
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
        on_error: turn_opener.OnError,
    ) -> None:
        """Find the program among whose records a turn is stored."""
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

    def last_upstream_of(self, program: records.ProgramId, line: str) -> str:
        """Return the upstream with a conversation's prompt, or empty."""
        return self._partitions.program(program).last_upstream_of(line)

    # -- own ------------------------------------------------------------------

    @property
    def _held_replicas(self) -> Iterable[records.CompletedTurn]:
        """Other VMs' turns that this VM holds.

        Of its own ones, those on offline accounts are in these accounts, and
        the log charges the others.
        """
        return (
            record
            for record in self._held_by_ref.values()
            if record.claim.author != self.accounts.author
        )

    def _held_tokens_by_turn(
        self, program: records.ProgramId
    ) -> dict[records.TurnId, int]:
        """Return the tokens of held turns, but those charged to a reserve."""
        return {
            record.turn: record.tokens
            for record in self._held_replicas
            if record.program == program and not record.claim.from_reserve
        }

    def _holds(self, program: records.ProgramId) -> bool:
        """Return whether this VM holds a turn of a program."""
        if self._charge_replicas.has_program(program):
            return True
        return any(ref.program == program for ref in self._held_by_ref)
