"""One call request of a caller, from its body to its last byte."""

import base64
import binascii
from typing import Any

from postspring import codec
from postspring import coordination
from postspring.entry import answers
from postspring.entry import api_models
from postspring.entry import attempts
from postspring.entry import event_stream
from postspring.entry import grants
from postspring import errors
from postspring import ownership
from postspring import web

__all__ = ["CallRequest"]

ROUTE_SECONDS = 10.0
FINISH_SECONDS = 20.0


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


class CallRequest:
    """One call request of a caller, from its body to its last byte."""

    def __init__(
        self,
        api: Any,
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
        body = answers.turn_body(turn, answered.held)
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
