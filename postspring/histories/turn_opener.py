"""Opens turns by records in the log, and settles those that don't run."""

from collections.abc import Callable

from postspring.histories import accounts
from postspring.histories import claims as claims_module
from postspring.histories import contributions
from postspring.histories import errors
from postspring.histories import fold as fold_module
from postspring.histories import program as program_module
from postspring.histories import records

__all__ = ["OnError", "OnOpened", "TurnOpener"]

OnError = Callable[[errors.HistoryError], None]
OnOpened = Callable[[contributions.TurnState, accounts.Ticket], None]


class TurnOpener:
    """Opens turns in the log, and settles those that don't run.

    Parameters
    ==========

    commit : callable
        Appends a record; takes a timeout and functions to call with the fold
        or with an error.
    settle : callable
        Appends the record of a turn that never ran, with a timeout that no
        caller waits for.
    """

    def __init__(
        self,
        claims: claims_module.ClaimWriter,
        commit: Callable,
        settle: Callable[[records.EndedTurn], None],
    ):
        self._claim_writer = claims
        self._commit = commit
        self._settle = settle
        self._running: set[records.TurnRef] = set()

    def note_running(self, ref: records.TurnRef) -> None:
        """Note that a turn may be running here."""
        self._running.add(ref)

    def note_stopped(self, ref: records.TurnRef) -> None:
        """Note that a turn no longer runs here."""
        self._running.discard(ref)

    def conflicting_state(
        self, known: program_module.Program, ref: records.TurnRef
    ) -> contributions.TurnState | None:
        """Return the state that keeps a turn's id from being used, if any."""
        if ref in self._running:
            return contributions.TurnState.ID_IN_USE
        return known.state_after_run(ref.turn)

    def open(
        self,
        known: program_module.Program,
        ticket: accounts.Ticket,
        timeout: float,
        on_done: OnOpened,
        on_error: OnError,
    ) -> None:
        """Append the record that opens a turn; decide on it at its offset."""
        record = self._claim_writer.opening_record(known, ticket)
        ref = records.TurnRef(record.program, record.turn)
        self.note_running(ref)

        def folded(fold: fold_module.ProgramFold) -> None:
            state, decided = self._claim_writer.note_opened(
                fold, record, ticket
            )
            if state is not contributions.TurnState.OPEN:
                # Other VMs charge it until this VM, the only one that decides,
                # has withdrawn it.
                self.note_stopped(ref)
                self._settle(self._claim_writer.withdrawal_record(record))
            on_done(state, decided)

        def failed(error: errors.HistoryError) -> None:
            # The record may still be appended; it must not stay charged.
            self.note_stopped(ref)
            self._settle(self._claim_writer.note_failed(record))
            on_error(error)

        self._commit(record, timeout, folded, failed)
