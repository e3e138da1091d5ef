"""The records of a slot stream.

Sequenced records are written by the owner of a slot alone.  They carry the
owner's epoch and a sequence number that grows within the epoch, like the
producer epoch and sequence of an idempotent producer: a second copy of a
record never counts, nor does a record that arrives after a later one.
"""

import dataclasses

from postspring import codec
from postspring import programs

__all__ = [
    "Abort",
    "Claim",
    "Create",
    "End",
    "Intent",
    "IntentState",
    "ProgramBase",
    "Release",
    "Reserve",
    "SlotBase",
    "Turn",
    "slot_records",
]

slot_records = codec.MessageRegistry("slot record")


@slot_records.register("claim")
@codec.message()
class Claim:
    """A VM becomes the owner of a slot under the next epoch."""

    slot: int
    epoch: int
    owner: str
    incarnation: str

    @property
    def identity(self) -> tuple:
        """Key that is equal for all copies of this record."""
        return ("claim", self.slot, self.epoch, self.incarnation)


@codec.message()
class _Sequenced:
    """Fields of the records that only the current owner may write."""

    slot: int
    epoch: int
    sequence: int

    @property
    def identity(self) -> tuple:
        """Key that is equal for all copies of this record."""
        return ("sequenced", self.slot, self.epoch, self.sequence)


@slot_records.register("release")
@codec.message()
class Release(_Sequenced):
    """The owner gives up the slot, which has no calls in flight.

    ``charge_by_program`` is the cost bound, in micro-units, of lost
    attempts whose usage is unknown.
    """

    successor: str | None = None
    charge_by_program: dict[str, int] = dataclasses.field(default_factory=dict)


@slot_records.register("create")
@codec.message()
class Create(_Sequenced):
    """A program is created.  ``budget`` is in micro-units."""

    program: str
    service: str
    priority: int
    budget: int | None
    parent: str | None = None
    key: str = ""


@slot_records.register("reserve")
@codec.message()
class Reserve(_Sequenced):
    """Reservation for calls that may be repeated, in micro-units."""

    program: str
    amount: int


@slot_records.register("intent")
@codec.message()
class Intent(_Sequenced):
    """The owner is about to dispatch a call that may not be repeated."""

    program: str
    step: int
    key: str
    request_digest: bytes
    amount: int


@slot_records.register("abort")
@codec.message()
class Abort(_Sequenced):
    """The author of an intent has not dispatched its call, and never will."""

    program: str
    intent_sequence: int


@slot_records.register("end")
@codec.message()
class End(_Sequenced):
    """A program ends; ``charge`` bounds the cost of unfinished attempts."""

    program: str
    reason: programs.EndReason
    charge: int = 0


@codec.message()
class IntentState:
    """An open intent, as part of a base."""

    epoch: int
    sequence: int
    step: int
    key: str
    request_digest: bytes
    amount: int


@codec.message()
class _Base:
    """A part of a base: a snapshot of a slot's state as of an offset.

    All VMs fold the same state, so any VM may write a base.  A fold that
    has read the stream from ``as_of`` or earlier can start from it.
    """

    slot: int
    author: str
    as_of: int

    @property
    def group(self) -> tuple:
        """Key that is equal for all parts of one base."""
        return (self.slot, self.author, self.as_of)


@slot_records.register("slot_base")
@codec.message()
class SlotBase(_Base):
    """A slot's state; the records of its live ``programs`` precede it."""

    epoch: int
    owner: str | None
    incarnation: str | None
    sequence: int
    released: bool
    successor: str | None
    programs: tuple[str, ...]

    @property
    def identity(self) -> tuple:
        """Key that is equal for all copies of this record."""
        return ("slot_base", *self.group)


@slot_records.register("turn")
@codec.message()
class Turn:
    """A call and its answer.

    A turn is not fenced by epoch.  It counts if it follows the program's
    head, no matter which VM appends it; further copies are duplicates.

    Parameters
    ==========

    epoch : int
        The epoch under which the call was dispatched; cost is charged to
        the allowance of that epoch.
    intent_sequence : int or None
        Sequence of the intent that this turn closes; None for a call that
        may be repeated.
    request, answer : bytes
        JSON of the call's new messages or body, and of the answer.
    status_code : int
        The upstream's HTTP status; 0 if there was none.
    cost, top_up : int
        Cost of the call, and reservation for further calls; micro-units.
    """

    slot: int
    epoch: int
    program: str
    step: int
    parent: bytes
    digest: bytes
    kind: programs.CallKind
    target: str
    key: str
    request_digest: bytes
    request: bytes
    answer: bytes
    status: programs.TurnStatus = programs.TurnStatus.ANSWERED
    status_code: int = 200
    usage: programs.Usage = programs.Usage()
    cost: int = 0
    top_up: int = 0
    intent_epoch: int | None = None
    intent_sequence: int | None = None
    upstream: str = ""

    @property
    def identity(self) -> tuple:
        """Key that is equal for all copies of this record."""
        return ("turn", self.program, self.step, self.digest)

    @property
    def intact(self) -> bool:
        """Whether the digest matches the content of the turn."""
        expected = programs.chain_digest(
            self.parent, self.step, self.request_digest, self.answer
        )
        return self.digest == expected


@slot_records.register("program_base")
@codec.message()
class ProgramBase(_Base):
    """A live program's state, including all of its turns."""

    program: str
    service: str
    priority: int
    parent: str | None
    create_key: str
    limit: int | None
    spent: int
    reserved: int
    allowance: int
    children: tuple[str, ...]
    turns: tuple[Turn, ...]
    intent: IntentState | None

    @property
    def identity(self) -> tuple:
        """Key that is equal for all copies of this record."""
        return ("program_base", self.program, *self.group)
