"""A truncated answer of an engine reaches clients as a complete success."""

import asyncio
import pathlib
import socket
import struct
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import harness  # noqa: E402

VMS = 3
ENGINES = 6
# The dose of `garble`: this share of the engines spoil at most this share of
# their answers.
SHARE, SPOILED = 0.5, 0.02
SMALL, LARGE = 600, 4_000_000  # max_body_bytes is 4,194,304
ANSWER = 4000
SECONDS = 40.0
SMALL_EVERY = 0.008
LARGE_EVERY = 2.0
LARGE_AT_ONCE = 9


class Faulty(harness.Engine):
    """Answers some long requests before it has read them, and breaks off.

    The answer has no length; half of it is sent, then the connection is
    reset.
    """

    limit = 1 << 16
    receive_buffer = 1 << 16
    is_faulty = False

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.answered = self.spoiled = 0
        self.answer_by_request: dict[str, bytes] = {}

    def _answer(self, request: str) -> bytes:
        text = f"{self.id} did {request}; ".encode()
        body = (text * (ANSWER // len(text) + 1))[:ANSWER]
        self.answer_by_request[request] = body
        return body

    async def early(self, message, writer) -> bool:
        size = int(message.header("Content-Length", "0"))
        is_due = self.spoiled + 1 <= SPOILED * self.answered
        if not (self.is_faulty and size == LARGE and is_due):
            return False
        request = message.header("Postspring-Request-Id")
        if message.header("Postspring-Target-Instance") not in ("", self.id):
            return False
        self.spoiled += 1
        self.answered += 1
        self.runs.append((time.monotonic(), request, b"", ""))
        await asyncio.sleep(self.work)
        body = self._answer(request)
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Postspring-Request-Id: {request}\r\n"
            f"Postspring-Server-Seal: {self.id}.{request}\r\n"
            "Connection: close\r\n\r\n"
        )
        writer.write(head.encode() + body[: ANSWER // 2])
        # A reset instead of an end.
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()
        self.record.line(
            f"{self.id} runs {request}, sends {ANSWER // 2} of {ANSWER} bytes"
            " without a length, and resets the connection"
        )
        return True

    async def run(self, message, writer, reader, request, own):
        self.running += 1
        self.answered += 1
        self.runs.append((time.monotonic(), request, b"", ""))
        self.record.line(f"{self.id} runs {request}")
        own.append(("Postspring-Server-Seal", f"{self.id}.{request}"))
        try:
            await asyncio.sleep(self.work)
            writer.write(harness.answer_bytes(200, self._answer(request), own))
            await writer.drain()
        finally:
            self.running -= 1


async def case(make, record, trouble) -> bool:
    world = make(vms=VMS)
    engines = [
        world.add_engine("apps", Faulty, slots=32) for _ in range(ENGINES)
    ]
    world.add_engine("agents")
    for engine in engines[: round(ENGINES * SHARE)]:
        engine.is_faulty = trouble
    await world.start(harness.configuration())
    answers: list[harness.Answer] = []
    tasks = set()

    async def request(size: int, number: int) -> None:
        vm = world.vms[number % VMS]
        body = b"b" * size
        answers.append(
            await world.call(vm, "POST", "/once/x", (), body, timeout=6.0)
        )

    def start(size: int, number: int) -> None:
        task = asyncio.create_task(request(size, number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def small() -> None:
        for number in range(int(SECONDS / SMALL_EVERY)):
            start(SMALL, number)
            due = began + number * SMALL_EVERY
            await asyncio.sleep(max(0.0, due - time.monotonic()))

    async def large() -> None:
        for burst in range(1, int(SECONDS / LARGE_EVERY)):
            due = began + burst * LARGE_EVERY
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            for _ in range(LARGE_AT_ONCE):
                start(LARGE, burst)

    began = time.monotonic()
    await asyncio.gather(small(), large())
    await asyncio.wait(tasks, timeout=8.0)
    whole = {}
    for engine in engines:
        whole.update(engine.answer_by_request)
    mixed = [
        item
        for item in answers
        if 200 <= item.status < 300
        and item.whole
        and item.body != whole.get(item.request)
    ]
    for item in mixed:
        expected = len(whole.get(item.request, b""))
        record.line(
            f"{item.request}: status {item.status}, seal"
            f" {item.header('Postspring-Server-Seal')}, Content-Length"
            f" {item.header('Content-Length')}, engine's body {expected}"
        )
    for engine in engines:
        record.line(
            f"{engine.id}: {engine.spoiled} of {engine.answered} answers broken"
            " off"
        )
    good = sum(item.status == 200 for item in answers)
    record.say(
        f"{len(answers)} requests, {good} answered 200;"
        f" {sum(e.spoiled for e in engines)} answers broken off by"
        f" {sum(e.is_faulty for e in engines)} of {ENGINES} engines;"
        f" truncated bodies passed on as complete successes: {len(mixed)}"
    )
    if good < len(answers) / 2:
        raise RuntimeError("too few requests were served")
    return bool(mixed)


harness.main(case, FOLDER)
