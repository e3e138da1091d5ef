"""Claims: what this VM's records say of programs' accounts."""

import dataclasses

from postspring.histories import accounts
from postspring.histories import fold as fold_module
from postspring.histories import program as program_module
from postspring.histories import records
from postspring.histories import shares

__all__ = ["ClaimWriter"]

OPEN = shares.TurnState.OPEN


class ClaimWriter:
    """Writes claims into records, and hears what became of them.

    Explanation
    ===========

    How much a VM reserves ahead is computed here, once, from what the VM
    knows, and stands in the record as a number: computed from the records
    before it, it would be another one for whoever reads fewer of them.

    Parameters
    ==========

    local : LocalAccounts
        What the VM may spend.
    """

    def __init__(self, local_accounts: accounts.LocalAccounts):
        self._accounts = local_accounts

    def opening_record(
        self, known: program_module.Program, ticket: accounts.Ticket
    ) -> records.OpenedTurn:
        """Return the record that opens a turn; the idle reserve goes back."""
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

    def note_opened(
        self,
        fold: fold_module.ProgramFold,
        record: records.OpenedTurn,
        ticket: accounts.Ticket,
    ) -> tuple[shares.TurnState, accounts.Ticket]:
        """Return whether a turn may run, and its ticket.

        A reserve that did not fit is named no more when the turn ends.
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
        """Return the record that settles an opening that came to nothing."""
        claim = record.claim._replace(ceiling=0, granted=0)
        return records.EndedTurn(record.program, record.turn, claim, 0)

    def note_failed(self, record: records.OpenedTurn) -> records.EndedTurn:
        """Return what settles an opening of which nothing is known."""
        self._accounts.note_not_granted(record.program, record.claim.granted)
        return self.withdrawal_record(record)

    def settlement_claim(
        self,
        known: program_module.Program,
        ticket: accounts.Ticket,
        tokens: int,
    ) -> records.Claim:
        """Return the claim of a turn's end; names what its opening did."""
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
        record: records.WholeTurn | records.EndedTurn,
        ticket: accounts.Ticket,
    ) -> None:
        """Take note that the record of a turn's end stands in the log."""
        decision = fold.program(record.program).decide(record)
        self._accounts.note_granted(
            record.program,
            record.claim.granted - ticket.granted,
            decision.reserve_fits,
        )
        self._accounts.note_settled(ticket, record.tokens)

    # -- own ------------------------------------------------------------------

    def _request_reserve(self, known, ticket, own: int, used: int) -> int:
        requested = self._accounts.requested(known.id)
        granted = known.reservable_tokens(
            ticket.ceiling, ticket.budget, own + requested, used + requested
        )
        self._accounts.note_requested(known.id, granted)
        return granted
