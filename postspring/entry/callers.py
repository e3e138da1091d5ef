"""The callers' HTTP interface: routes, refusals, streams."""

import logging
import math
import random
import secrets
from typing import Any

from postspring import coordination
from postspring.entry import answers
from postspring.entry import api_models
from postspring.entry import call_request
from postspring.entry import event_stream
from postspring import errors
from postspring import identifiers
from postspring import ownership
from postspring import programs
from postspring import web

__all__ = ["CallerApi", "router"]

LOG = logging.getLogger(__name__)
ROUTE_SECONDS = 10.0
MAX_HISTORY_PAGE = 1000

Reason = coordination.RefusalReason
Ran = coordination.Ran
router = web.Router()


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
        body = answers.refusal_body(refused)
        if incoming.streaming:
            incoming.send(event_stream.server_sent_event("refused", body))
            incoming.finish()
            return
        headers = {}
        if refused.retry_after_ms is not None:
            seconds = math.ceil(refused.retry_after_ms / 1000)
            headers["Retry-After"] = str(seconds)
        status = answers.STATUS_BY_REASON[refused.reason]
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
        incoming.respond_json(200, answers.view_body(view))

    api.ask(incoming, program, message, replied)


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
            answers.turn_body(turn, held=False)
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
    call_request.CallRequest(api, incoming, program, body).start()


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
