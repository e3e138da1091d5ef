"""Stand-ins of platform, engines and clients for the review's scripts.

Only the standard library is used.  The programs under test are separate
processes, started with the command of ``deploy/system.toml``; everything else
lives in the asyncio loop of the script.  Addresses are loopback addresses.
"""

import asyncio
import base64
import collections
import itertools
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
ZONES = ("hall-1", "hall-2", "hall-3")
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stability_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4.3,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "recover_s": 12,
    "pass_ms": 120,
    "again_s": 0,
    "deadline_s": 10,
    "settle_ms": 1000,
}
_ids = itertools.count(1)


def new_id() -> str:
    """Return a request id that no other request of this run has."""
    return f"{next(_ids):04x}{random.getrandbits(48):012x}"


class Record:
    """``record.txt``: what was sent, answered and run, with times."""

    def __init__(self, path: pathlib.Path):
        self._file = open(path, "w")
        self.began = time.monotonic()

    def line(self, text: str) -> None:
        seconds = time.monotonic() - self.began
        self._file.write(f"{seconds:9.3f}  {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line there and to the standard output."""
        self.line(text)
        print(text, flush=True)


class Message:
    """A request that a stand-in has read, or an answer that a client has."""

    def __init__(self, start: list[str], headers: list[tuple[str, str]]):
        self.start = start
        self.headers = headers
        self.body = b""

    def header(self, name: str, default: str = "") -> str:
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_head(reader) -> Message | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name, value.strip()))
    return Message(lines[0].split(" ", 2), headers)


async def read_chunked(reader, on_data=None) -> bytes:
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size) if size else b""
        await reader.readuntil(b"\r\n")
        if not size:
            return b"".join(parts)
        parts.append(data)
        if on_data:
            on_data(data)


class Server:
    """A small HTTP/1.1 server; ``handle(message, writer, reader)`` answers.

    ``early(message, writer)`` may answer before the body is read; if it
    returns true, the connection is not used any more.
    """

    limit = 8 << 20
    receive_buffer = 0

    def __init__(self, ip: str, port: int):
        self.ip, self.port = ip, port
        self._server = None
        self._writers: set = set()

    async def start(self) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer
            )
        sock.bind((self.ip, self.port))
        self._server = await asyncio.start_server(
            self._serve, sock=sock, limit=self.limit, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self, reset: bool = False) -> None:
        self._server.close()
        for writer in list(self._writers):
            if reset:
                writer.transport.abort()
            else:
                writer.close()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                message = await read_head(reader)
                if message is None:
                    return
                if await self.early(message, writer):
                    return
                if "chunked" in message.header("Transfer-Encoding"):
                    message.body = await read_chunked(reader)
                else:
                    size = int(message.header("Content-Length", "0"))
                    message.body = await self.read_body(reader, size)
                if await self.handle(message, writer, reader) is False:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def early(self, message, writer) -> bool:
        return False

    async def read_body(self, reader, size: int) -> bytes:
        return await reader.readexactly(size)

    async def handle(self, message, writer, reader):
        raise NotImplementedError


def answer_bytes(status: int, body: bytes, headers=()) -> bytes:
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class _Partition:
    def __init__(self):
        self.records: list[tuple[float, str, bytes, bytes] | None] = []
        self.first = 0
        self.newest: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.lock = asyncio.Lock()


