"""The callers' HTTP interface: routes, refusals, streams."""

import base64
import binascii
import logging
import math
import random
import secrets
from typing import Any

from postspring import codec
from postspring import coordination
from postspring.entry import api_models
from postspring.entry import attempts
from postspring.entry import event_stream
from postspring.entry import grants
from postspring import errors
from postspring import identifiers
from postspring import ownership
from postspring import programs
from postspring import web

__all__ = ["CallerApi", "router"]

LOG = logging.getLogger(__name__)
ROUTE_SECONDS = 10.0
FINISH_SECONDS = 20.0
MAX_HISTORY_PAGE = 1000

Reason = coordination.RefusalReason
Ran = coordination.Ran
router = web.Router()

STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.BUDGET_TOO_LARGE: 400,
    Reason.CONTEXT_TOO_LONG: 413,
    Reason.DEADLINE_EXCEEDED: 504,
    Reason.HELD_TURNS_FULL: 503,
    Reason.ISOLATED: 503,
    Reason.KEY_REUSED: 409,
    Reason.LOG_UNAVAILABLE: 503,
    Reason.NO_CONFIGURATION: 503,
    Reason.NO_UPSTREAM: 503,
    Reason.NOT_FOUND: 404,
    Reason.NOT_PERMITTED: 403,
    Reason.OVER_BUDGET: 402,
    Reason.OVERLOADED: 429,
    Reason.OWNER_UNREACHABLE: 503,
    Reason.PARENT_MISMATCH: 409,
    Reason.PROGRAM_ENDED: 410,
    Reason.QUEUE_FULL: 429,
    Reason.SHUTTING_DOWN: 503,
    Reason.STEP_CONFLICT: 409,
    Reason.STEP_GAP: 409,
    Reason.SUPERSEDED: 409,
    Reason.TOO_MANY_CALLS: 410,
    Reason.TOO_MANY_PROGRAMS: 429,
    Reason.UNKNOWN_PROGRAM: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_TARGET: 404,
    Reason.UPSTREAM_FAILED: 502,
}


def refusal_body(refused: coordination.Refused) -> dict[str, Any]:
    """Return a refusal as the caller's JSON."""
    body = {
        "refused": refused.reason.value,
        "ran": refused.ran.value,
        "detail": refused.detail,
    }
    if refused.retry_after_ms is not None:
        body["retry_after_seconds"] = refused.retry_after_ms / 1000
    return body


def turn_body(turn: ownership.Turn, held: bool) -> dict[str, Any]:
    """Return what a caller is told of its call's turn."""
    body = {
        "program": turn.program,
        "step": turn.step,
        "digest": turn.digest.hex(),
        "kind": turn.kind.value,
        "target": turn.target,
        "status": turn.status.value,
        "status_code": turn.status_code,
        "cost": turn.cost,
        "upstream": turn.upstream,
        "usage": {
            "prompt_tokens": turn.usage.prompt_tokens,
            "completion_tokens": turn.usage.completion_tokens,
            "cached_tokens": turn.usage.cached_tokens,
        },
        "held": held,
    }
    if held:
        data = ownership.slot_records.encode(turn)
        body["receipt"] = base64.b64encode(data).decode()
    return body


