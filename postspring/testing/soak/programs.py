"""What users do: agent programs, and plain calls on kept connections."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import itertools
import random
import time
import zlib

from postspring.platform import names
from postspring.testing.soak import balancer as balancer_module
from postspring.testing.soak import breaking
from postspring.testing.soak import callers
from postspring.testing.soak import connection
from postspring.testing.soak import crashing
from postspring.testing.soak import records
from postspring.testing.soak import world as world_module

__all__ = ["Users", "run_callers"]

# Mean number of turns of a program, and shares of what happens after one.
TURNS = 6.0
SUB_AGENT_SHARE = 0.1
OTHER_PLACE_SHARE = 0.15
TOOL_SHARE = 0.6
# Share of programs that go on from a turn of an earlier one.
RETURN_SHARE = 0.25
# A turn this old is not gone on from: its retention might end meanwhile.
RETURN_SECONDS = world_module.RETENTION_SECONDS - 15.0
TURN_SECONDS = 5.0
SAFE_SECONDS = 2.0
ONCE_SECONDS = 6.0
# A turn that failed is sent again from its start, at most so often, after
# so many seconds.
TURN_TRIES = 3
AGAIN_SECONDS = (0.1, 0.4)
# Without a piece of a stream for so long the caller gives up, seconds.
STREAM_GAP = 3.2
INPUT_BYTES = (200, 3000)
USAGE = "3590,44"
PREFIX = "5c1e07a2:2560,{own:x}:1030"
BUDGET = "100000"
# Every so many users makes plain calls only.
PLAIN_USERS = 2
LARGE_ANSWERS = (100_000, 3_000_000)
# More than the kernel takes for a caller that does not read.
SLOW_ANSWERS = (5_000_000, 8_000_000)
LARGE_BODIES = (50_000, 1_500_000)
LARGE_SHARE = 0.1
SLOW_SHARE = 0.5
# Pause of a slow caller after each read, seconds.
SLOW_REST = (0.01, 0.03)
# Kept connections rest for so long between two plain calls, or for longer
# than a VM that stops leaves them open; seconds.
PLAIN_PAUSES = ((0.0, 1.0), (1.0, 10.0))
PROGRAM_PAUSE = 1.0
# Turns that others may go on from.
REMEMBERED_TURNS = 400
_numbers = itertools.count(1)


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """A turn that its caller has whole.

    Parameters
    ==========

    chain : bytes
        What an upstream has to get before the next turn's input.
    """

    id: str
    ended: float
    chain: bytes
    program: str


class Users:
    """All users; each does one thing after another until the end.

    Parameters
    ==========

    seconds : float
        From the first request; nothing new begins after that.
    """

    def __init__(self, world: world_module.World, seconds: float):
        self._world = world
        self._seconds = seconds
        self._until = 0.0
        self._lines = callers.open_lines(world)
        self._balancer = balancer_module.Balancer(world.vms)
        # Those of another workspace are not there for a caller.
        self._turns_by_workspace: dict[str, collections.deque[Turn]] = (
            collections.defaultdict(
                lambda: collections.deque(maxlen=REMEMBERED_TURNS)
            )
        )

    async def run(self) -> None:
        """Run everything to its end."""
        self._balancer.start()
        while not all(map(self._balancer.is_in, self._world.vms)):
            await asyncio.sleep(0.1)
        self._until = time.monotonic() + self._seconds
        print("ready", flush=True)
        async with asyncio.TaskGroup() as group:
            for number in range(self._world.users):
                group.create_task(self._live(number))
            if self._world.crashes:
                caller = self._caller("crash", "crashes")
                group.create_task(
                    self._send(
                        caller, crashing.send_crashing, self._world.crashes
                    )
                )
            if self._world.breaks:
                caller = self._caller("break", "breaks")
                group.create_task(
                    self._send(
                        caller, breaking.send_breaking, self._world.breaks
                    )
                )
            if self._world.endless:
                caller = self._caller("endless", "endless")
                group.create_task(
                    self._send(
                        caller, breaking.send_endless, self._world.endless
                    )
                )
        self._balancer.close()

    def _caller(self, name: str, draws: str) -> callers.Caller:
        """Return a caller whose random draws the seed and a name give."""
        draw = random.Random(f"{self._world.seed} {draws}")
        return callers.Caller(
            name, self._world, self._balancer, self._lines, draw
        )

    async def _send(
        self, caller: callers.Caller, send: Callable, mean: float
    ) -> None:
        """Send requests under which upstreams fail, until the end."""
        places = sorted({vm.data_center for vm in self._world.vms})
        await send(caller, places, mean, self._until)
        caller.close()

    async def _live(self, number: int) -> None:
        caller = self._caller(f"u{number}", str(number))
        draw = caller.draw
        places = sorted({vm.data_center for vm in self._world.vms})
        place = number % len(places)
        half_close = self._world.half_close
        turns = self._turns_by_workspace[caller.workspace]
        user = _User(caller, places, place, turns, half_close)
        await asyncio.sleep(draw.uniform(0, PROGRAM_PAUSE))
        while time.monotonic() < self._until:
            if number % PLAIN_USERS:
                await user.run_program(self._until)
                await asyncio.sleep(draw.uniform(0, PROGRAM_PAUSE))
            else:
                await user.make_plain_call()
                pause = draw.uniform(*draw.choice(PLAIN_PAUSES))
                await asyncio.sleep(pause)
        caller.close()


class _User:
    """One user's doings."""

    def __init__(self, caller, places, place: int, turns, half_close: float):
        self._caller = caller
        self._draw = caller.draw
        self._places = places
        self._place = place
        self._turns = turns
        self._half_close = half_close

    # -- programs -------------------------------------------------------------

    async def run_program(self, until: float) -> None:
        """Run a program of several turns, with tools between them."""
        program = f"p{next(_numbers)}-{self._draw.getrandbits(32):08x}"
        previous = self._earlier_turn()
        if previous is not None:
            program = previous.program
        count = 1 + int(self._draw.expovariate(1 / TURNS))
        for _ in range(count):
            turn = await self._take_turn(program, previous)
            if turn is None:
                return
            previous = turn
            if time.monotonic() > until:
                return
            await self._between(program, turn)

    def _earlier_turn(self) -> Turn | None:
        if self._draw.random() > RETURN_SHARE or not self._turns:
            return None
        turn = self._draw.choice(self._turns)
        is_old = time.monotonic() - turn.ended > RETURN_SECONDS
        return None if is_old else turn

    async def _between(self, program: str, turn: Turn) -> None:
        """Use tools, or let sub-agents take turns of their own."""
        if self._draw.random() < SUB_AGENT_SHARE:
            async with asyncio.TaskGroup() as group:
                for _ in range(2):
                    group.create_task(self._sub_agent(program, turn))
        elif self._draw.random() < TOOL_SHARE:
            async with asyncio.TaskGroup() as group:
                for _ in range(self._draw.randint(1, 2)):
                    group.create_task(self._use_tool(program))
        else:
            await asyncio.sleep(self._draw.uniform(0, 0.5))

    async def _sub_agent(self, program: str, turn: Turn) -> None:
        previous: Turn | None = turn
        for _ in range(2):
            previous = await self._take_turn(program, previous)
            if previous is None:
                return

    async def _take_turn(self, program, previous) -> Turn | None:
        work = f"turn-{next(_numbers)}"
        for _ in range(TURN_TRIES):
            turn, is_final = await self._try_turn(work, program, previous)
            if turn is not None:
                self._turns.append(turn)
                return turn
            if is_final:
                return None
            await asyncio.sleep(self._draw.uniform(*AGAIN_SECONDS))
        return None

    async def _try_turn(self, work, program, previous):
        size = self._draw.randint(*INPUT_BYTES)
        text = f"<{work} {self._draw.getrandbits(64):x}".encode()
        body = text.ljust(size, b".") + b">"
        chain = b"" if previous is None else previous.chain
        headers = {
            names.MODEL: "m",
            names.PROGRAM_ID: program,
            names.SESSION_ID: f"s-{program}",
            names.PROGRAM_DEADLINE_MS: "30000",
            names.TOKEN_BUDGET: BUDGET,
            names.TOKEN_USAGE: USAGE,
            names.PROMPT_PREFIX: PREFIX.format(
                own=zlib.crc32(program.encode())
            ),
        }
        if previous is not None:
            headers[names.PREVIOUS_TURN] = previous.id
        request = callers.Request(
            work=work,
            kind=records.Kind.TURN,
            method="POST",
            target="/stream/x",
            headers=headers,
            deadline=TURN_SECONDS,
            body=body,
            expected=chain + body,
            pace=connection.Pace(gap=STREAM_GAP),
            program=program,
            previous="" if previous is None else previous.id,
            previous_ended=0.0 if previous is None else previous.ended,
        )
        attempt, answer = await self._caller.make(request, self._where())
        if attempt.end is records.End.WHOLE and attempt.status == 200:
            output = _data_of_events(answer)
            turn = Turn(
                attempt.id, attempt.ended, chain + body + output, program
            )
            return turn, True
        return None, attempt.status in callers.FINAL

    def _where(self) -> str:
        place = self._place
        if self._draw.random() < OTHER_PLACE_SHARE:
            place = self._draw.randrange(len(self._places))
        return self._places[place]

    # -- plain calls ----------------------------------------------------------

    async def _use_tool(self, program: str) -> None:
        headers = {
            names.PROGRAM_ID: program,
            names.SESSION_ID: f"s-{program}",
            names.PROGRAM_DEADLINE_MS: "30000",
        }
        await self._plain_call(self._draw.random() < 0.5, "x", headers, b"")

    async def make_plain_call(self) -> None:
        """Make a call; some with a large body or answer, read slowly."""
        path, body, pace = "x", b"", connection.Pace()
        if self._draw.random() < LARGE_SHARE:
            sizes = LARGE_ANSWERS
            if self._draw.random() < SLOW_SHARE:
                sizes = SLOW_ANSWERS
                pace = connection.Pace(rest=self._draw.uniform(*SLOW_REST))
            path = f"large/{self._draw.randint(*sizes)}"
        elif self._draw.random() < LARGE_SHARE:
            body = b"b" * self._draw.randint(*LARGE_BODIES)
        if self._draw.random() < self._half_close:
            pace = dataclasses.replace(pace, half_close=True)
        # The other route's time-out is too short for reading slowly.
        is_safe = self._draw.random() < 0.5 and not pace.rest
        await self._plain_call(is_safe, path, {}, body, pace)

    async def _plain_call(
        self, is_safe, path, headers, body, pace=connection.Pace()
    ) -> None:
        request = callers.Request(
            work=f"call-{next(_numbers)}",
            kind=records.Kind.SAFE if is_safe else records.Kind.UNSAFE,
            method="POST" if body else "GET",
            target=f"/{'safe' if is_safe else 'once'}/{path}",
            headers=headers,
            deadline=SAFE_SECONDS if is_safe else ONCE_SECONDS,
            body=body,
            pace=pace,
        )
        await self._caller.make(request, self._places[self._place])


def _data_of_events(answer: bytes) -> bytes:
    """Return the data of a stream's events, each followed by a line feed."""
    return b"".join(
        line.removeprefix(b"data: ") + b"\n"
        for line in answer.split(b"\n")
        if line.startswith(b"data: ")
    )


def run_callers(path: str, seconds: float) -> None:
    """Run all users of a run for some time, and to their ends."""
    world = world_module.World.load(path)
    asyncio.run(Users(world, seconds).run())
