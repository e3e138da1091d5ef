"""Virtual platform, engines and tools."""

import collections
from collections.abc import Callable
import json
from typing import Any
import urllib.parse

import cbor2

from postspring import configuration
from postspring import errors
from postspring import ownership
from postspring.testing.virtual import clock as clock_module
from postspring.testing.virtual import network as network_module

__all__ = ["VirtualEngine", "VirtualPlatform", "VirtualTool"]

TOKEN_SECONDS = 0.005
PREFILL_SECONDS = 0.02


class _Server:
    """A server: a name, an address, a process."""

    def __init__(self, world: Any, name: str, address: tuple[str, int]):
        self.world = world
        self.clock: clock_module.VirtualClock = world.clock
        self.name = name
        self.address = address
        self.process = clock_module.VirtualProcess(name)

    @property
    def address_text(self) -> str:
        """``ip:port``."""
        return f"{self.address[0]}:{self.address[1]}"


class VirtualPlatform(_Server):
    """The log and the list of VMs, with faults to set."""

    def __init__(self, world: Any, address: tuple[str, int], retain: int):
        super().__init__(world, "platform", address)
        self._retain = retain
        self.down = False
        self.delay = 0.0
        self.lose_answers = 0
        self.drop_appends = 0
        self.late_appends = 0
        self.late_by = 0.0
        self.list_lag = 0.0
        self.appends = 0
        self.records_by_stream: dict[str, list[bytes]] = {}
        self._first_by_stream: dict[str, int] = collections.defaultdict(int)
        self._readers: list[Callable[[], bool]] = []
        self._entry_by_vm: dict[str, dict] = {}

    def set_vm(self, vm: str, entry: dict | None) -> None:
        """Change the list of VMs, after its lag."""

        def change() -> None:
            if entry is None:
                self._entry_by_vm.pop(vm, None)
            else:
                self._entry_by_vm[vm] = {"vm": vm} | entry

        self.clock.call_later(self.list_lag, change)

    def set_down(self, down: bool) -> None:
        """Take the log down or up again."""
        self.down = down

    def stream(self, name: str) -> list[bytes]:
        """Return all records of a stream, expired ones too."""
        return self.records_by_stream.setdefault(name, [])

    def publish(self, change_id: str, document: dict) -> None:
        """Have a configuration in the log, made against the latest."""
        fold = configuration.ConfigurationFold()
        for offset, data in enumerate(self.stream("configuration")):
            fold.apply(
                offset, configuration.configuration_records.decode(data)
            )
        version = fold.state.version
        self.append_configuration(change_id, version, document)

    def append_configuration(
        self, change_id: str, expected: int, document: dict
    ) -> None:
        """Append a configuration made against a version."""
        record = configuration.PublishRecord(
            change_id=change_id,
            expected_version=expected,
            version=expected + 1,
            document=json.dumps(document).encode(),
        )
        data = configuration.configuration_records.encode(record)
        self._take_effect("configuration", [data])

    def handle(self, request: Any, responder: network_module.Responder):
        """Serve a request."""
        if self.down:
            responder.respond(503, b"{}")
            return
        parsed = urllib.parse.urlparse(request.path)
        if parsed.path == "/vms":
            entries = list(self._entry_by_vm.values())
            responder.respond(200, json.dumps(entries).encode())
            return
        name = parsed.path.removeprefix("/streams/")
        if request.method == "POST":
            self._append(name, cbor2.loads(request.body), responder)
        else:
            self._read(name, parsed.query, responder)

    def _append(self, name: str, records: list[bytes], responder) -> None:
        if self.drop_appends:
            self.drop_appends -= 1
            return
        if self.late_appends:
            self.late_appends -= 1
            self.clock.call_later(
                self.late_by, self._take_effect, name, records
            )
            return
        offset = self._take_effect(name, records)
        if self.lose_answers:
            self.lose_answers -= 1
            return
        body = json.dumps({"offset": offset}).encode()
        self.clock.call_later(self.delay, responder.respond, 200, body)

    def _take_effect(self, name: str, records: list[bytes]) -> int:
        self.appends += 1
        stream = self.stream(name)
        offset = len(stream)
        stream.extend(records)
        expired = max(0, len(stream) - self._retain)
        self._first_by_stream[name] = expired
        if name.startswith("slots."):
            for data in records:
                self._announce(data)
        self._wake()
        return offset

    def _announce(self, data: bytes) -> None:
        try:
            record = ownership.slot_records.decode(data)
        except errors.CodecError:
            return
        self.world.announce_record(record)

    def _read(self, name: str, query_text: str, responder) -> None:
        query = dict(urllib.parse.parse_qsl(query_text))
        offset = int(query["from"])
        deadline = self.clock.now + float(query.get("wait", 0))
        limit = int(query.get("limit", 1000))

        def answer() -> bool:
            stream = self.stream(name)
            waits = len(stream) <= offset and self.clock.now < deadline
            if waits and not self.down and not responder.gone:
                return False
            if self.down:
                responder.respond(503, b"{}")
                return True
            first = self._first_by_stream[name]
            start = max(offset, first)
            page = [
                [number, stream[number]]
                for number in range(start, min(len(stream), start + limit))
            ]
            body = {"first": first, "next": len(stream), "records": page}
            self.clock.call_later(
                self.delay, responder.respond, 200, cbor2.dumps(body)
            )
            return True

        if not answer():
            self._readers.append(answer)
            self.clock.call_later(deadline - self.clock.now + 1e-6, self._wake)

    def _wake(self) -> None:
        self._readers = [reader for reader in self._readers if not reader()]