class CallerApi:
    """Answers callers' requests by asking owners and running grants.

    Parameters
    ==========

    node : EntryNode
        The VM's parts.
    """

    def __init__(self, node: Any):
        self.node = node

    def handle(self, incoming: web.IncomingRequest) -> None:
        """Find the route of a request and run it."""
        found = router.find(incoming.method, incoming.path)
        if found is None:
            self.refuse(
                incoming, coordination.Refused(reason=Reason.NOT_FOUND)
            )
            return
        function, arguments = found
        try:
            function(self, incoming, **arguments)
        except errors.CodecError as error:
            self.refuse(
                incoming,
                coordination.Refused(
                    reason=Reason.BAD_REQUEST, detail=str(error)
                ),
            )
        except errors.IdentifierError as error:
            self.refuse(
                incoming,
                coordination.Refused(
                    reason=Reason.UNKNOWN_PROGRAM, detail=str(error)
                ),
            )

    def refuse(
        self, incoming: web.IncomingRequest, refused: coordination.Refused
    ) -> None:
        """Give the final answer that the request is refused."""
        self.node.meters.refused(refused.reason.value, refused.ran.value)
        body = refusal_body(refused)
        if incoming.streaming:
            incoming.send(event_stream.server_sent_event("refused", body))
            incoming.finish()
            return
        headers = {}
        if refused.retry_after_ms is not None:
            seconds = math.ceil(refused.retry_after_ms / 1000)
            headers["Retry-After"] = str(seconds)
        status = STATUS_BY_REASON[refused.reason]
        incoming.respond_json(status, body, headers)

    def ask(
        self,
        incoming: web.IncomingRequest,
        program: str,
        message: Any,
        on_reply: Any,
        timeout: float = ROUTE_SECONDS,
    ) -> None:
        """Ask a program's owner; refusals go to the caller by themselves."""
        address = identifiers.parse_program_id(program)

        def replied(reply: Any) -> None:
            if isinstance(reply, coordination.Refused):
                self.refuse(incoming, reply)
            else:
                on_reply(reply)

        self.node.router.ask(
            message, address.data_center, address.slot, timeout, replied
        )


def _no_configuration(api: CallerApi, incoming: web.IncomingRequest) -> bool:
    """Refuse and return True if no configuration is in force here."""
    if api.node.configuration.state.version:
        return False
    api.refuse(
        incoming,
        coordination.Refused(
            reason=Reason.NO_CONFIGURATION, retry_after_ms=1000
        ),
    )
    return True


@router.route("POST", "/v1/programs")
def create_program(api: CallerApi, incoming: web.IncomingRequest) -> None:
    """Create a program."""
    body = api_models.parse_body(api_models.CreateBody, incoming.body)
    if _no_configuration(api, incoming):
        return
    if body.service not in api.node.configuration.state.configuration.services:
        api.refuse(
            incoming, coordination.Refused(reason=Reason.UNKNOWN_SERVICE)
        )
        return
    place = _place_for(api, body.parent, body.key)
    message = coordination.CreateProgram(
        slot=place.slot,
        service=body.service,
        budget=body.budget,
        priority=body.priority,
        parent=body.parent,
        # A key makes the request safe to repeat towards the owner.
        key=body.key or secrets.token_hex(8),
    )

    def replied(reply: Any) -> None:
        if isinstance(reply, coordination.Refused):
            api.refuse(incoming, reply)
        else:
            incoming.respond_json(201, {"program": reply.program})

    api.node.router.ask(
        message, place.data_center, place.slot, ROUTE_SECONDS, replied
    )


def _place_for(
    api: CallerApi, parent: str | None, key: str
) -> identifiers.ProgramAddress:
    """Return where a new program goes.

    A sub-agent shares its parent's slot.  A creation with a key goes to
    the slot that the key hashes to, so that asking again finds the first.
    Others go to a slot that this VM owns itself, if there is one.
    """
    if parent is not None:
        return identifiers.parse_program_id(parent)
    node = api.node
    slots = sorted(node.slots.fold.slot_by_number)
    if key:
        slot = ownership.preferred_owner(
            0, [f"{key}/{number}" for number in slots]
        )
        number = int(slot.rpartition("/")[2])
    else:
        number = random.choice(node.slots.owned_slots or slots)
    return identifiers.ProgramAddress(node.settings.data_center, number)


@router.route("GET", "/v1/programs/<program>")
def read_program(
    api: CallerApi, incoming: web.IncomingRequest, program: str
) -> None:
    """Read a program's state."""
    message = coordination.ReadProgram(program=program)

    def replied(view: coordination.ProgramView) -> None:
        incoming.respond_json(200, _view_body(view))

    api.ask(incoming, program, message, replied)