class Store(Server):
    """The platform's store: a log with keyed topics, as PROTOCOL tells it.

    ``stored`` counts the bytes of all records that are kept: the newest of
    each key, and all others until ``retention`` is over.
    """

    LIMIT = 400_000_000

    def __init__(self, ip: str, port: int = 0, retention: float = 20.0):
        super().__init__(ip, port)
        self.retention = retention
        self.limit: int | None = self.LIMIT
        self.stored = 0
        self.full_answers = 0
        self.calls = collections.Counter()
        self.fault = None
        self.latency = 0.004
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._expiring = collections.deque()

    def _partition(self, topic: str, part: int) -> _Partition:
        return self._partitions.setdefault((topic, part), _Partition())

    def put(self, topic: str, key: str, value: dict | None) -> int:
        """Append the operator's or an engine's record."""
        data = b"" if value is None else json.dumps(value).encode()
        return self._append(topic, 0, [(key, data)])

    def _append(self, topic, part, entries) -> int:
        partition = self._partition(topic, part)
        first = len(partition.records)
        now = time.monotonic()
        for key, value in entries:
            raw = bytes([len(key.encode())]) + key.encode() + value
            offset = len(partition.records)
            partition.records.append((now, key, value, raw))
            self.stored += len(raw) + 4
            old = partition.newest.pop(key, None)
            if old is not None:
                self._expiring.append((now, partition, old))
            if value:
                partition.newest[key] = offset
            else:
                self._expiring.append((now, partition, offset))
        partition.changed.set()
        partition.changed = asyncio.Event()
        return first

    def _expire(self) -> None:
        oldest = time.monotonic() - self.retention
        while self._expiring and self._expiring[0][0] < oldest:
            _, partition, offset = self._expiring.popleft()
            record = partition.records[offset]
            if record is not None:
                self.stored -= len(record[3]) + 4

    async def handle(self, message, writer, reader):
        method, target = message.start[0], message.start[1]
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        self.calls[path] += 1
        if self.fault == "silent":
            await asyncio.sleep(3600)
        if self.fault == "busy":
            writer.write(answer_bytes(503, b""))
            return None
        status, body, kind = 404, b"{}", "application/json"
        if path == "/v1/log-append":
            status, body = await self._on_append(query, message.body)
        elif path == "/v1/log-read":
            status, body = await self._on_read(query)
            kind = "application/octet-stream"
        elif path == "/v1/log-newest":
            status, body = self._on_newest(query)
        await asyncio.sleep(self.latency)
        writer.write(answer_bytes(status, body, [("Content-Type", kind)]))
        await writer.drain()
        return None

    async def _on_append(self, query, data: bytes):
        topic, part = query["topic"], int(query["part"])
        entries, position = [], 0
        while position < len(data):
            (length,) = struct.unpack_from(">I", data, position)
            content = data[position + 4 : position + 4 + length]
            position += 4 + length
            if length > 262_144:
                return 413, b"{}"
            size = content[0]
            entries.append((content[1 : 1 + size].decode(), content[1 + size :]))
        if len(data) > 2_097_152:
            return 413, b"{}"
        self._expire()
        if self.limit is not None and self.stored + len(data) > self.limit:
            self.full_answers += 1
            return 507, b"{}"
        partition = self._partition(topic, part)
        async with partition.lock:
            await asyncio.sleep(0.001)
            first = self._append(topic, part, entries)
            end = len(partition.records)
        return 200, json.dumps({"offset": first, "end": end}).encode()

    async def _on_read(self, query):
        partition = self._partition(query["topic"], int(query["part"]))
        start = int(query["from"])
        wait = float(query.get("wait_ms", 0)) / 1000
        until = time.monotonic() + wait
        while start >= len(partition.records):
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(partition.changed.wait(), left)
            except TimeoutError:
                break
        limit = int(query.get("max_kb", 1024)) * 1024
        parts, size = [], 0
        for record in partition.records[start:]:
            raw = record[3]
            if parts and size + len(raw) > limit:
                break
            parts.append(struct.pack(">I", len(raw)) + raw)
            size += len(raw) + 4
        head = struct.pack(">QQ", len(partition.records), partition.first)
        return 200, head + b"".join(parts)

    def _on_newest(self, query):
        partition = self._partition(query["topic"], int(query["part"]))
        after = query.get("after", "")
        keys = sorted(key for key in partition.newest if key > after)
        items, size, more = [], 0, False
        for key in keys:
            offset = partition.newest[key]
            value = partition.records[offset][2]
            if items and (len(items) >= 500 or size + len(value) > 1 << 20):
                more = True
                break
            size += len(value)
            items.append(
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
            )
        page = {
            "items": items,
            "more_pages": more,
            "end": len(partition.records),
        }
        return 200, json.dumps(page).encode()


