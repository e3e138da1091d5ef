"""An upstream in the platform's protocol: an engine or a plain service."""

import dataclasses

from postspring.platform import names
from postspring import transport

__all__ = [
    "EngineFaults",
    "EngineService",
    "LONG_BYTES",
    "make_entry",
    "reset_connection",
    "send_unframed",
]

# How long a request runs that crashes its upstream.
CRASH_SECONDS = 0.02
LIMITS = transport.ServerLimits(body_bytes=64 * 1024 * 1024)
# Of an answer that exceeds what tests allow.
LONG_BYTES = 300_000


@dataclasses.dataclass(slots=True)
class EngineFaults:
    """What goes wrong; each count is used up by one request.

    Parameters
    ==========

    shed : int
        Requests that are refused as not run.
    lose_answer : int
        Requests that are run, and the connection closed.
    cut : int
        Streams that are cut off in the middle of an event.
    cut_between : int
        Streams that are cut off between two events.
    stop_between : int
        Streams that fall silent between two events.
    long_event : int
        Streams that go on with an event of LONG_BYTES, and without its end.
    long : int
        Answers of LONG_BYTES.
    stale_answer : int
        Answers that come behind one to another request.
    unframed : int
        Answers without a length, which end with their connection.
    reset_unframed : int
        Such answers of which half is sent before a reset.
    unsealed : int
        Successes without the upstream's signature.
    encoded : int
        Successes whose head names an encoding of the body.
    busy_status : int
        Status of an answer that does not say "not run".
    wrong_instance : bool
        Another upstream has the address now.
    hang : bool
        Requests run and are never answered.
    starts_again : bool
        Streams begin with their first event, whichever was asked for.
    resets : bool
        Connections are reset when a request comes; nothing runs.
    crashing_text : bytes
        The process crashes while it runs a request whose body has this.
    memory : int
        Tokens for which there is room; a larger request is refused as if
        the engine were full.
    """

    shed: int = 0
    lose_answer: int = 0
    cut: int = 0
    cut_between: int = 0
    stop_between: int = 0
    long_event: int = 0
    long: int = 0
    stale_answer: int = 0
    unframed: int = 0
    reset_unframed: int = 0
    unsealed: int = 0
    encoded: int = 0
    busy_status: int = 0
    wrong_instance: bool = False
    hang: bool = False
    starts_again: bool = False
    resets: bool = False
    crashing_text: bytes = b""
    memory: int = 1_000_000

    def take(self, name: str) -> bool:
        """Use up one of a count."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return bool(left)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that ran."""

    method: str
    target: str
    fields: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return a header's value, or an empty text."""
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return ""


def send_unframed(
    call: transport.IncomingCall, fields: list, body: bytes
) -> None:
    """Send a response whose end its head doesn't state."""
    lines = [f"{name}: {value}\r\n" for name, value in fields]
    head = "HTTP/1.1 200 OK\r\n" + "".join(lines) + "\r\n"
    connection = call._connection
    connection._server.hub.send(connection._sock, head.encode() + body)


def reset_connection(call: transport.IncomingCall) -> None:
    """Reset the connection of a call, once its bytes have been sent."""
    connection = call._connection
    connection._server.hub.reset(connection._sock)


def make_entry(service: str, address: str, state: str = "ready") -> dict:
    """Return what an upstream writes into the store."""
    return {
        "service": service,
        "address": address,
        "zone": "z1",
        "slots": 8,
        "state": state,
        "version": "v1",
        "warmup_remaining_ms": 0,
        "sequence": 1,
    }