def _view_body(view: coordination.ProgramView) -> dict[str, Any]:
    return {
        "program": view.program,
        "service": view.service,
        "priority": view.priority,
        "parent": view.parent,
        "status": view.status.value,
        "end_reason": view.end_reason and view.end_reason.value,
        "owner": view.owner,
        "epoch": view.epoch,
        "step": view.step,
        "digest": view.digest.hex(),
        "budget": view.budget,
        "spent": view.spent,
        "reserved": view.reserved,
        "held_turns": view.held_turns,
        "open_intent": view.open_intent,
        "children": list(view.children),
    }


@router.route("GET", "/v1/programs/<program>/history")
def read_history(
    api: CallerApi, incoming: web.IncomingRequest, program: str
) -> None:
    """Read a page of a program's history."""
    first = _whole_number(incoming, "from", 1)
    limit = min(_whole_number(incoming, "limit", 100), MAX_HISTORY_PAGE)
    message = coordination.ReadProgram(
        program=program, from_step=first, limit=limit
    )

    def replied(view: coordination.ProgramView) -> None:
        turns = [
            turn_body(turn, held=False)
            | {
                "request": turn.request.decode(),
                "answer": turn.answer.decode(errors="replace"),
                "parent": turn.parent.hex(),
                "key": turn.key,
            }
            for turn in view.turns
        ]
        incoming.respond_json(200, {"program": program, "turns": turns})

    api.ask(incoming, program, message, replied)


def _whole_number(
    incoming: web.IncomingRequest, name: str, default: int
) -> int:
    text = incoming.query.get(name, str(default))
    if not text.isdecimal() or len(text) > 9:
        raise errors.CodecError(f"{name}: must be a whole number")
    return int(text)


@router.route("POST", "/v1/programs/<program>/end")
def end_program(
    api: CallerApi, incoming: web.IncomingRequest, program: str
) -> None:
    """End a program and its sub-agents."""
    body = api_models.parse_body(api_models.EndBody, incoming.body)
    _end(api, incoming, program, body.reason)


@router.route("POST", "/v1/programs/<program>/cancel")
def cancel_program(
    api: CallerApi, incoming: web.IncomingRequest, program: str
) -> None:
    """Cancel a program and its sub-agents."""
    _end(api, incoming, program, programs.EndReason.CANCELLED)


def _end(
    api: CallerApi,
    incoming: web.IncomingRequest,
    program: str,
    reason: programs.EndReason,
) -> None:
    message = coordination.EndProgram(program=program, reason=reason)

    def replied(ended: coordination.ProgramEnded) -> None:
        body = {"program": program, "spent": ended.spent}
        incoming.respond_json(200, body)

    api.ask(incoming, program, message, replied)


@router.route("POST", "/v1/programs/<program>/calls")
def call_program(
    api: CallerApi, incoming: web.IncomingRequest, program: str
) -> None:
    """Issue a call of a program."""
    body = api_models.parse_body(api_models.CallBody, incoming.body)
    if _no_configuration(api, incoming):
        return
    identifiers.parse_program_id(program)
    _CallRequest(api, incoming, program, body).start()


def _decode_receipts(texts: list[str]) -> tuple[ownership.Turn, ...]:
    receipts = []
    for text in texts:
        try:
            data = base64.b64decode(text, validate=True)
            receipt = ownership.slot_records.decode(data)
        except (binascii.Error, ValueError, errors.CodecError) as error:
            raise errors.CodecError(f"receipts: {error}") from error
        if not isinstance(receipt, ownership.Turn):
            raise errors.CodecError("receipts: not a turn")
        receipts.append(receipt)
    return tuple(receipts)


