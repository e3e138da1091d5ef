"""Bodies of the callers' HTTP interface."""

from typing import Annotated
from typing import Any

import pydantic

from postspring import errors
from postspring import programs

__all__ = ["CallBody", "CommandBody", "CreateBody", "EndBody", "parse_body"]

Name = Annotated[str, pydantic.Field(min_length=1, max_length=63)]
Key = Annotated[str, pydantic.Field(max_length=200)]
MAX_FAULTS = 10


class _Body(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")


class CreateBody(_Body):
    """``POST /v1/programs``; ``budget`` in micro-units."""

    service: Name
    budget: Annotated[int, pydantic.Field(ge=0, le=10**15)] | None = None
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] | None = None
    parent: Annotated[str, pydantic.Field(max_length=120)] | None = None
    key: Key = ""


class Message(_Body):
    """One chat message."""

    role: Annotated[str, pydantic.Field(pattern="^(system|user|tool)$")]
    content: str
    name: Name | None = None


class CallBody(_Body):
    """``POST /v1/programs/<program>/calls``.

    Parameters
    ==========

    kind, target
        What is called: a model, a tool or a plain service, and its name.
    messages : list of Message
        For a model: the new messages only; the history is the program's.
    arguments : any JSON
        For a tool or plain service: the body.
    step : int
        Dense number of the call in its program, from 1.
    key : str
        Idempotency key.
    repeatable : bool
        False if running the call twice would do harm.
    stream : bool
        Whether a model's answer is streamed.
    parent : str
        Hex digest of the turn that this call follows, if known.
    receipts : list of str
        Held turns, as their answers gave them.
    timeout_seconds : float
        How long to wait for the call's turn to run.
    """

    kind: programs.CallKind
    target: Name
    messages: Annotated[list[Message], pydantic.Field(max_length=1000)] = []
    arguments: Any = None
    step: Annotated[int, pydantic.Field(ge=1, le=10**6)]
    key: Key = ""
    service: Name | None = None
    repeatable: bool = True
    stream: bool = False
    max_tokens: Annotated[int, pydantic.Field(ge=1, le=10**6)] | None = None
    parent: Annotated[str, pydantic.Field(pattern="^[0-9a-f]*$")] | None = None
    receipts: Annotated[list[str], pydantic.Field(max_length=64)] = []
    timeout_seconds: Annotated[float, pydantic.Field(gt=0, le=3600)] = 60.0

    @pydantic.model_validator(mode="after")
    def _fitting(self) -> "CallBody":
        is_model = self.kind is programs.CallKind.MODEL
        if is_model and not self.messages:
            raise ValueError("a model call needs messages")
        if is_model and self.arguments is not None:
            raise ValueError("a model call takes messages, not arguments")
        if not is_model and self.messages:
            raise ValueError("only a model call takes messages")
        if not is_model and self.stream:
            raise ValueError("only a model's answer is streamed")
        return self

    def request(self) -> bytes:
        """Return the JSON that goes into the program's history."""
        if self.kind is programs.CallKind.MODEL:
            dumped = _MESSAGES.dump_json(self.messages, exclude_none=True)
            return dumped
        return _ANY.dump_json(self.arguments)


class CommandBody(_Body):
    """``POST /v1/command``.

    ``change_id`` names a change, so that asking again does not repeat it.
    """

    text: Annotated[str, pydantic.Field(min_length=1, max_length=4096)]
    change_id: Key = ""
    format: Name = "table"


class EndBody(_Body):
    """``POST /v1/programs/<program>/end``."""

    reason: programs.EndReason = programs.EndReason.COMPLETED


_MESSAGES = pydantic.TypeAdapter(list[Message])
_ANY = pydantic.TypeAdapter(Any)


def parse_body(body_type: type[_Body], data: bytes) -> Any:
    """Return the checked body.

    Raises
    ------
    CodecError
        Naming the faults.
    """
    try:
        return body_type.model_validate_json(data or b"{}")
    except pydantic.ValidationError as error:
        faults = [
            f"{'.'.join(str(part) for part in fault['loc']) or 'body'}: "
            f"{fault['msg']}"
            for fault in error.errors(include_input=False)[:MAX_FAULTS]
        ]
        raise errors.CodecError("; ".join(faults)) from error
