"""Openings: turns that ask the log for their right to run."""

from collections.abc import Callable

from postspring.histories import accounts
from postspring.histories import claims as claims_module
from postspring.histories import errors
from postspring.histories import fold as fold_module
from postspring.histories import program as program_module
from postspring.histories import records
from postspring.histories import shares

__all__ = ["OnError", "OnOpened", "Openings"]

OnError = Callable[[errors.HistoryError], None]
OnOpened = Callable[[shares.TurnState, accounts.Ticket], None]


class Openings:
    """Opens turns in the log, and settles those that don't run.

    Parameters
    ==========

    commit : callable
        Appends a record; takes a timeout and what to call with the fold, or
        with an error.
    settle : callable
        Appends the record of a turn that never ran, however long it takes.
    """

    def __init__(
        self,
        claims: claims_module.Claims,
        commit: Callable,
        settle: Callable[[records.EndedTurn], None],
    ):
        self._claims = claims
        self._commit = commit
        self._settle = settle
        self._under_way: set[records.TurnRef] = set()

    def begin(self, ref: records.TurnRef) -> None:
        """Take note that a turn may be running here."""
        self._under_way.add(ref)

    def end(self, ref: records.TurnRef) -> None:
        """Take note that a turn doesn't run here any more."""
        self._under_way.discard(ref)

    def use_of_id(
        self, known: program_module.Program, ref: records.TurnRef
    ) -> shares.TurnState | None:
        """Return what keeps a turn's id from being used, as known here."""
        if ref in self._under_way:
            return shares.TurnState.TAKEN
        return known.state_after_run(ref.turn)

    def open(
        self,
        known: program_module.Program,
        ticket: accounts.Ticket,
        timeout: float,
        on_done: OnOpened,
        on_error: OnError,
    ) -> None:
        """Append the record that opens a turn, and judge it at its place."""
        record = self._claims.opening(known, ticket)
        ref = records.TurnRef(record.program, record.turn)
        self.begin(ref)

        def folded(fold: fold_module.ProgramFold) -> None:
            state, judged = self._claims.opened(fold, record, ticket)
            if state is not shares.TurnState.OPEN:
                # Others charge it until this VM, which knows, has said so.
                self.end(ref)
                self._settle(self._claims.given_up(record))
            on_done(state, judged)

        def failed(error: errors.HistoryError) -> None:
            # The record may still be appended; it must not stay charged.
            self.end(ref)
            self._settle(self._claims.failed(record))
            on_error(error)

        self._commit(record, timeout, folded, failed)