class _CallRequest:
    """One call request of a caller, from its body to its last byte."""

    def __init__(
        self,
        api: CallerApi,
        incoming: web.IncomingRequest,
        program: str,
        body: api_models.CallBody,
    ):
        self._api = api
        self._node = api.node
        self._incoming = incoming
        self._program = program
        self._body = body
        self._attempts = 0
        self._started = self._node.timers.now()
        self._receipts = _decode_receipts(body.receipts)

    def start(self) -> None:
        """Ask the program's owner for the call."""
        body = self._body
        parent = None if body.parent is None else bytes.fromhex(body.parent)
        message = coordination.CallProgram(
            program=self._program,
            service=body.service or "",
            kind=body.kind,
            target=body.target,
            request=body.request(),
            step=body.step,
            key=body.key,
            repeatable=body.repeatable,
            parent=parent,
            max_tokens=body.max_tokens,
            timeout_ms=int(body.timeout_seconds * 1000),
            receipts=self._receipts,
        )
        self._ask(message, body.timeout_seconds + ROUTE_SECONDS)

    def _ask(self, message: Any, timeout: float) -> None:
        self._api.ask(
            self._incoming, self._program, message, self._replied, timeout
        )

    def _replied(self, reply: Any) -> None:
        if isinstance(reply, coordination.Grant):
            self._run(reply)
        else:
            self._answer(reply)

    def _run(self, grant: coordination.Grant) -> None:
        self._attempts += 1
        sink = None
        if self._body.stream:
            self._begin_stream()
            sink = attempts.CallerSink(
                self._incoming,
                self._node.web_limits.unsent,
                self._node.meters,
            )

        def on_turn(turn: ownership.Turn) -> None:
            self._node.grants.finish(grant, turn, self._finished)

        def on_lost(sent: bool, detail: str) -> None:
            lost = grants.lost_attempt(grant, sent, detail)
            self._ask(lost, FINISH_SECONDS)

        self._node.attempts.run(grant, on_turn, on_lost, sink)

    def _begin_stream(self) -> None:
        incoming = self._incoming
        if not incoming.streaming:
            incoming.start_stream("text/event-stream")
        elif self._attempts > 1:
            # What was streamed so far is void; the answer starts anew.
            restart = {"attempt": self._attempts}
            incoming.send(event_stream.server_sent_event("restart", restart))

    def _finished(self, reply: Any) -> None:
        if isinstance(reply, coordination.Refused):
            self._api.refuse(self._incoming, reply)
        else:
            self._answer(reply)

    def _answer(self, answered: coordination.CallAnswered) -> None:
        """Give the call's final answer: its turn."""
        turn = answered.turn
        seconds = self._node.timers.now() - self._started
        meters = self._node.meters
        meters.calls.add(1, {"kind": turn.kind.value})
        meters.call_seconds.record(seconds, {"kind": turn.kind.value})
        if answered.held:
            meters.held.add(1)
            # Whoever gives a held answer keeps a copy of it, too.
            self._node.grants.keep_copy(turn)
        body = turn_body(turn, answered.held)
        if not self._body.stream:
            body["answer"] = codec.json_or_text(turn.answer)
            self._incoming.respond_json(200, body)
            return
        if not self._incoming.streaming:
            # Answered before: there is no stream to relay any more.
            self._begin_stream()
            body["answer"] = codec.json_or_text(turn.answer)
        event = event_stream.server_sent_event("turn", body)
        self._incoming.send(event + b"data: [DONE]\n\n")
        self._incoming.finish()


@router.route("GET", "/healthz")
def health(api: CallerApi, incoming: web.IncomingRequest) -> None:
    """Say whether this VM should get new requests."""
    node = api.node
    ready = bool(node.configuration.state.version) and not node.leaving
    status = "ok" if ready else "unready"
    incoming.respond_json(200 if ready else 503, {"status": status})


@router.route("GET", "/metrics")
def metrics(api: CallerApi, incoming: web.IncomingRequest) -> None:
    """Serve the metrics to a scraper."""
    incoming.respond(
        200, api.node.meters.scrape(), "text/plain; version=0.0.4"
    )


@router.route("GET", "/v1/status")
def status(api: CallerApi, incoming: web.IncomingRequest) -> None:
    """Tell this VM's own state."""
    incoming.respond_json(200, api.node.status())
