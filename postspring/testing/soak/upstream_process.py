"""Upstreams of a run: each request that arrives is a line."""

import json
import pathlib
import random

from circuits import BaseComponent
from circuits.core import pollers

from postspring import platform
from postspring.platform import names
from postspring.testing.fleet import engine_service
from postspring.testing.fleet import fleet
from postspring.testing.soak import breaking
from postspring.testing.soak import crashing
from postspring.testing.soak import digests
from postspring.testing.soak import leaving
from postspring.testing.soak import records
from postspring.testing.soak import world as world_module
from postspring import transport

__all__ = ["SoakUpstream", "run_upstreams"]

# Requests at once, as on the users' sheet; beyond that it says "not run".
SLOTS_BY_SERVICE = {fleet.TURNS_SERVICE: 64, fleet.PLAIN_SERVICE: 6}
QUEUE = 6
EVENTS = 11
# Until a turn's first event, and from one event to the next; seconds.
PREFILL_SECONDS = (0.02, 0.12)
EVENT_SECONDS = (0.01, 0.04)
# Mean work of a plain call, seconds, by the first word of its path.
WORK_SECONDS = {"safe": 0.08, "once": 0.25}
LONGEST_WORK = 5.0
# A plain answer, in bytes, unless the path asks for more.
ANSWER_BYTES = 800
LARGE = "large"
# For so long a request runs that crashes its upstream, and for so long the
# upstream is down then; seconds.
CRASH_SECONDS = (0.01, 0.1)
# From the head of a request to its early answer, seconds.
BREAK_SECONDS = (0.0, 0.1)
DOWN_SECONDS = (0.5, 4.0)


