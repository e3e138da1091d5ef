"""Running attempts: one call against one upstream."""

from collections.abc import Callable
import json
import logging

from postspring import codec
from postspring import coordination
from postspring.entry import event_stream
from postspring import errors
from postspring import ownership
from postspring import programs
from postspring import transport
from postspring.web import server

__all__ = ["AttemptRunner", "AttemptSink"]

LOG = logging.getLogger(__name__)
CONNECT_SECONDS = 2.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
NOT_RUN_STATUSES = frozenset({429, 503})


class AttemptSink:
    """Where a streamed answer goes while it comes in."""

    def chunk(self, data: bytes) -> bool:
        """Take whole events; return False to have the stream paused."""
        return True

    def ready(self) -> bool:
        """Return whether a paused stream may go on."""
        return True

    def close(self) -> None:
        """Take note that the attempt has ended."""


class AttemptRunner:
    """Runs the attempts that this VM was granted.

    Parameters
    ==========

    http : HttpClient
        Sends the requests.
    timers : Timers
        For paused streams.
    """

    def __init__(self, http: transport.HttpClient, timers: transport.Timers):
        self._http = http
        self._timers = timers
        self._attempt_by_key: dict[tuple[str, int], _Attempt] = {}

    @property
    def running(self) -> int:
        """Number of attempts under way."""
        return len(self._attempt_by_key)

    def run(
        self,
        grant: coordination.Grant,
        on_turn: Callable[[ownership.Turn], None],
        on_lost: Callable[[bool, str], None],
        sink: AttemptSink | None = None,
    ) -> None:
        """Run an attempt; exactly one of the functions is called.

        ``on_turn`` gets the turn of a whole answer; ``on_lost`` whether
        the upstream may have run the call, and a text.
        """
        kind = _ModelAttempt if _streams(grant) else _BodyAttempt
        attempt = kind(self, grant, on_turn, on_lost, sink or AttemptSink())
        self._attempt_by_key[grant.program, grant.attempt] = attempt
        attempt.start(self._http)

    def cancel(self, program: str, number: int) -> None:
        """Break an attempt off, and report it as lost."""
        attempt = self._attempt_by_key.get((program, number))
        if attempt is not None:
            attempt.exchange.cancel()
            attempt.cancelled()

    def forget(self, grant: coordination.Grant) -> None:
        """Take note that an attempt has ended."""
        self._attempt_by_key.pop((grant.program, grant.attempt), None)

    def call_later(self, seconds: float, function: Callable) -> None:
        """Call a function later."""
        self._timers.call_later(seconds, function)


def _streams(grant: coordination.Grant) -> bool:
    return grant.kind is programs.CallKind.MODEL


class _Attempt(transport.HttpListener):
    """What attempts of all kinds share."""

    def __init__(self, runner, grant, on_turn, on_lost, sink):
        self._runner = runner
        self._grant = grant
        self._on_turn = on_turn
        self._on_lost = on_lost
        self._sink = sink
        self._status = 0
        self.exchange: transport.Exchange | None = None

    def head(self, status, headers):
        """Keep the status."""
        self._status = status

    def cancelled(self) -> None:
        """Report that the attempt was broken off from this side."""
        self._lost(True, "cancelled")

    def failed(self, error: errors.TransportError):
        """Report a broken exchange."""
        self._lost(error.sent, str(error))

    def _lost(self, sent: bool, text: str) -> None:
        grant = self._grant
        self._runner.forget(grant)
        self._sink.close()
        LOG.info(
            "attempt lost: %s",
            text,
            extra={
                "program": grant.program,
                "step": grant.step,
                "attempt": grant.attempt,
                "upstream": grant.upstream,
            },
        )
        self._on_lost(sent, text)

    def _answered(self, turn: ownership.Turn) -> None:
        self._runner.forget(self._grant)
        self._sink.close()
        self._on_turn(turn)

    @property
    def _address(self) -> tuple[str, int]:
        host, _, port = self._grant.address.rpartition(":")
        return host, int(port)