class Engine(Server):
    """An engine: announces itself, runs requests, echoes ids and signs.

    ``runs`` has one entry for each request that it ran.
    """

    def __init__(self, store, record, name, service, zone, ip, slots=64):
        super().__init__(ip, 0)
        self.store, self.record = store, record
        self.id, self.service, self.zone = name, service, zone
        self.slots = slots
        self.queue = 64
        self.running = 0
        self.work = 0.05
        self.events = 4
        self.event_gap = 0.02
        self.arrivals: list[tuple[float, str, str]] = []
        self.runs: list[tuple[float, str, bytes, str]] = []
        self._sequence = 0
        self._task = None
        self.state = "ready"

    async def start(self) -> None:
        await super().start()
        self._task = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self.announce()
            await asyncio.sleep(1.2)

    def announce(self) -> None:
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_remaining_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self._sequence,
        }
        self.store.put("keyed.servers", self.id, entry)

    async def handle(self, message, writer, reader):
        method, target = message.start[0], message.start[1]
        request = message.header("Postspring-Request-Id")
        now = time.monotonic()
        if not request:
            body = b"{}"
            writer.write(
                answer_bytes(
                    200, body, [("Postspring-Instance-Id", self.id)]
                )
            )
            return None
        self.arrivals.append((now, request, target))
        own = [
            ("Postspring-Request-Id", request),
            ("Postspring-Instance-Id", self.id),
        ]
        named = message.header("Postspring-Target-Instance")
        if named not in ("", self.id):
            self.record.line(f"{self.id} 421 {request}")
            writer.write(answer_bytes(421, b"", own))
            return None
        if self.running >= self.slots + self.queue:
            self.record.line(f"{self.id} sheds {request}")
            own.append(("Postspring-Not-Executed", "1"))
            writer.write(answer_bytes(503, b"", own))
            return None
        return await self.run(message, writer, reader, request, own)

    async def run(self, message, writer, reader, request, own):
        """Run a request; watch the connection, and stop when it closes."""
        self.running += 1
        previous = message.header("Postspring-Previous-Turn")
        self.runs.append((time.monotonic(), request, message.body, previous))
        self.record.line(
            f"{self.id} runs {request} {message.start[0]} {message.start[1]}"
            f" body {len(message.body)} B previous {previous or '-'}"
        )
        own.append(("Postspring-Server-Seal", f"{self.id}.{request}"))
        try:
            if message.header("Postspring-Token-Usage"):
                await self._stream(writer, request, own)
            else:
                await asyncio.sleep(self.work)
                body = f"{self.id} ran {request}".encode()
                writer.write(answer_bytes(200, body, own))
                await writer.drain()
        finally:
            self.running -= 1
        return None

    async def _stream(self, writer, request, own) -> None:
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in own]
        lines += ["Postspring-Weight-Versions: 1"]
        lines += ["Transfer-Encoding: chunked", "", ""]
        await asyncio.sleep(self.work)
        writer.write("\r\n".join(lines).encode())
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: w{number} {request}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if number < self.events:
                await asyncio.sleep(self.event_gap)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def output_of(request: str, events: int = 4) -> bytes:
    """Return what an engine's stream adds to the history of a turn."""
    return b"".join(
        f"w{number} {request}\n".encode() for number in range(1, events + 1)
    )