class EngineService:
    """Answers streams with ``events`` events, other requests with a body.

    A request whose path contains ``stream`` gets a stream, behind the event
    that it names as the last.  An event is ``wN``; once the weights have
    changed it is ``wN`` with their version.

    Parameters
    ==========

    weights : int
        Version of the weights.
    new_weights_at : int
        Number of the event at which they change, for all engines alike.
    bind : tuple of (str, int)
        Where to listen; port 0 for a free one.
    """

    def __init__(
        self,
        parent,
        timers: transport.Timers,
        name: str,
        bind: tuple[str, int] = ("127.0.0.1", 0),
    ):
        self.id = name
        self.faults = EngineFaults()
        self.events = 3
        self.event_seconds = 0.0
        self.weights = 1
        self.new_weights_at = 0
        self.runs: list[Arrival] = []
        self.arrivals = 0
        self.gone = 0
        self.has_crashed = False
        # When it was started, Unix ms; None on deployments without.
        self.born: int | None = None
        self._timers = timers
        self._parent = parent
        self._address = bind
        self._server = self._listen(bind)

    @property
    def address(self) -> str:
        """``ip:port``."""
        host, port = self._server.address
        return f"{host}:{port}"

    @property
    def connections(self) -> int:
        """Open connections."""
        return self._server.connection_count

    def entry(self, service: str, state: str = "ready") -> dict:
        """Return what it writes into the store."""
        entry = make_entry(service, self.address, state)
        return entry | ({} if self.born is None else {"born": self.born})

    def start_again(self, born: int) -> None:
        """Lose everything and begin anew under the same id."""
        self.born = born
        self.runs.clear()
        for connection in list(self._server._connections):
            connection.abort()

    def crash(self) -> None:
        """End the process: its address refuses connections from now on."""
        self.has_crashed = True
        self._address = self._server.address
        self._server.stop_accepting()
        for connection in list(self._server._connections):
            connection.abort()

    def restart(self) -> None:
        """Listen again at the same address after a crash."""
        self.has_crashed = False
        self._server = self._listen(self._address)

    def _listen(self, bind: tuple[str, int]) -> transport.HttpServer:
        server = transport.HttpServer(self._timers, self._handle, LIMITS)
        server.listen(self._parent, bind, f"engine-{self.id}")
        return server

    # -- requests -------------------------------------------------------------

    def _handle(self, call: transport.IncomingCall) -> None:
        self.arrivals += 1
        if self.faults.resets:
            call.abort()
            return
        request = call.header(names.REQUEST_ID)
        target = call.header(names.TARGET_INSTANCE)
        if self.faults.wrong_instance or target not in ("", self.id):
            call.respond(421, [(names.INSTANCE_ID, f"not-{target}")])
            return
        expected = call.header(names.EXPECTED_VERSION)
        if expected not in ("", str(self.weights)):
            call.respond(421, [(names.INSTANCE_ID, self.id)])
            return
        if self.faults.take("shed") or self._tokens(call) > self.faults.memory:
            call.respond(503, [(names.NOT_EXECUTED, "1")])
            return
        if self.faults.busy_status:
            call.respond(self.faults.busy_status, [])
            return
        self.runs.append(
            Arrival(call.method, call.target, tuple(call.fields), call.body)
        )
        call.on_disconnect = self._count_gone
        if (
            self.faults.crashing_text
            and self.faults.crashing_text in call.body
        ):
            self._timers.call_later(CRASH_SECONDS, self.crash)
            return
        if self.faults.hang:
            return
        if self.faults.take("lose_answer"):
            call.abort()
            return
        fields = [
            (names.REQUEST_ID, request),
            (names.SERVER_SEAL, f"seal-{self.id}"),
        ]
        if self.faults.take("unsealed"):
            fields.pop()
        if self.faults.take("encoded"):
            fields.append(("Content-Encoding", "gzip"))
        if "stream" in call.target:
            fields.append(("Content-Type", "text/event-stream"))
            fields.append((names.WEIGHT_VERSIONS, str(self.weights)))
            call.start(200, fields)
            last = call.header(names.LAST_EVENT_ID) or "0"
            first = 0 if self.faults.starts_again else int(last)
            self._send_event(call, first + 1, first + 1)
        else:
            self._answer(call, fields)

    @staticmethod
    def _tokens(call) -> int:
        usage = call.header(names.TOKEN_USAGE) or "0"
        return sum(int(count) for count in usage.split(","))

    def _answer(self, call, fields) -> None:
        if self.faults.take("stale_answer"):
            call._connection._server.hub.send(
                call._connection._sock,
                b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                + names.REQUEST_ID.encode()
                + b": another\r\n\r\nstale",
            )
        body = b"answer of " + self.id.encode()
        if self.faults.take("long"):
            body = b"x" * LONG_BYTES
        if self.faults.take("unframed"):
            send_unframed(call, fields, body)
            call.abort()
        elif self.faults.take("reset_unframed"):
            send_unframed(call, fields, body[: len(body) // 2])
            reset_connection(call)
        else:
            call.respond(200, fields, body)

    def _send_event(self, call, number: int, first: int) -> None:
        if call.gone:
            return
        if number > self.events:
            call.finish()
            return
        if number > first and self._breaks_off(call, number):
            return
        call.send(self._event(number))
        self._timers.call_later(
            self.event_seconds, self._send_event, call, number + 1, first
        )

    def _breaks_off(self, call, number: int) -> bool:
        if self.faults.take("cut"):
            call.send(b"id: %d\nda" % number)
            call.abort()
        elif self.faults.take("cut_between"):
            call.abort()
        elif self.faults.take("long_event"):
            call.send(b"id: %d\ndata: " % number + b"x" * LONG_BYTES)
        elif not self.faults.take("stop_between"):
            return False
        return True

    def _event(self, number: int) -> bytes:
        """Return an event as the platform's page tells it."""
        if number == self.new_weights_at:
            self.weights += 1
        line = b""
        data = b"w%d" % number
        if self.weights > 1:
            data += b" of %d" % self.weights
        if number == self.new_weights_at:
            name = names.WEIGHT_VERSIONS.lower()
            line = f"{name}: {self.weights}\n".encode()
        return line + b"id: %d\ndata: %s\n\n" % (number, data)

    def _count_gone(self) -> None:
        self.gone += 1
