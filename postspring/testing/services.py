"""Stand-ins of a tool service and of a plain service.

Faults of both: ``down``, ``silent``, ``delay`` (seconds before the answer),
``lose_answers`` (so many requests run but are not answered).
"""

import collections
import json

from circuits.net import events

from postspring.testing import base
from postspring import web

__all__ = ["PlainService", "ToolService"]

tool_router = web.Router()
plain_router = web.Router()


class ToolService(base.StandIn):
    """Runs tools and counts what it ran, by idempotency key.

    It does not look at the key otherwise: a call that arrives twice runs
    twice, as a parts order would.
    """

    router = tool_router

    def __init__(self, bind: tuple[str, int]):
        super().__init__(bind)
        self.count_by_key: collections.Counter = collections.Counter()


@tool_router.route("POST", "/tools/<name>")
def run_tool(
    service: ToolService, request: web.IncomingRequest, name: str
) -> None:
    """Run a tool."""
    key = request.header("Idempotency-Key")
    service.count_by_key[f"{name}:{key}"] += 1
    number = sum(service.count_by_key.values())
    if service.take_fault("lose_answers"):
        service.fire(events.close(request.socket), "web")
        return
    body = {
        "tool": name,
        "receipt": f"order-{number}",
        "arguments": json.loads(request.body or b"null"),
    }
    service.later("delay", request.respond_json, 200, body)


@tool_router.route("GET", "/executions")
def executions(service: ToolService, request: web.IncomingRequest) -> None:
    """Tell how often each call ran."""
    request.respond_json(200, dict(service.count_by_key))


class PlainService(base.StandIn):
    """Answers with what it was asked."""

    router = plain_router

    def __init__(self, bind: tuple[str, int]):
        super().__init__(bind)
        self.served = 0


def _echo(
    service: PlainService,
    request: web.IncomingRequest,
    name: str,
    rest: str,
) -> None:
    """Answer with the request's own words."""
    service.served += 1
    if service.take_fault("lose_answers"):
        service.fire(events.close(request.socket), "web")
        return
    body = {
        "service": name,
        "method": request.method,
        "path": rest,
        "body": request.body.decode(errors="replace"),
        "served": service.served,
    }
    service.later("delay", request.respond_json, 200, body)


for _method in ("GET", "POST", "PUT", "DELETE"):
    plain_router.route(_method, "/services/<name><rest>")(_echo)


@plain_router.route("GET", "/served")
def served(service: PlainService, request: web.IncomingRequest) -> None:
    """Tell how many requests were served."""
    request.respond_json(200, {"served": service.served})