class SoakUpstream(engine_service.EngineService):
    """An upstream that writes a line when a request begins and ends.

    Answers name the upstream and the run, so that no two are alike.
    """

    def __init__(self, parent, timers, place, lines, seed: int):
        super().__init__(parent, timers, place.id, (place.ip, place.port))
        self.place = place
        self.running = 0
        self._lines = lines
        self._draw = random.Random(f"{seed} {place.id}")
        self._slots = SLOTS_BY_SERVICE[place.service]
        self._sequence = 0
        self._answer_by_run: dict[str, tuple] = {}
        self.beats: leaving.Beats | None = None

    def fresh_entry(self, state: str = "ready") -> bytes:
        """Return what it writes into the store at a heartbeat."""
        self._sequence += 1
        entry = self.entry(self.place.service, state) | {
            "zone": self.place.data_center,
            "slots": self._slots,
            "sequence": self._sequence,
        }
        return json.dumps(entry).encode()

    def _listen(self, bind: tuple[str, int]) -> breaking.BreakingServer:
        server = breaking.BreakingServer(
            self._timers, self._handle, engine_service.LIMITS
        )
        server.on_break = self._answer_early
        server.listen(self._parent, bind, f"engine-{self.id}")
        return server

    # -- requests -------------------------------------------------------------

    def _answer_early(self, connection, head, way: breaking.Break) -> None:
        """Answer a request whose body has not come, and break off."""
        self.arrivals += 1
        run = breaking.new_run(
            head, self.id, self.arrivals, self._timers.now()
        )
        text = f"{run.key} {run.id};".encode()
        body = text * (ANSWER_BYTES // len(text))
        run.ended, run.status = self._timers.now(), 200
        run.end = "whole" if way.is_complete else "broke_off"
        run.answer = digests.digest(body)
        records.write_record(self._lines, run)
        fields = [
            (names.REQUEST_ID, run.id),
            (names.SERVER_SEAL, f"{run.key}.{run.id}"),
        ]
        seconds = self._draw.uniform(*BREAK_SECONDS)
        self._timers.call_later(
            seconds, connection.finish_early, way, way.answer(fields, body)
        )

    def _handle(self, call: transport.IncomingCall) -> None:
        self.arrivals += 1
        run = records.Run(
            id=call.header(names.REQUEST_ID),
            key=f"{self.place.id}-{self.arrivals}",
            upstream=self.id,
            began=self._timers.now(),
            ran=False,
            body=digests.digest(call.body),
            previous=call.header(names.PREVIOUS_TURN),
            workspace=call.header(names.TENANT),
            has_key=bool(call.header(names.CREDENTIAL)),
        )
        if call.header(names.TARGET_INSTANCE) not in ("", self.id):
            self._refuse(call, run, 421)
        elif self.running >= self._slots + QUEUE:
            self._refuse(call, run, 503)
        else:
            run.ran = True
            self.running += 1
            records.write_record(self._lines, run)
            self._begin(call, run)

    def _refuse(self, call, run: records.Run, status: int) -> None:
        run.ended, run.status, run.end = run.began, status, "refused"
        records.write_record(self._lines, run)
        instance = [(names.INSTANCE_ID, self.id)]
        call.respond(status, [*instance, (names.NOT_EXECUTED, "1")])

    def _begin(self, call, run: records.Run) -> None:
        answer = digests.Digest()
        self._answer_by_run[run.key] = (run, answer)
        call.on_disconnect = lambda: self._end(run, answer, "gone")
        fields = [
            (names.REQUEST_ID, run.id),
            (names.SERVER_SEAL, f"{run.key}.{run.id}"),
        ]
        kind = call.target.split("/")[1]
        if crashing.is_crashing(call.target):
            seconds = self._draw.uniform(*CRASH_SECONDS)
            self._timers.call_later(seconds, self._crash_under, call, run)
            return
        if kind == "stream":
            seconds = self._draw.uniform(*PREFILL_SECONDS)
            step, arguments = self._start_stream, (fields, answer)
        else:
            mean = WORK_SECONDS.get(kind, 0.1)
            seconds = self._draw.expovariate(1 / mean)
            step, arguments = self._give_answer, (fields, answer)
        seconds = min(seconds, LONGEST_WORK)
        self._timers.call_later(seconds, step, call, run, *arguments)

    def _give_answer(self, call, run, fields, answer) -> None:
        if call.gone:
            return
        size = ANSWER_BYTES
        parts = call.target.split("/")
        if LARGE in parts:
            size = int(parts[parts.index(LARGE) + 1])
        text = f"{run.key} {run.id};".encode()
        body = (text * (size // len(text) + 1))[:size]
        answer.add(body)
        call.respond(200, fields, body)
        self._end(run, answer, "whole")

    def _start_stream(self, call, run, fields, answer) -> None:
        if call.gone:
            return
        fields.append(("Content-Type", "text/event-stream"))
        fields.append((names.WEIGHT_VERSIONS, "1"))
        call.start(200, fields)
        self._step(call, run, answer, 1)

    def _step(self, call, run, answer, number: int) -> None:
        if call.gone:
            return
        if number > EVENTS:
            call.finish()
            self._end(run, answer, "whole")
            return
        text = f"id: {number}\ndata: w{number} {run.key} {run.id}\n\n"
        answer.add(text.encode())
        call.send(text.encode())
        seconds = self._draw.uniform(*EVENT_SECONDS)
        self._timers.call_later(
            seconds, self._step, call, run, answer, number + 1
        )

    def _crash_under(self, call, run: records.Run) -> None:
        """Crash with all that runs, unless the request is gone."""
        if call.gone or run.end:
            return
        run.ended, run.end = self._timers.now(), crashing.CRASHED
        records.write_record(self._lines, run)
        for other, answer in list(self._answer_by_run.values()):
            self._end(other, answer, "broke_off")
        self._answer_by_run.clear()
        self.running = 0
        self.crash()
        self.beats.crash(self._draw.uniform(*DOWN_SECONDS))

    def _end(self, run: records.Run, answer, end: str) -> None:
        if run.end:
            return
        self.running -= 1
        self._answer_by_run.pop(run.key, None)
        run.ended, run.end = self._timers.now(), end
        run.status, run.answer = 200, answer.text
        records.write_record(self._lines, run)


def run_upstreams(path: str, service: str) -> None:
    """Serve with all upstreams of a service until the process is ended."""
    world = world_module.World.load(path)
    root = BaseComponent()
    pollers.EPoll().register(root)
    timers = transport.Timers().register(root)
    hub = transport.SocketHub(timers).register(root)
    http = transport.HttpClient(hub, timers)
    store = platform.Store(http, world.store, 24)
    name = f"upstream-{service}.jsonl"
    lines = open(pathlib.Path(world.folder, name), "a")
    left = open(pathlib.Path(world.folder, f"leaves-{service}.jsonl"), "a")
    for place in world.upstreams:
        if place.service != service:
            continue
        upstream = SoakUpstream(root, timers, place, lines, world.seed)
        beats = leaving.Beats(
            timers, store, upstream, world.leaves, left, world.seed
        )
        upstream.beats = beats
        timers.call_later(0, beats.start)
    root.run()
