"""Callers of a run: users on kept connections, in one process."""

import asyncio
import dataclasses
import itertools
import pathlib
import random
import time

import h11

from postspring.platform import names
from postspring.testing.fleet import fleet
from postspring.testing.soak import balancer as balancer_module
from postspring.testing.soak import connection as connection_module
from postspring.testing.soak import digests
from postspring.testing.soak import records
from postspring.testing.soak import world as world_module

__all__ = ["Caller", "Request"]

# 429, 503, 408 and 421 promise that nothing has run nor will; 402 as well,
# but asking again is of no use.
PROMISES = frozenset({408, 421, 429, 503})
FINAL = frozenset({400, 401, 402, 403, 404, 410, 413, 431})
# Longest wait for Retry-After, as a share of the time that is left.
RETRY_SHARE = 1 / 3
# Share of the attempts with a key that nobody holds.
STRANGERS = 0.01
UNKNOWN_KEY = "key-of-nobody"
_numbers = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What a caller wants done; times in seconds.

    Parameters
    ==========

    work : str
        Name that all its attempts share.
    retries : int
        Attempts after the first.
    pace : Pace
        How the answer is read.
    expected : bytes
        Body that an upstream is to get; empty if it is the body itself.
    """

    work: str
    kind: records.Kind
    method: str
    target: str
    headers: dict[str, str]
    deadline: float
    retries: int = 1
    body: bytes = b""
    expected: bytes = b""
    pace: connection_module.Pace = connection_module.Pace()
    program: str = ""
    previous: str = ""
    previous_ended: float = 0.0


class Caller:
    """One user's connections, kept by data center.

    Parameters
    ==========

    lines : TextIO
        Takes a line for each attempt.

    Attributes
    ==========

    workspace : str
        Whose key it has.
    """

    def __init__(
        self,
        name: str,
        world: world_module.World,
        balancer: balancer_module.Balancer,
        lines,
        draw: random.Random,
    ):
        self.name = name
        self.draw = draw
        self._world = world
        self._balancer = balancer
        self._lines = lines
        self._kept: dict[str, list[connection_module.Connection]] = {}
        self.workspace = draw.choice(list(world_module.KEY_BY_WORKSPACE))
        limits = world_module.configuration(1)["limits"]
        self._idle_seconds = limits["idle_timeout_ms"] / 1000

    async def make(
        self, request: Request, data_center: str
    ) -> tuple[records.Attempt, bytes]:
        """Attempt a request until it is answered, or must not be repeated."""
        end = time.monotonic() + request.deadline
        last_vm = ""
        for left in reversed(range(request.retries + 1)):
            attempt, body = await self._attempt(
                request, data_center, end, last_vm
            )
            last_vm = attempt.vm
            time_left = end - time.monotonic()
            if not left or time_left < 0.05 or not _may_repeat(attempt):
                break
            wait = float(attempt.retry_after or 0.0)
            await asyncio.sleep(min(wait, time_left * RETRY_SHARE))
        return attempt, body

    def close(self) -> None:
        """Leave all connections."""
        for kept in self._kept.values():
            for connection in kept:
                connection.close()

    # -- one attempt ----------------------------------------------------------

    async def _attempt(self, request, data_center, end, last_vm):
        connection = None if last_vm else self._take_kept(data_center, request)
        attempt = self._new_attempt(request, end)
        answer = b""
        try:
            if connection is None:
                connection = await self._connect(
                    data_center, last_vm, request, attempt
                )
        except (OSError, TimeoutError):
            attempt.end = records.End.UNREACHABLE
            attempt.ended = time.monotonic()
        else:
            attempt.vm = connection.vm.name
            attempt.connection = connection.name
            attempt.use = connection.use
            head = self._head(request, attempt)
            answer = await connection.exchange(
                attempt, head, request.body, request.pace
            )
            if connection.usable:
                self._kept.setdefault(data_center, []).append(connection)
        records.write_record(self._lines, attempt)
        return attempt, answer

    def _take_kept(self, data_center, request):
        if request.pace.rest:
            return None
        kept = self._kept.get(data_center, [])
        while kept:
            connection = kept.pop()
            if connection.is_kept():
                return connection
            if connection.surplus:
                self._tell_surplus(connection)
        return None

    def _tell_surplus(self, connection) -> None:
        """Write a line for bytes that answer nothing."""
        nothing = Request("", records.Kind.SAFE, "", "", {}, 0.0)
        line = self._new_attempt(nothing, 0.0)
        line.vm, line.connection = connection.vm.name, connection.name
        line.end, line.size = records.End.SURPLUS, len(connection.surplus)
        records.write_record(self._lines, line)

    async def _connect(self, data_center, last_vm, request, attempt):
        vm = self._balancer.choose(
            data_center, f"{self.name} {next(_numbers)}", last_vm
        )
        attempt.vm = vm.name
        connection = connection_module.Connection(
            vm, self._idle_seconds, bool(request.pace.rest)
        )
        try:
            await connection.open()
        except BaseException:
            connection.close()
            raise
        return connection

    def _new_attempt(self, request: Request, end: float) -> records.Attempt:
        return records.Attempt(
            id=f"{self.draw.getrandbits(64):016x}",
            work=request.work,
            kind=request.kind,
            vm="",
            connection="",
            use=0,
            began=time.monotonic(),
            deadline=end,
            expected=digests.digest(request.expected or request.body),
            program=request.program,
            previous=request.previous,
            previous_ended=request.previous_ended,
            slow=bool(request.pace.rest),
            workspace=self._draw_workspace(request),
        )

    def _draw_workspace(self, request: Request) -> str:
        """Return the caller's workspace, or now and then a stranger's."""
        is_plain = request.kind is not records.Kind.TURN
        if is_plain and self.draw.random() < STRANGERS:
            return ""
        return self.workspace

    @staticmethod
    def _head(request: Request, attempt: records.Attempt) -> h11.Request:
        left = max(1, round((attempt.deadline - time.monotonic()) * 1000))
        fields = {
            "Host": fleet.HOST,
            names.REQUEST_ID: attempt.id,
            names.DEADLINE_MS: str(left),
            names.CREDENTIAL: world_module.KEY_BY_WORKSPACE.get(
                attempt.workspace, UNKNOWN_KEY
            ),
            **request.headers,
        }
        if request.body:
            fields["Content-Length"] = str(len(request.body))
        return h11.Request(
            method=request.method,
            target=request.target,
            headers=list(fields.items()),
        )


def _may_repeat(attempt: records.Attempt) -> bool:
    """Return whether a caller asks again after this attempt."""
    if attempt.end is records.End.WHOLE:
        if attempt.status in PROMISES:
            return True
        is_failure = attempt.status >= 500
        return is_failure and attempt.kind is records.Kind.SAFE
    if attempt.end in (records.End.UNREACHABLE, records.End.UNSENT):
        return True
    return attempt.kind is records.Kind.SAFE


def open_lines(world: world_module.World):
    """Open the file that takes the attempts."""
    return open(pathlib.Path(world.folder, "attempts.jsonl"), "a")
