"""Virtual callers: they ask, are refused, lose connections, ask again."""

from collections.abc import Callable
import dataclasses
import json
import math
from typing import Any

__all__ = ["Outcome", "VirtualCaller", "VirtualRequest"]

CALL_TIMEOUT = 25.0
FINAL_REASONS = frozenset(
    {
        "over_budget",
        "program_ended",
        "too_many_calls",
        "unknown_program",
        "key_reused",
        "step_conflict",
        "parent_mismatch",
        "budget_too_large",
    }
)


class VirtualRequest:
    """A caller's HTTP request as a VM sees it."""

    def __init__(
        self,
        method: str,
        path: str,
        body: bytes,
        answer: Callable[[int, Any], None],
    ):
        self.method = method
        self.path = path
        self.body = body
        self.query: dict[str, str] = {}
        self.gone = False
        self.streaming = False
        self.unsent_bytes = 0
        self._answer = answer
        self._sent = b""

    def header(self, name: str, default: str = "") -> str:
        """Return no header."""
        return default

    def respond_json(self, status, value, headers=None) -> None:
        """Give a whole answer."""
        self._answer(status, json.loads(json.dumps(value)))

    def start_stream(self, content_type: str) -> None:
        """Begin a stream."""
        self.streaming = True

    def send(self, data: bytes) -> None:
        """Send a part of a stream."""
        self._sent += data

    def finish(self) -> None:
        """End a stream: its last named event is the answer."""
        self.streaming = False
        status = 200
        body: Any = {}
        for event in self._sent.split(b"\n\n"):
            name, _, data = event.partition(b"\n")
            if name in (b"event: turn", b"event: refused"):
                body = json.loads(data.removeprefix(b"data: "))
        if "refused" in body:
            status = 503
        self._answer(status, body)


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a caller was told of a call, finally."""

    kind: str
    key: str
    step: int
    told: str = "nothing"
    reason: str = ""
    digest: str = ""
    held: bool = False
    ran_when_refused: int = 0


class VirtualCaller:
    """One program's caller.

    Parameters
    ==========

    world : World
        The deployment.
    program : str
        The program's id.
    retry_timeout : float
        Seconds for which a call is asked again.
    """

    def __init__(self, world: Any, program: str, retry_timeout: float = 120.0):
        self._world = world
        self.program = program
        self.retry_timeout = retry_timeout
        self.step = 0
        self.digest = ""
        self.receipts: list[str] = []
        self.outcomes: list[Outcome] = []
        self._queue: list[tuple[Outcome, bool]] = []
        self._busy = False

    @property
    def idle(self) -> bool:
        """Whether every call has its outcome."""
        return not self._busy and not self._queue

    def call(self, kind: str, key: str, once: bool = False) -> Outcome:
        """Issue a call after those before it; ``once`` never asks again."""
        outcome = Outcome(kind, key, 0)
        self.outcomes.append(outcome)
        self._queue.append((outcome, once))
        self._next()
        return outcome

    def _next(self) -> None:
        if self._busy or not self._queue:
            return
        self._busy = True
        outcome, once = self._queue.pop(0)
        outcome.step = self.step + 1
        deadline = self._world.clock.now + self.retry_timeout
        _Asking(self, self._world, outcome, once, deadline).ask()

    def settle(self, outcome: Outcome) -> None:
        """Take note that a call has its outcome."""
        self._busy = False
        if outcome.told in ("answered", "unknown"):
            self.step = outcome.step
            self.digest = outcome.digest
        self._next()


class _Asking:
    """One call, asked until it has an outcome."""

    def __init__(self, caller, world, outcome, once, deadline):
        self._caller = caller
        self._world = world
        self._outcome = outcome
        self._once = once
        self._deadline = deadline
        self._round = 0

    def ask(self) -> None:
        """Ask a VM that takes connections."""
        self._round += 1
        number = self._round
        vm = self._world.choose_vm()
        outcome = self._outcome
        caller = self._caller
        body = {
            "kind": outcome.kind,
            "target": "advisor" if outcome.kind == "model" else "parts",
            "step": outcome.step,
            "key": outcome.key,
            "parent": caller.digest,
            "receipts": caller.receipts,
            "timeout_seconds": 15,
        }
        if outcome.kind == "model":
            message = {"role": "user", "content": f"step {outcome.step}"}
            body["messages"] = [message]
            body["stream"] = True
        else:
            body["arguments"] = {"key": outcome.key}
            body["repeatable"] = False
        path = f"/v1/programs/{caller.program}/calls"
        self._world.request(
            vm,
            "POST",
            path,
            body,
            lambda status, answer: self._answered(number, answer),
            lambda: self._lost(number),
            CALL_TIMEOUT,
        )

    def _answered(self, number: int, answer: dict) -> None:
        if number != self._round or self._outcome.told != "nothing":
            return
        if "refused" in answer:
            self._refused(answer)
            return
        outcome = self._outcome
        outcome.told = answer["status"]
        outcome.digest = answer["digest"]
        outcome.held = answer["held"]
        if answer["held"]:
            self._caller.receipts.append(answer["receipt"])
        else:
            self._caller.receipts.clear()
        self._caller.settle(outcome)

    def _refused(self, answer: dict) -> None:
        outcome = self._outcome
        outcome.reason = answer["refused"]
        # The turn that this call follows was overtaken by another answer.
        final = outcome.reason in FINAL_REASONS or self._once
        if not final and self._world.clock.now < self._deadline:
            pause = answer.get("retry_after_seconds", 0.3)
            self._again(max(pause, 0.05))
            return
        outcome.told = "refused " + answer["ran"]
        outcome.ran_when_refused = self._world.executions(outcome.key)
        self._caller.settle(outcome)

    def _lost(self, number: int) -> None:
        """The connection broke, or no answer came in time."""
        if number != self._round or self._outcome.told != "nothing":
            return
        if self._world.clock.now < self._deadline and not self._once:
            self._again(0.2)
            return
        self._outcome.told = "lost"
        self._caller.settle(self._outcome)

    def _again(self, pause: float) -> None:
        self._round += 1
        if math.isfinite(pause):
            self._world.clock.call_later(pause, self.ask)
