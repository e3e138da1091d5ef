"""Stand-in of a model engine.

Chat completions with server-sent events, continuous batching, a prefix
cache with events, priorities, cancel, load reports, and orders with fencing
numbers.

Faults: ``down``, ``silent``; ``token_seconds`` and ``prefill_seconds``
replace the speed; ``die_mid_stream`` breaks so many streams off after their
first tokens; ``cross_answers`` gives so many answers another request's id;
``load_delay`` and ``event_gap`` make reports late and events incomplete.
"""

import dataclasses
import json
from typing import Any

from circuits.net import events

from postspring.testing import base
from postspring.testing import prefix_cache
from postspring import web

__all__ = ["Engine"]

router = web.Router()


@dataclasses.dataclass(slots=True)
class _Generation:
    """One request at the engine."""

    request: web.IncomingRequest
    request_id: str
    session: str
    priority: int
    prompt: bytes
    words: list[str]
    stream: bool
    arrived: int
    prompt_tokens: int = 0
    cached_tokens: int = 0
    sent: int = 0
    doomed: bool = False


class Engine(base.StandIn):
    """A model engine.

    Parameters
    ==========

    bind : tuple of (str, int)
        Where to listen.
    models : tuple of str
        What it serves.
    slots : int
        Requests that are generated together.
    cache_tokens : int
        Size of the prefix cache.
    token_seconds, prefill_seconds : float
        Time for a token of all running requests, and to prefill 1000
        tokens that are not cached.
    checks_fencing : bool
        Whether orders with an old fencing number are refused.
    """

    router = router

    def __init__(
        self,
        bind: tuple[str, int],
        models: tuple[str, ...],
        slots: int = 8,
        cache_tokens: int = 65536,
        token_seconds: float = 0.002,
        prefill_seconds: float = 0.01,
        checks_fencing: bool = True,
    ):
        super().__init__(bind)
        self.models = set(models)
        self.slots = slots
        self.token_seconds = token_seconds
        self.prefill_seconds = prefill_seconds
        self.checks_fencing = checks_fencing
        self.cache = prefix_cache.PrefixCache(cache_tokens)
        self.role = "mixed"
        self.fencing_by_scope: dict[str, int] = {}
        self.orders: list[dict[str, Any]] = []
        self.started = 0
        self.completed = 0
        self.cancelled = 0
        self._waiting: list[_Generation] = []
        self._generating: dict[str, _Generation] = {}

    # -- generation -----------------------------------------------------------

    def submit(self, generation: _Generation) -> None:
        """Queue a request; priority first (smaller goes first)."""
        generation.request.on_disconnect = lambda: self.cancel(
            generation.request_id
        )
        self._waiting.append(generation)
        self._waiting.sort(key=lambda item: (item.priority, item.arrived))
        self._admit()

    def cancel(self, request_id: str) -> bool:
        """Stop a request; return whether there was one."""
        found = self._generating.pop(request_id, None)
        waiting = [
            item for item in self._waiting if item.request_id == request_id
        ]
        for item in waiting:
            self._waiting.remove(item)
        if found is None and not waiting:
            return False
        self.cancelled += 1
        self._admit()
        return True

    def fenced(self, scope: str, number: int) -> bool:
        """Return whether an order comes too late, and remember its number."""
        newest = self.fencing_by_scope.get(scope, 0)
        if number < newest:
            return self.checks_fencing
        self.fencing_by_scope[scope] = number
        return False

    def _admit(self) -> None:
        while self._waiting and len(self._generating) < self.slots:
            generation = self._waiting.pop(0)
            self._generating[generation.request_id] = generation
            self.started += 1
            cache = self.cache
            generation.prompt_tokens = cache.tokens_of(generation.prompt)
            generation.cached_tokens = cache.match(generation.prompt)
            generation.doomed = self.take_fault("die_mid_stream")
            fresh = generation.prompt_tokens - generation.cached_tokens
            per_thousand = self.faults.get(
                "prefill_seconds", self.prefill_seconds
            )
            self.timers.call_later(
                fresh / 1000 * per_thousand, self._begin, generation
            )

    def _begin(self, generation: _Generation) -> None:
        if generation.request_id not in self._generating:
            return
        if self.take_fault("cross_answers"):
            generation.request_id += "-crossed"
            self._generating[generation.request_id] = generation
        if generation.stream:
            generation.request.start_stream("text/event-stream")
        self._step(generation)

    def _step(self, generation: _Generation) -> None:
        if generation.request_id not in self._generating:
            return
        if generation.doomed and generation.sent >= 2:
            self._generating.pop(generation.request_id)
            self.fire(events.close(generation.request.socket), "web")
            self._admit()
            return
        if generation.sent == len(generation.words):
            self._finish(generation)
            return
        word = generation.words[generation.sent]
        generation.sent += 1
        if generation.stream:
            delta = {"content": word}
            choice = {"index": 0, "delta": delta, "finish_reason": None}
            self._event(generation, {"choices": [choice]})
        seconds = self.faults.get("token_seconds", self.token_seconds)
        self.timers.call_later(seconds, self._step, generation)

    def _finish(self, generation: _Generation) -> None:
        del self._generating[generation.request_id]
        self.completed += 1
        text = "".join(generation.words)
        answer = json.dumps({"role": "assistant", "content": text}).encode()
        # The next prompt continues where this prompt and answer end.
        whole = generation.prompt[:-1] + b", " + answer
        self.cache.store(generation.session, whole)
        usage = {
            "prompt_tokens": generation.prompt_tokens,
            "completion_tokens": len(generation.words),
            "prompt_tokens_details": {
                "cached_tokens": generation.cached_tokens
            },
        }
        if generation.stream:
            stop = {"index": 0, "delta": {}, "finish_reason": "stop"}
            self._event(generation, {"choices": [stop]})
            self._event(generation, {"choices": [], "usage": usage})
            generation.request.send(b"data: [DONE]\n\n")
            generation.request.finish()
        else:
            message = {"role": "assistant", "content": text}
            body = {
                "id": f"chatcmpl-{generation.request_id}",
                "object": "chat.completion",
                "choices": [
                    {"index": 0, "message": message, "finish_reason": "stop"}
                ],
                "usage": usage,
            }
            generation.request.respond_json(200, body)
        self._admit()

    def _event(self, generation: _Generation, body: dict) -> None:
        body = {
            "id": f"chatcmpl-{generation.request_id}",
            "object": "chat.completion.chunk",
        } | body
        data = json.dumps(body).encode()
        generation.request.send(b"data: " + data + b"\n\n")

    # -- reports --------------------------------------------------------------

    def load(self) -> dict[str, Any]:
        """Return the load report."""
        return {
            "running": len(self._generating),
            "waiting": len(self._waiting),
            "slots": self.slots,
            "cache_tokens": self.cache.tokens,
            "cache_capacity": self.cache.capacity,
            "models": sorted(self.models),
            "role": self.role,
            "started": self.started,
            "completed": self.completed,
            "cancelled": self.cancelled,
        }


