"""Client for the calls of one program."""

from collections.abc import Callable
import dataclasses
import secrets
from typing import Any

from postspring.client import connection

__all__ = ["CallResult", "ProgramClient"]


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """Outcome of a call.

    Parameters
    ==========

    answer : any JSON
        Message of a model, or body of a tool's or service's response.
    status : str
        ``answered``, or ``unknown`` if the outcome can't be known.
    cost : int
        Cost in micro-units.
    """

    step: int
    answer: Any
    status: str
    status_code: int
    cost: int
    held: bool
    upstream: str
    usage: dict[str, int]


class ProgramClient:
    """Makes the calls of one program, in order.

    Explanation
    ===========

    The client numbers the steps and sends the last turn's digest with the
    next call.  It sends the receipts of held turns with each call, until
    the turn of a later call is not held.  Every call has an idempotency
    key, so it can be retried safely.

    Parameters
    ==========

    client : EntryClient
        Sends the requests.
    program : str
        Id of the program.

    Examples
    ========

    ::

        client = EntryClient(["10.0.0.1:8080", "10.0.0.2:8080"])
        program = ProgramClient.create(client, "agent-models")
        print(program.ask("advisor", "The belt is torn.").answer["content"])
        program.call_tool("parts", {"part": "belt"})
        program.end()
    """

    def __init__(self, client: connection.EntryClient, program: str):
        self._client = client
        self.program = program
        self.step = 0
        self.digest = ""
        self._receipts: list[str] = []

    @classmethod
    def create(
        cls,
        client: connection.EntryClient,
        service: str,
        budget: int | None = None,
        priority: int | None = None,
        parent: str | None = None,
    ) -> "ProgramClient":
        """Create a program; see ``POST /v1/programs``."""
        body = {"service": service, "key": secrets.token_hex(8)}
        for field, value in (
            ("budget", budget),
            ("priority", priority),
            ("parent", parent),
        ):
            if value is not None:
                body[field] = value
        response = client.request("POST", "/v1/programs", body)
        return cls(client, response.body["program"])

    @classmethod
    def resume(
        cls, client: connection.EntryClient, program: str
    ) -> "ProgramClient":
        """Continue a program at its current step, from any client."""
        resumed = cls(client, program)
        view = resumed.view()
        resumed.step = view["step"]
        resumed.digest = view["digest"]
        return resumed

    def spawn(self, service: str, **options: Any) -> "ProgramClient":
        """Create a sub-agent: a program whose parent is this one."""
        return self.create(
            self._client, service, parent=self.program, **options
        )

    def ask(
        self,
        model: str,
        text: str,
        on_text: Callable[[str], None] | None = None,
        max_tokens: int | None = None,
        retry_timeout: float = 20.0,
    ) -> CallResult:
        """Call a model with a user message and stream its answer."""
        body: dict[str, Any] = {
            "kind": "model",
            "target": model,
            "messages": [{"role": "user", "content": text}],
            "stream": True,
        }
        if max_tokens is not None:
            body["max_tokens"] = max_tokens
        path = self._path("/calls")
        turn = self._client.stream(
            path, self._add_step_fields(body), on_text, retry_timeout
        )
        return self._record_turn(turn)

    def call_tool(
        self,
        tool: str,
        arguments: Any,
        retry_timeout: float = 20.0,
        key: str | None = None,
    ) -> CallResult:
        """Call a tool that must not run twice, also if the call is retried.

        ``key`` is the idempotency key; the default is a random one.
        """
        body = {
            "kind": "tool",
            "target": tool,
            "arguments": arguments,
            "repeatable": False,
        }
        body = self._add_step_fields(body)
        if key is not None:
            body["key"] = key
        response = self._client.request(
            "POST", self._path("/calls"), body, retry_timeout
        )
        return self._record_turn(response.body)

    def view(self) -> dict[str, Any]:
        """Return the program's state."""
        return self._client.request("GET", self._path("")).body

    def history(self) -> list[dict[str, Any]]:
        """Return all turns; they are fetched in pages."""
        turns: list[dict[str, Any]] = []
        while True:
            path = f"/history?from={len(turns) + 1}&limit=100"
            page = self._client.request("GET", self._path(path)).body["turns"]
            turns.extend(page)
            if len(page) < 100:
                return turns

    def end(self) -> int:
        """End the program and return its cost in micro-units."""
        response = self._client.request("POST", self._path("/end"), {})
        return response.body["spent"]

    def cancel(self) -> int:
        """Cancel the program and return its cost in micro-units."""
        response = self._client.request("POST", self._path("/cancel"), {})
        return response.body["spent"]

    def _path(self, subpath: str) -> str:
        return f"/v1/programs/{self.program}{subpath}"

    def _add_step_fields(self, body: dict[str, Any]) -> dict[str, Any]:
        return body | {
            "step": self.step + 1,
            "parent": self.digest,
            "key": secrets.token_hex(8),
            "receipts": self._receipts,
        }

    def _record_turn(self, turn: dict[str, Any]) -> CallResult:
        self.step = turn["step"]
        self.digest = turn["digest"]
        if turn["held"]:
            self._receipts.append(turn["receipt"])
        else:
            self._receipts.clear()
        return CallResult(
            step=turn["step"],
            answer=turn.get("answer", {"content": turn.get("text", "")}),
            status=turn["status"],
            status_code=turn["status_code"],
            cost=turn["cost"],
            held=turn["held"],
            upstream=turn["upstream"],
            usage=turn["usage"],
        )
