"""Requests to the owner of a program, and its replies.

Within a VM the messages are passed as objects, between VMs as CBOR.
"""

from postspring import codec
from postspring.coordination import refusals
from postspring import ownership
from postspring import programs

__all__ = [
    "CallAnswered",
    "CallProgram",
    "CreateProgram",
    "EndProgram",
    "FinishAttempt",
    "Grant",
    "LoseAttempt",
    "NotOwner",
    "ProgramCreated",
    "ProgramEnded",
    "ProgramView",
    "ReadProgram",
    "owner_messages",
]

owner_messages = codec.MessageRegistry("owner message")
owner_messages.register("refused")(refusals.Refused)


@owner_messages.register("create_program")
@codec.message()
class CreateProgram:
    """Create a program; ``budget`` in micro-units, None for the default.

    ``key`` makes the creation idempotent.
    """

    slot: int
    service: str
    budget: int | None = None
    priority: int | None = None
    parent: str | None = None
    key: str = ""


@owner_messages.register("program_created")
@codec.message()
class ProgramCreated:
    """The program's creation is in the log."""

    program: str


@owner_messages.register("call_program")
@codec.message()
class CallProgram:
    """One call of a program.

    Parameters
    ==========

    program : str
        The program's id.
    service : str
        The service that the program must belong to; empty for any.
    kind, target
        The kind of upstream, and the name of the model, tool or service.
    request : bytes
        JSON: new messages for a model, a body for a tool or service.
    step : int
        Number of the call in its program, from 1 without gaps.
    key : str
        The caller's idempotency key; empty if none was given.
    repeatable : bool
        Whether the caller permits the call to be dispatched twice.
    parent : bytes or None
        Expected digest of the preceding turn; None skips the check.
    max_tokens : int or None
        Bound on generated tokens; None for the model's default.
    timeout_ms : int
        How long the call may wait for dispatch.
    receipts : tuple of Turn
        Held turns, which the caller received before the log had them.
    """

    program: str
    service: str
    kind: programs.CallKind
    target: str
    request: bytes
    step: int
    key: str = ""
    repeatable: bool = True
    parent: bytes | None = None
    max_tokens: int | None = None
    timeout_ms: int = 120_000
    receipts: tuple[ownership.Turn, ...] = ()

    @property
    def digest(self) -> bytes:
        """The call's request digest."""
        return programs.request_digest(self.kind, self.target, self.request)


@owner_messages.register("grant")
@codec.message()
class Grant:
    """Permission to run one attempt of a call on one upstream.

    Holds everything needed to build the call's turn, so that the VM that
    runs the attempt can record the turn even if the owner fails meanwhile.
    """

    attempt: int
    slot: int
    epoch: int
    program: str
    step: int
    parent: bytes
    kind: programs.CallKind
    target: str
    key: str
    request: bytes
    prompt: bytes
    max_tokens: int
    upstream: str
    address: str
    priority: int
    cost_bound: int
    prompt_price: int = 0
    completion_price: int = 0
    call_price: int = 0
    intent_epoch: int | None = None
    intent_sequence: int | None = None
    timeout_ms: int = 120_000


@owner_messages.register("finish_attempt")
@codec.message()
class FinishAttempt:
    """An attempt received its complete answer; ``turn`` is to be recorded."""

    attempt: int
    turn: ownership.Turn


@owner_messages.register("lose_attempt")
@codec.message()
class LoseAttempt:
    """An attempt failed before its answer was complete.

    ``sent`` says whether any byte may have reached the upstream.
    """

    attempt: int
    program: str
    step: int
    upstream: str
    sent: bool
    detail: str = ""


@owner_messages.register("call_answered")
@codec.message()
class CallAnswered:
    """The call's turn; ``held`` if it is not in the log yet.

    The caller keeps a held turn as a receipt and sends it along with its
    next call.
    """

    turn: ownership.Turn
    held: bool = False


@owner_messages.register("read_program")
@codec.message()
class ReadProgram:
    """Read a program's state, and up to ``limit`` turns of its history."""

    program: str
    from_step: int = 1
    limit: int = 0


@owner_messages.register("program_view")
@codec.message()
class ProgramView:
    """A program's state; amounts in micro-units."""

    program: str
    service: str
    priority: int
    parent: str | None
    status: programs.ProgramStatus
    end_reason: programs.EndReason | None
    owner: str
    epoch: int
    step: int
    digest: bytes
    budget: int | None
    spent: int
    reserved: int
    held_turns: int
    open_intent: bool
    children: tuple[str, ...]
    turns: tuple[ownership.Turn, ...] = ()


@owner_messages.register("end_program")
@codec.message()
class EndProgram:
    """End a program and all its sub-agents."""

    program: str
    reason: programs.EndReason = programs.EndReason.COMPLETED


@owner_messages.register("program_ended")
@codec.message()
class ProgramEnded:
    """The program's end is in the log."""

    program: str
    spent: int


@owner_messages.register("not_owner")
@codec.message()
class NotOwner:
    """The receiving VM does not own the slot; ``owner``, if set, may."""

    owner: str | None
    address: str = ""