class _BodyAttempt(_Attempt):
    """A call to a tool or plain service: one body there, one back.

    The connection is never a kept one: if it breaks, that must tell
    whether the request can have run.
    """

    def start(self, http: transport.HttpClient) -> None:
        """Send the request."""
        grant = self._grant
        self._body = bytearray()
        key = grant.key or f"{grant.program}/{grant.step}"
        self.exchange = http.send(
            transport.HttpRequest(
                address=self._address,
                method="POST",
                path=f"/{grant.kind.value}s/{grant.target}",
                body=grant.prompt,
                headers=(
                    ("Content-Type", "application/json"),
                    ("Idempotency-Key", key),
                    ("X-Fencing-Number", str(grant.epoch)),
                ),
                connect_timeout=CONNECT_SECONDS,
                timeout=grant.timeout_ms / 1000,
                fresh=True,
            ),
            self,
        )

    def data(self, chunk):
        """Keep a part of the answer, within bounds."""
        self._body += chunk
        if len(self._body) > MAX_ANSWER_BYTES:
            self.exchange.cancel()
            self._lost(True, "answer is too large")

    def end(self):
        """Report the whole answer."""
        if self._status in NOT_RUN_STATUSES:
            self._lost(False, f"upstream answered {self._status}")
            return
        answer = json.dumps(codec.json_or_text(bytes(self._body))).encode()
        turn = coordination.answered_turn(self._grant, answer, self._status)
        self._answered(turn)


class _ModelAttempt(_Attempt):
    """A model call: server-sent events, relayed as they come."""

    def start(self, http: transport.HttpClient) -> None:
        """Send the request."""
        grant = self._grant
        self._parser = event_stream.ChatStream(_request_id(grant))
        self._error = bytearray()
        self.exchange = http.send(
            transport.HttpRequest(
                address=self._address,
                method="POST",
                path="/v1/chat/completions",
                body=_chat_body(grant),
                headers=(("Content-Type", "application/json"),),
                connect_timeout=CONNECT_SECONDS,
                timeout=grant.timeout_ms / 1000,
                paced=True,
            ),
            self,
        )

    def data(self, chunk):
        """Relay whole events."""
        if self._status != 200:
            self._error += chunk[:1000]
            return
        events = self._parser.feed(chunk)
        if self._parser.size > MAX_ANSWER_BYTES:
            self.exchange.cancel()
            self._lost(True, "answer is too large")
        elif events and not self._sink.chunk(events):
            self.exchange.pause()
            self._runner.call_later(0.05, self._resume)

    def end(self):
        """Report the whole answer, if it is one."""
        if self._status != 200:
            text = bytes(self._error[:200]).decode(errors="replace")
            self._lost(False, f"engine answered {self._status}: {text}")
            return
        try:
            answer = self._parser.finish()
        except errors.UpstreamError as error:
            self._lost(True, str(error))
            return
        body = json.dumps(
            {"role": "assistant", "content": answer.text}
        ).encode()
        turn = coordination.answered_turn(
            self._grant, body, self._status, answer.usage
        )
        self._answered(turn)

    def _resume(self) -> None:
        if self.exchange.done:
            return
        if self._sink.ready():
            self.exchange.resume()
        else:
            self._runner.call_later(0.05, self._resume)


def _request_id(grant: coordination.Grant) -> str:
    return f"{grant.program}.{grant.step}.{grant.epoch}.{grant.attempt}"


def _chat_body(grant: coordination.Grant) -> bytes:
    """Return the request, with the prompt's JSON put in as it is."""
    fields = {
        "model": grant.target,
        "stream": True,
        "stream_options": {"include_usage": True},
        "max_tokens": grant.max_tokens,
        "priority": -grant.priority,
        "request_id": _request_id(grant),
        "user": grant.program,
    }
    head = json.dumps(fields).encode()
    return head[:-1] + b',"messages":' + grant.prompt + b"}"


class CallerSink(AttemptSink):
    """Relays a stream to the caller of an HTTP request."""

    def __init__(self, incoming: server.IncomingRequest, limit: int, meters):
        self._incoming = incoming
        self._limit = limit
        self._meters = meters
        self._relayed = 0

    def close(self) -> None:
        """Count what was relayed; once a stream, not once a chunk."""
        self._meters.relayed_bytes.add(self._relayed)
        self._relayed = 0

    def chunk(self, data: bytes) -> bool:
        """Send events on; ask for a pause if the caller is slow."""
        incoming = self._incoming
        if incoming.gone:
            return True
        incoming.send(data)
        self._relayed += len(data)
        if self.ready():
            return True
        self._meters.stalled_callers.add(1)
        return False

    def ready(self) -> bool:
        """Return whether the caller has taken enough of what was sent."""
        incoming = self._incoming
        return incoming.gone or incoming.unsent_bytes < self._limit
