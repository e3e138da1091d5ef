"""Claims that this VM writes into the records of programs' accounts."""

from collections.abc import Callable
import dataclasses

from postspring.histories import accounts
from postspring.histories import contributions
from postspring.histories import fold as fold_module
from postspring.histories import program as program_module
from postspring.histories import records

__all__ = ["ClaimWriter"]

OPEN = contributions.TurnState.OPEN


class ClaimWriter:
    """Writes claims into records and applies the decisions on them.

    Explanation
    ===========

    The VM that reserves tokens ahead computes their number once, from the
    records that it knows, and writes it into its record. If other VMs computed
    the number from the records before it, those that have read fewer records
    would get another one.

    Parameters
    ==========

    local_accounts : LocalAccounts
        Tokens that the VM may spend by itself.
    may_have_uncharged_turns : callable
        Returns whether other VMs may have turns of a program that the log
        doesn't charge yet.  The log would then accept a reserve of tokens
        that are spent.
    """

    def __init__(
        self,
        local_accounts: accounts.LocalAccounts,
        may_have_uncharged_turns: Callable[
            [records.ProgramId], bool
        ] = lambda program: False,
    ):
        self._accounts = local_accounts
        self._may_have_uncharged_turns = may_have_uncharged_turns

    def opening_record(
        self, known: program_module.Program, ticket: accounts.Ticket
    ) -> records.OpenedTurn:
        """Return the record that opens a turn and releases the idle tokens."""
        returned = self._accounts.release_idle(known)
        own = known.reserve_by_author.get(self._accounts.author, 0)
        granted = self._request_reserve(
            known, ticket, own - returned, ticket.ceiling - returned
        )
        claim = records.Claim(
            self._accounts.author,
            ticket.ceiling,
            ticket.budget,
            granted,
            returned=returned,
        )
        return records.OpenedTurn(ticket.program, ticket.turn, claim)

    def offline_opening(self, ticket: accounts.Ticket) -> records.OpenedTurn:
        """Return the record that opens a turn on an offline account."""
        claim = records.Claim(
            self._accounts.author,
            ticket.limit,
            ticket.budget,
            from_reserve=True,
        )
        return records.OpenedTurn(ticket.program, ticket.turn, claim)

    def note_opened(
        self,
        fold: fold_module.ProgramFold,
        record: records.OpenedTurn,
        ticket: accounts.Ticket,
    ) -> tuple[contributions.TurnState, accounts.Ticket]:
        """Return whether a turn may run, and its ticket.

        The ticket leaves out a reserve that did not fit, so the record of the
        turn's end does not name it.
        """
        claim = record.claim
        state, reserve_fits = fold.program(record.program).decide(record)
        if state is OPEN and reserve_fits:
            self._accounts.note_granted(
                record.program, claim.granted, reserve_fits
            )
            granted = claim.granted
        else:
            self._accounts.note_not_granted(record.program, claim.granted)
            granted = 0
        ticket = dataclasses.replace(
            ticket, granted=granted, returned=claim.returned
        )
        return state, ticket

    def withdrawal_record(
        self, record: records.OpenedTurn
    ) -> records.EndedTurn:
        """Return the record that settles an opening whose turn never ran."""
        claim = record.claim._replace(ceiling=0, granted=0)
        return records.EndedTurn(record.program, record.turn, claim, 0)

    def note_failed(self, record: records.OpenedTurn) -> records.EndedTurn:
        """Return the record that settles an opening of unknown outcome."""
        self._accounts.note_not_granted(record.program, record.claim.granted)
        return self.withdrawal_record(record)

    def settlement_claim(
        self,
        known: program_module.Program,
        ticket: accounts.Ticket,
        tokens: int,
    ) -> records.Claim:
        """Return the claim of a turn's end, which includes its opening's."""
        from_reserve = (
            ticket.origin is accounts.Origin.RESERVE
            and ticket.budget is not None
        )
        returned = self._accounts.release_unfit(known.id)
        own = known.reserve_by_author.get(self._accounts.author, 0) - returned
        used = -returned
        if from_reserve:
            own -= tokens
        elif ticket.origin is accounts.Origin.LOG:
            used += tokens - ticket.ceiling
        else:
            used += tokens
        return records.Claim(
            self._accounts.author,
            ticket.ceiling,
            ticket.budget,
            ticket.granted + self._request_reserve(known, ticket, own, used),
            from_reserve,
            ticket.returned + returned,
        )

    def note_settled(
        self,
        fold: fold_module.ProgramFold,
        record: records.CompletedTurn | records.EndedTurn,
        ticket: accounts.Ticket,
    ) -> None:
        """Note that the record of a turn's end is in the log."""
        decision = fold.program(record.program).decide(record)
        self._accounts.note_granted(
            record.program,
            record.claim.granted - ticket.granted,
            decision.reserve_fits,
        )
        self._accounts.note_settled(ticket, record.tokens)

    # -- own ------------------------------------------------------------------

    def _request_reserve(self, known, ticket, own: int, used: int) -> int:
        if self._may_have_uncharged_turns(known.id):
            return 0
        requested = self._accounts.requested(known.id)
        offline = sum(self._accounts.unsettled_offline(known.id).values())
        granted = known.reservable_tokens(
            ticket.ceiling,
            ticket.budget,
            own + requested,
            used + requested + offline,
        )
        self._accounts.note_requested(known.id, granted)
        return granted
