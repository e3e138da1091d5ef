"""Claims: what this VM's records say of programs' accounts."""

import dataclasses

from postspring.histories import accounts
from postspring.histories import fold as fold_module
from postspring.histories import program as program_module
from postspring.histories import records
from postspring.histories import shares

__all__ = ["Claims"]

OPEN = shares.TurnState.OPEN


class Claims:
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

    def __init__(self, local: accounts.LocalAccounts):
        self._local = local

    def opening(
        self, known: program_module.Program, ticket: accounts.Ticket
    ) -> records.OpenedTurn:
        """Return the record that opens a turn; the idle reserve goes back."""
        returned = self._local.give_back(known)
        own = known.reserve_by_author.get(self._local.author, 0)
        granted = self._ask(
            known, ticket, own - returned, ticket.ceiling - returned
        )
        claim = records.Claim(
            self._local.author,
            ticket.ceiling,
            ticket.budget,
            granted,
            returned=returned,
        )
        return records.OpenedTurn(ticket.program, ticket.turn, claim)

    def opened(
        self,
        fold: fold_module.ProgramFold,
        record: records.OpenedTurn,
        ticket: accounts.Ticket,
    ) -> tuple[shares.TurnState, accounts.Ticket]:
        """Return whether a turn may run, and its ticket.

        A reserve that did not fit is named no more when the turn ends.
        """
        claim = record.claim
        state, holds = fold.program(record.program).judge(record)
        if state is OPEN and holds:
            self._local.granted(record.program, claim.granted, holds)
            granted = claim.granted
        else:
            self._local.not_granted(record.program, claim.granted)
            granted = 0
        ticket = dataclasses.replace(
            ticket, granted=granted, returned=claim.returned
        )
        return state, ticket

    def given_up(self, record: records.OpenedTurn) -> records.EndedTurn:
        """Return the record that settles an opening that came to nothing."""
        claim = record.claim._replace(ceiling=0, granted=0)
        return records.EndedTurn(record.program, record.turn, claim, 0)

    def failed(self, record: records.OpenedTurn) -> records.EndedTurn:
        """Return what settles an opening of which nothing is known."""
        self._local.not_granted(record.program, record.claim.granted)
        return self.given_up(record)

    def settling(
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
        returned = self._local.give_back_unfit(known.id)
        own = known.reserve_by_author.get(self._local.author, 0) - returned
        used = -returned
        if from_reserve:
            own -= tokens
        elif ticket.origin is accounts.Origin.LOG:
            used += tokens - ticket.ceiling
        else:
            used += tokens
        return records.Claim(
            self._local.author,
            ticket.ceiling,
            ticket.budget,
            ticket.granted + self._ask(known, ticket, own, used),
            from_reserve,
            ticket.returned + returned,
        )

    def settled(
        self,
        fold: fold_module.ProgramFold,
        record: records.WholeTurn | records.EndedTurn,
        ticket: accounts.Ticket,
    ) -> None:
        """Take note that the record of a turn's end stands in the log."""
        judgement = fold.program(record.program).judge(record)
        self._local.granted(
            record.program,
            record.claim.granted - ticket.granted,
            judgement.holds,
        )
        self._local.settle(ticket, record.tokens)

    # -- own ------------------------------------------------------------------

    def _ask(self, known, ticket, own: int, used: int) -> int:
        asked = self._local.asked(known.id)
        granted = known.room_ahead(
            ticket.ceiling, ticket.budget, own + asked, used + asked
        )
        self._local.ask(known.id, granted)
        return granted
