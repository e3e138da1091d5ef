"""State of a program, as folded from the log."""

import dataclasses
import enum
from typing import Any

from postspring import budgets
from postspring import identifiers

__all__ = [
    "EMPTY_DIGEST",
    "EndReason",
    "Head",
    "OpenIntent",
    "Program",
    "ProgramStatus",
]

EMPTY_DIGEST = identifiers.Digest(b"")


class ProgramStatus(enum.StrEnum):
    """Whether a program still accepts calls."""

    LIVE = "live"
    ENDED = "ended"


class EndReason(enum.StrEnum):
    """Why a program ended."""

    COMPLETED = "completed"
    CANCELLED = "cancelled"
    BUDGET_SPENT = "budget_spent"
    TOO_MANY_CALLS = "too_many_calls"
    PARENT_ENDED = "parent_ended"
    IDLE = "idle"


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The latest turn of a program: its step and digest."""

    step: int = 0
    digest: bytes = EMPTY_DIGEST


@dataclasses.dataclass(frozen=True, slots=True)
class OpenIntent:
    """A counted intent without an outcome or an abort."""

    epoch: int
    sequence: int
    step: int
    key: str
    request_digest: bytes
    amount: int


class Program:
    """A program: its turns in order, open intent and budget account.

    Explanation
    ===========

    Only the fold of the slot stream changes a program.  Steps are numbered
    from 1 without gaps and each turn contains the digest of the preceding
    one, so neither a gap nor a fork can be recorded.

    ``allowance`` is an amount reserved in the log in advance.  From it the
    current owner may dispatch repeatable calls without waiting for the log.
    The claim of a later owner charges what is left of it as spent.

    Parameters
    ==========

    id : ProgramId
        The program's id.
    service : ServiceName
        The service that the program belongs to.
    priority : int
        Rank under priority scheduling; a larger number goes first.
    parent : ProgramId or None
        The parent program of a sub-agent.
    account : Account
        The program's budget account.
    """

    __slots__ = (
        "id",
        "service",
        "priority",
        "parent",
        "account",
        "allowance",
        "children",
        "status",
        "end_reason",
        "turns",
        "step_by_key",
        "open_intent",
        "create_key",
    )

    def __init__(
        self,
        id: identifiers.ProgramId,
        service: identifiers.ServiceName,
        priority: int,
        parent: identifiers.ProgramId | None,
        account: budgets.Account,
    ):
        self.id = id
        self.service = service
        self.priority = priority
        self.parent = parent
        self.account = account
        self.allowance = 0
        self.children: list[identifiers.ProgramId] = []
        self.status = ProgramStatus.LIVE
        self.end_reason: EndReason | None = None
        self.turns: list[Any] = []
        self.step_by_key: dict[str, int] = {}
        self.open_intent: OpenIntent | None = None
        self.create_key = ""

    @property
    def live(self) -> bool:
        """Whether the program still accepts calls."""
        return self.status is ProgramStatus.LIVE

    @property
    def head(self) -> Head:
        """Step and digest of the latest counted turn."""
        if not self.turns:
            return Head()
        turn = self.turns[-1]
        return Head(turn.step, turn.digest)

    def turn_at(self, step: int) -> Any | None:
        """Return the counted turn with that step number, if any."""
        if 1 <= step <= len(self.turns):
            return self.turns[step - 1]
        return None

    def turn_with_key(self, key: str) -> Any | None:
        """Return the counted turn with that idempotency key, if any."""
        step = self.step_by_key.get(key)
        return None if step is None else self.turn_at(step)

    def add_turn(self, turn: Any) -> None:
        """Add a turn; the fold has checked that it follows the head."""
        self.turns.append(turn)
        if turn.key:
            self.step_by_key[turn.key] = turn.step

    def add_allowance(self, amount: int) -> bool:
        """Reserve ``amount``; return False if the budget is too small."""
        if not self.account.reserve(amount):
            return False
        self.allowance += amount
        return True

    def spend_allowance(self, cost: int) -> None:
        """Charge ``cost`` to the allowance, at most what is left of it."""
        cost = min(cost, self.allowance)
        self.account.settle(reserved=cost, cost=cost)
        self.allowance -= cost

    def close_allowance(self, *, charge: int) -> None:
        """Charge ``charge`` of the allowance and release the rest."""
        self.account.settle(reserved=self.allowance, cost=charge)
        self.allowance = 0

    def add_intent(self, intent: OpenIntent) -> bool:
        """Open an intent; return False if the budget is too small."""
        if not self.account.reserve(intent.amount):
            return False
        self.open_intent = intent
        return True

    def settle_intent(self, cost: int) -> None:
        """Close the open intent and charge ``cost`` for it."""
        self.account.settle(reserved=self.open_intent.amount, cost=cost)
        self.open_intent = None

    def end(self, reason: EndReason, charge: int) -> None:
        """End the program; ``charge`` bounds the cost of unfinished calls.

        An open intent is charged in full and stays open, so that its
        outcome can still be recorded.
        """
        self.close_allowance(charge=charge)
        if self.open_intent is not None:
            intent = self.open_intent
            self.settle_intent(intent.amount)
            self.open_intent = dataclasses.replace(intent, amount=0)
        self.status = ProgramStatus.ENDED
        self.end_reason = reason