class Vm:
    """An entry VM: the deploy file's program, with its settings file."""

    def __init__(self, world, number: int, zone: str, ip: str):
        self.world, self.number, self.zone, self.ip = world, number, zone, ip
        self.name = f"front-{zone}-{number}"
        self.front, self.ready, self.control = world.ports
        self.process = None
        self.starts = 0
        self.path = world.folder / f"{self.name}.json"

    def settings(self) -> dict:
        world = self.world
        seeds = [f"{vm.ip}:{vm.control}" for vm in world.vms]
        return {
            "node_name": self.name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "region-1",
            "zones": {zone: "region-1" for zone in world.zones},
            "listen": {
                "front": f"{self.ip}:{self.front}",
                "ready": f"{self.ip}:{self.ready}",
                "control": f"{self.ip}:{self.control}",
            },
            "internal_port_range": [7380, 7395],
            "seeds": [seeds[0], seeds[len(seeds) // 2], seeds[-1]],
            "bootstrap": not self.starts,
            "loss_counts": False,
            "limits": {
                "cpu_share": 0.717,
                "cores": 3,
                "memory_mb": world.memory_mb,
                "max_fds": 8200,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": world.bounds,
            "platform": {
                "address": f"{world.store.ip}:{world.store.port}",
                "form": "log",
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "parts": 24,
                "append_ms": 1.0,
                "part_mb_s": 20.0,
                "read_mb_s": 80.0,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "retention_s": 20,
                "part_mb": 200,
                "ttl_min_ms": 1000,
            },
        }

    def start(self) -> None:
        self.path.write_text(json.dumps(self.settings()))
        words = shlex.split(
            tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
                "entry"
            ]["run"]
        )
        words[0] = sys.executable
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["POSTSPRING_BOOT"] = str(self.path)
        variables["PYTHONPATH"] = f"{ROOT / 'target/deps'}:{ROOT}"
        variables["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.world.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                words, stdout=log, stderr=log, env=variables, cwd=ROOT
            )
        self.starts += 1

    def signal(self, number: int) -> None:
        self.process.send_signal(number)

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()

    @property
    def log(self) -> str:
        return (self.world.folder / f"{self.name}.log").read_text()


class Answer:
    """What a client has seen of one attempt."""

    def __init__(self, request: str):
        self.request = request
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.body = b""
        self.whole = False
        self.error = ""
        self.sent = self.ended = 0.0

    def header(self, name: str) -> str:
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return ""

    def __str__(self) -> str:
        state = "whole" if self.whole else f"not whole ({self.error})"
        return f"{self.request} -> {self.status or 'no answer'} {state}"


class World:
    """A small deployment: store, engines, VMs, and its clients."""

    def __init__(
        self, record: Record, vms=3, zones=ZONES, bounds=None, memory_mb=160
    ):
        self.memory_mb = memory_mb
        self.record = record
        self.zones = zones
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network, self.ports = _free_network()
        self.store = Store(f"{self.network}.200.1")
        self.engines: list[Engine] = []
        self.vms = [
            Vm(self, i // len(zones) + 1, zones[i % len(zones)],
               f"{self.network}.{i % len(zones) + 1}.{i // len(zones) + 1}")
            for i in range(vms)
        ]
        self.host = "ficu95.example"

    def add_engine(self, service: str, kind=Engine, **options) -> Engine:
        number = len(self.engines)
        zone = self.zones[number % len(self.zones)]
        engine = kind(
            self.store,
            self.record,
            f"i-{service}-{number}",
            service,
            zone,
            f"{self.network}.201.{number + 1}",
            **options,
        )
        self.engines.append(engine)
        return engine

    async def start(self, configuration: dict) -> None:
        await self.store.start()
        self.store.put("keyed.op", "config", configuration)
        for engine in self.engines:
            await engine.start()
        for vm in self.vms:
            vm.start()
        await self.wait_ready()

    async def wait_ready(self, vms=None, seconds: float = 30.0) -> None:
        until = time.monotonic() + seconds
        for vm in vms or self.vms:
            while not await self.is_ready(vm):
                if time.monotonic() > until:
                    raise TimeoutError(f"{vm.name} is not ready")
                await asyncio.sleep(0.1)

    async def is_ready(self, vm) -> bool:
        answer = await self.call(
            vm, "GET", "/v1/readiness", port=vm.ready, timeout=1.0, log=False
        )
        return answer.status == 200

    async def call(
        self, vm, method, target, headers=(), body=b"", timeout=6.0,
        port=None, log=True, request=None, leave_after=None,
    ) -> Answer:
        """Make one client attempt on a new connection."""
        answer = Answer(request or new_id())
        answer.sent = time.monotonic()
        writer = None
        if log:
            self.record.line(
                f"client sends {answer.request} to {vm.name}: {method}"
                f" {target} body {len(body)} B"
            )
        try:
            async with asyncio.timeout(leave_after or timeout):
                reader, writer = await asyncio.open_connection(
                    vm.ip, port or vm.front, limit=8 << 20
                )
                lines = [f"{method} {target} HTTP/1.1", f"Host: {self.host}"]
                if port is None:
                    lines.append(f"Postspring-Request-Id: {answer.request}")
                    lines.append(
                        f"Postspring-Deadline-Ms: {int(timeout * 1000)}"
                    )
                lines += [f"{name}: {value}" for name, value in headers]
                if body or method == "POST":
                    lines.append(f"Content-Length: {len(body)}")
                lines += ["Connection: close", "", ""]
                writer.write("\r\n".join(lines).encode() + body)
                await writer.drain()
                message = await read_head(reader)
                if message is None:
                    raise ConnectionError("closed before an answer")
                answer.status = int(message.start[1])
                answer.headers = message.headers
                if "chunked" in message.header("Transfer-Encoding"):
                    parts: list[bytes] = []
                    try:
                        await read_chunked(reader, parts.append)
                    finally:
                        answer.body = b"".join(parts)
                elif message.header("Content-Length"):
                    size = int(message.header("Content-Length"))
                    answer.body = await reader.readexactly(size)
                else:
                    answer.body = await reader.read()
                answer.whole = True
        except TimeoutError:
            answer.error = "the client leaves"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.error = f"{type(error).__name__}: {error}"[:80]
        finally:
            answer.ended = time.monotonic()
            if writer is not None:
                writer.close()
        if log:
            self.record.line(f"client has {answer} from {vm.name}")
        return answer

    async def turn(
        self, vm, program, body, previous=None, budget=100_000,
        usage=(1840, 136), target="/turn/x", timeout=5.0, extra=(), **options
    ) -> Answer:
        headers = [
            ("Postspring-Model", "m"),
            ("Postspring-Program-Id", program),
            ("Postspring-Session-Id", f"s{program}"),
            ("Postspring-Program-Deadline-Ms", "30000"),
            ("Postspring-Token-Budget", str(budget)),
            ("Postspring-Token-Usage", f"{usage[0]},{usage[1]}"),
            ("Postspring-Prompt-Prefix", f"5c1e07a2:800,{program}:410"),
            *extra,
        ]
        if previous:
            headers.append(("Postspring-Previous-Turn", previous))
        return await self.call(
            vm, "POST", target, headers, body, timeout, **options
        )

    def close(self) -> None:
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()


def configuration(version: int = 1, retention: float = 60.0, **changes) -> dict:
    """Return a configuration in the shape of the pages' example."""
    turn = {
        "name": "r-turn", "host": "ficu95.example", "path_prefix": "/turn/",
        "kind": "stream", "timeout_ms": 5000, "target_latency_ms": 200,
        "priority": 0, "service": "agents", "max_attempts": 2,
        "server_history": True, "retention_s": retention, "sticky": True,
        "resumable": False, "gap_aim_ms": 400,
    }
    safe = {
        "name": "r-safe", "host": "ficu95.example", "path_prefix": "/safe/",
        "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 410,
        "priority": 2, "service": "apps", "max_attempts": 3,
    }
    once = {
        "name": "r-once", "host": "ficu95.example", "path_prefix": "/once/",
        "kind": "unsafe", "timeout_ms": 6000, "target_latency_ms": 1240,
        "priority": 2, "service": "apps", "max_attempts": 2,
    }
    document = {
        "version": version,
        "routes": [turn, safe, once],
        "services": [
            {
                "name": "agents", "health_path": "/health",
                "max_connections": 370, "protocol": "h1", "tls": False,
                "engine": {
                    "slots": 64, "kv_capacity_tokens": 211374,
                    "kv_token_bytes": 18432, "link_mbps": 370000.0,
                    "moves": True, "backups": True, "tokens_per_event": 4,
                    "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
                    "handle_s": 5.0, "models": [{"name": "m"}],
                },
            },
            {
                "name": "apps", "health_path": "/health",
                "max_connections": 110, "protocol": "h1", "tls": False,
            },
        ],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
    }
    document.update(changes)
    return document


def _free_network():
    """Return a 127.N network and ports that nobody listens on there."""
    while True:
        network = f"127.{random.randrange(16, 250)}"
        try:
            ports = []
            for _ in range(3):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1.1", 0))
                    ports.append(probe.getsockname()[1])
            if len(set(ports)) == 3:
                return network, ports
        except OSError:
            continue


def main(case, folder: pathlib.Path) -> None:
    """Run a case: exit with 1 if the rule was broken, 0 if it held.

    ``case(world_factory, record, trouble)`` returns whether it was broken.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    worlds: list[World] = []

    def make(**options) -> World:
        worlds.append(World(record, **options))
        return worlds[-1]

    def end(status: int) -> None:
        for world in worlds:
            world.close()
        words = {0: "the rule held", 1: "the rule was broken"}
        record.say(words.get(status, "the case could not run"))
        sys.stdout.flush()
        os._exit(status)

    async def run() -> None:
        # Ends inside the loop: what stands in for servers is not unwound.
        try:
            async with asyncio.timeout(115):
                is_broken = await case(make, record, trouble)
            status = 1 if is_broken else 0
        except Exception as error:
            traceback.print_exc()
            record.say(f"could not run: {type(error).__name__}: {error}")
            status = 2
        end(status)

    asyncio.run(run())