class VirtualTool(_Server):
    """A tool service that counts what it ran; it does not look at keys."""

    def __init__(self, world: Any, name: str, address: tuple[str, int]):
        super().__init__(world, name, address)
        self.hangs = False
        self.lose_answers = 0
        self.seconds = 0.01
        self.count_by_key: collections.Counter = collections.Counter()

    def handle(self, request: Any, responder: network_module.Responder):
        """Run the tool, then answer."""
        key = dict(request.headers).get("Idempotency-Key", "")
        self.count_by_key[key] += 1
        self.world.announce(f"dispatch {key}")
        if self.hangs:
            return
        if self.lose_answers:
            self.lose_answers -= 1
            self.clock.call_later(self.seconds, responder.abort)
            return
        number = sum(self.count_by_key.values())
        body = json.dumps({"receipt": number}).encode()
        self.clock.call_later(self.seconds, responder.respond, 200, body)


class VirtualEngine(_Server):
    """An engine: a stream of words, a count of what each program used."""

    def __init__(self, world: Any, name: str, address: tuple[str, int]):
        super().__init__(world, name, address)
        self.hangs = False
        self.die_mid_stream = 0
        self.cross_answers = 0
        self.tokens_by_program: collections.Counter = collections.Counter()
        self.started = 0
        self.held_by_session: collections.Counter = collections.Counter()
        self.events: list[dict] = []
        self.ignore_orders = 0
        self.events_late_by = 0.0

    def _note(self, kind: str, session: str) -> None:
        event = {
            "offset": len(self.events),
            "kind": kind,
            "session": session,
            "at": self.clock.now,
        }
        self.events.append(event)

    def handle(self, request: Any, responder: network_module.Responder):
        """Serve a chat completion, or take an order."""
        if request.path == "/orders":
            if self.ignore_orders:
                self.ignore_orders -= 1
                return
            order = json.loads(request.body)
            self.held_by_session.pop(order["session"], None)
            self._note("released", order["session"])
            responder.respond(200, b"{}")
            return
        if request.path.startswith("/cache/events"):
            first = int(request.path.rpartition("=")[2])
            listed = {"next": len(self.events), "events": self._since(first)}
            responder.respond(200, json.dumps(listed).encode())
            return
        self.started += 1
        body = json.loads(request.body)
        self.world.announce(f"dispatch {body['user']}")
        if self.hangs:
            return
        prompt = json.dumps(body["messages"])
        tokens = -(-len(prompt) // 4)
        self.tokens_by_program[body["user"]] += tokens
        request_id = body["request_id"]
        if self.cross_answers:
            self.cross_answers -= 1
            request_id = "another"
        words = [f"w{len(body['messages'])} ", "of ", f"{self.name} "]
        words = words[: body["max_tokens"]]
        doomed = self.die_mid_stream > 0
        if doomed:
            self.die_mid_stream -= 1
        self.held_by_session[body["user"]] += tokens
        self._note("stored", body["user"])
        responder.head(200)
        self._step(body["user"], request_id, tokens, words, doomed, responder)

    def _since(self, first: int) -> list[dict]:
        """Return events from an offset on, late and with gaps if so set."""
        late_by = self.events_late_by
        return [
            event
            for event in self.events[first:]
            if event["at"] <= self.clock.now - late_by
            and not (late_by and event["offset"] % 2)
        ]

    def _step(
        self, program, request_id, prompt_tokens, words, doomed, responder
    ) -> None:
        """Send the words one by one, then the end."""
        for number, word in enumerate(words):
            delta = {"delta": {"content": word}}
            self._later(
                number, self._word, program, request_id, delta, responder
            )
        if doomed:
            self._later(1, responder.abort)
            return
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": len(words),
        }
        self._later(len(words), self._end, request_id, usage, responder)

    def _later(self, number: int, function: Callable, *arguments) -> None:
        seconds = PREFILL_SECONDS + number * TOKEN_SECONDS
        self.clock.call_later(
            seconds, self.process.deliver, function, *arguments
        )

    def _word(self, program, request_id, delta, responder) -> None:
        if responder.gone:
            return
        self.tokens_by_program[program] += 1
        self._event({"id": request_id, "choices": [delta]}, responder)

    def _end(self, request_id, usage, responder) -> None:
        event = {"id": request_id, "choices": [], "usage": usage}
        self._event(event, responder)
        responder.data(b"data: [DONE]\n\n")
        responder.end()

    @staticmethod
    def _event(body: dict, responder) -> None:
        responder.data(b"data: " + json.dumps(body).encode() + b"\n\n")