@router.route("POST", "/v1/chat/completions")
def chat(engine: Engine, request: web.IncomingRequest) -> None:
    """Complete a chat."""
    body = json.loads(request.body)
    if body.get("model") not in engine.models:
        request.respond_json(404, {"error": "no such model"})
        return
    prompt = json.dumps(body["messages"]).encode()
    limit = int(body.get("max_tokens", 16))
    last = str(body["messages"][-1].get("content", ""))
    words = _reply_words(last, len(body["messages"]))[:limit]
    engine.submit(
        _Generation(
            request=request,
            request_id=str(body.get("request_id", id(request))),
            session=str(body.get("user", "")),
            priority=int(body.get("priority", 0)),
            prompt=prompt,
            words=words,
            stream=bool(body.get("stream")),
            arrived=engine.started + len(engine._waiting),
        )
    )


def _reply_words(last: str, messages: int) -> list[str]:
    """Return the words of an answer, which depend on the prompt alone."""
    words = f"After {messages} messages I read: {last}".split(" ")
    return [f"{word} " for word in words]


@router.route("POST", "/v1/requests/<request_id>/cancel")
def cancel(
    engine: Engine, request: web.IncomingRequest, request_id: str
) -> None:
    """Stop a request."""
    stopped = engine.cancel(request_id)
    request.respond_json(200, {"cancelled": stopped})


@router.route("GET", "/load")
def load(engine: Engine, request: web.IncomingRequest) -> None:
    """Report the load, late if so set."""
    engine.later("load_delay", request.respond_json, 200, engine.load())


@router.route("GET", "/cache/events")
def cache_events(engine: Engine, request: web.IncomingRequest) -> None:
    """Serve cache events from an offset on, with gaps if so set."""
    first = int(request.query.get("from", "0"))
    gap = int(engine.faults.get("event_gap", 0))
    listed = [
        dataclasses.asdict(event)
        for event in engine.cache.events[first : first + 1000]
        if not gap or event.offset % gap
    ]
    body = {"next": len(engine.cache.events), "events": listed}
    request.respond_json(200, body)


@router.route("GET", "/cache/sessions")
def cache_sessions(engine: Engine, request: web.IncomingRequest) -> None:
    """Tell how many tokens each session holds."""
    held = {
        session: tokens
        for session, tokens in engine.cache.tokens_by_session.items()
        if tokens > 0
    }
    request.respond_json(200, held)


@router.route("POST", "/orders")
def order(engine: Engine, request: web.IncomingRequest) -> None:
    """Take an order: release, load_model, load_adapter or set_role.

    ``scope`` is what the fencing number belongs to.
    """
    body = json.loads(request.body)
    scope = str(body.get("scope", ""))
    number = int(body.get("fencing", 0))
    if engine.fenced(scope, number):
        request.respond_json(
            409, {"error": "old fencing number", "scope": scope}
        )
        return
    result = _carry_out(engine, body)
    engine.orders.append(body)
    request.respond_json(200, result)


def _carry_out(engine: Engine, body: dict[str, Any]) -> dict[str, Any]:
    kind = body["order"]
    if kind == "release":
        return {"freed": engine.cache.release(str(body["session"]))}
    if kind in ("load_model", "load_adapter"):
        engine.models.add(str(body["model"]))
    elif kind == "unload_model":
        engine.models.discard(str(body["model"]))
    elif kind == "set_role":
        engine.role = str(body["role"])
    return {"done": kind}


@router.route("GET", "/orders")
def orders(engine: Engine, request: web.IncomingRequest) -> None:
    """List the orders that were carried out."""
    request.respond_json(200, engine.orders)
