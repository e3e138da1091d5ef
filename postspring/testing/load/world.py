"""Many VMs before engines, in virtual time: how well scheduling does.

No network and no store: a VM knows its own calls, and what the exchange of
loads tells it with a delay.
"""

from collections.abc import Callable
import dataclasses
import random
import statistics

from postspring.forwarding import stream_pace
from postspring.scheduling import admission as admission_module
from postspring.scheduling import placement as placement_module
from postspring.scheduling import urgency as urgency_module
from postspring.testing.load import engine as engine_module
from postspring.testing.load import plays
from postspring.testing.load import programs
from postspring.testing.load import shapes
from postspring.testing.virtual import clock as clock_module
from postspring import upstreams

__all__ = ["LoadWorld"]

# One way from a caller to a VM and on to an engine, in seconds.
WAY_SECONDS = 0.0135
# Callers come back this long after a refusal, in seconds.
AGAIN_SECONDS = 0.1


class _Vm:
    """One VM's view of the engines."""

    def __init__(self, world: "LoadWorld", number: int, placement):
        self.data_center = f"z{number % world.shape.data_centers}"
        self.placement = placement
        self.urgency = urgency_module.urgency_by_name[world.shape.urgency]()
        self.admission = admission_module.admission_by_name[
            world.shape.admission
        ](world.draw)
        self.upstreams = [
            upstreams.Upstream(
                id=upstreams.UpstreamId(f"e{number}"),
                service="",
                address=("", number),
                data_center=f"z{number % world.shape.data_centers}",
                concurrency=world.shape.engine.slots,
            )
            for number in range(world.shape.engines)
        ]


@dataclasses.dataclass(slots=True)
class _Call:
    """A turn as placement sees it."""

    last_upstream: str
    data_center: str
    now: float
    affinity_key: str = ""
    prompt_tokens: int = 0
    cost_by_id: dict[str, float] = dataclasses.field(default_factory=dict)


class LoadWorld:
    """Plays programs of some kinds before engines.

    Parameters
    ==========

    make_placement : callable
        Returns a VM's placement.
    """

    def __init__(
        self,
        shape: shapes.WorldShape,
        kinds: list[programs.ProgramKind],
        make_placement: Callable[[], placement_module.Placement],
        seed: int,
    ):
        self.shape = shape
        self.clock = clock_module.VirtualClock()
        self._draw = random.Random(seed)
        # Of its own, so that all policies get the same programs.
        self._draw_programs = random.Random(seed)
        self._kinds = kinds
        self.engines = [
            self._make_engine(n, seed) for n in range(shape.engines)
        ]
        self._make_placement = make_placement
        self._vms = self._new_vms()
        self._power_losses = 0
        self._back_at = 0.0
        self._refused = 0
        self._given_up: list[float] = []
        self._ranks = tuple(sorted({kind.rank for kind in kinds}))
        self._began = self.clock.now
        self._open_turns: dict[int, plays.Turn] = {}
        self._results: list[tuple[float, float, bool]] = []

    def play(self) -> shapes.LoadReport:
        """Play to the end, and tell how it went."""
        for kind in self._kinds:
            self._arrive(kind, 0)
        if self.shape.exchange is not None:
            self._exchange()
        if self.shape.power_loss is not None:
            self.clock.call_later(self.shape.power_loss[0], self._lose_power)
        self.clock.run_for(self.shape.seconds + 12.0)
        ended = sum(weight for weight, _, _ in self._results)
        owed = ended + sum(self._given_up)
        earned = sum(weight for weight, _, good in self._results if good)
        ratios = sorted(ratio for _, ratio, _ in self._results)
        return shapes.LoadReport(
            earned / owed,
            statistics.median(ratios),
            ratios[int(0.95 * len(ratios))],
            sum(engine.read_tokens for engine in self.engines),
            sum(engine.turned_away for engine in self.engines),
            ended / owed,
            self._refused,
            sum(engine.preempted for engine in self.engines),
        )

    def _make_engine(
        self, number: int, seed: int
    ) -> engine_module.BatchingEngine:
        unevenness = self.shape.unevenness
        factor = self.shape.slow.get(number, 1.0)
        shape = unevenness.engine_shape(number, self.shape.engine, factor)
        slowness = unevenness.slowness_of(number, shape.step, seed)
        began = self.clock.now
        return engine_module.BatchingEngine(
            self.clock, shape, lambda now: slowness(now - began)
        )

    def _new_vms(self) -> list[_Vm]:
        return [
            _Vm(self, number, self._make_placement())
            for number in range(self.shape.vms)
        ]

    def _lose_power(self) -> None:
        """Drop what VMs know and what they have in flight."""
        self._power_losses += 1
        self._back_at = self.clock.now + self.shape.power_loss[1]
        self._vms = self._new_vms()
        for engine in self.engines:
            engine.drop_all()
        for turn in list(self._open_turns.values()):
            self._send_again(turn)

    def draw(self) -> float:
        """Return a random number from 0 to 1."""
        return self._draw.random()

    # -- programs -------------------------------------------------------------

    def _arrive(self, kind: programs.ProgramKind, number: int) -> None:
        passed = self.clock.now - self._began
        if passed > self.shape.seconds:
            return
        begin, end, factor = self.shape.burst
        factor = factor if begin <= passed < end else 1.0
        hot_begin, hot_end, hot_factor = self.shape.hot
        hot_factor = hot_factor if hot_begin <= passed < hot_end else 0.0
        rate = kind.per_second * (factor + hot_factor)
        shape = programs.draw_program(self._draw_programs, kind, number)
        workspace = "hot"
        if not hot_factor or self._draw_programs.random() * rate >= (
            kind.per_second * hot_factor
        ):
            workspace = f"w{number % self.shape.workspaces}"
        plays.Play(self, shape, workspace).start()
        pause = self._draw_programs.expovariate(rate)
        self.clock.call_later(pause, self._arrive, kind, number + 1)

    def ended(
        self, shape: programs.ProgramShape, seconds: float, idle: float
    ) -> None:
        """Take note that a program has ended."""
        kind = shape.kind
        aim = kind.aim_factor * idle + kind.aim
        self._results.append((idle, seconds / idle, seconds <= aim))

    def given_up(self, idle: float) -> None:
        """Take note that a program was refused until its deadline."""
        self._given_up.append(idle)

    def home(self) -> int:
        """Return the data centre that a program begins in."""
        count = self.shape.data_centers
        means = self.shape.shares or (1.0,) * count
        passed = self.clock.now - self._began
        weights = self.shape.swing.weights(means, passed)
        return self._draw.choices(range(count), weights)[0]

    def vm_for(self, previous: int | None, home: int) -> int:
        """Return the VM through which a turn comes."""
        shape = self.shape
        if previous is not None and self._draw.random() >= shape.moves:
            return previous
        if self._draw.random() < shape.crosses:
            home = self._draw.randrange(shape.data_centers)
        return self._draw.randrange(home, shape.vms, shape.data_centers)

    def idle_seconds(self, unread: int, output: int) -> float:
        """Return how long a turn takes on an idle engine, with its way."""
        shape = self.shape.engine
        read = unread / shape.tokens_per_second
        return read + output * shape.step + 2 * WAY_SECONDS

    # -- turns ----------------------------------------------------------------

    def send(self, turn: plays.Turn) -> None:
        """Let a VM admit and place a turn."""
        self._open_turns[id(turn)] = turn
        if self.clock.now < self._back_at:
            self._send_again(turn)
            return
        vm = self._vms[turn.vm]
        vm.admission.note_turn(turn.play.workspace, self.clock.now)
        if turn.is_first and self._refuses(vm, turn):
            return
        self._place(vm, turn)

    def _refuses(self, vm: _Vm, turn: plays.Turn) -> bool:
        """Return whether a VM refuses a first turn; let it come again."""
        time_left = turn.play.due - self.clock.now
        first = admission_module.FirstTurn(
            turn.play.id,
            turn.play.workspace,
            time_left,
            now=self.clock.now,
        )
        decision = vm.admission.decide(first, vm.upstreams)
        if decision.is_admitted:
            return False
        self._refused += 1
        if time_left - decision.retry_after <= 0:
            del self._open_turns[id(turn)]
            turn.play.give_up()
        else:
            if self._draw.random() < self.shape.retry_moves:
                turn.vm = turn.play.next_vm()
            self._come_again(turn, decision.retry_after + 2 * WAY_SECONDS)
        return True

    def _come_again(self, turn: plays.Turn, seconds: float) -> None:
        """Let a turn come again, unless the power is lost before that."""
        losses = self._power_losses

        def come() -> None:
            if losses == self._power_losses:
                self.send(turn)

        self.clock.call_later(seconds, come)

    def _send_again(self, turn: plays.Turn) -> None:
        """Let a turn come again when the VMs are back."""
        wait = max(0.0, self._back_at - self.clock.now)
        self._come_again(turn, wait + AGAIN_SECONDS * self._draw.random())

    def _place(self, vm: _Vm, turn: plays.Turn) -> None:
        call = _Call(
            turn.last_upstream,
            vm.data_center,
            self.clock.now,
            prompt_tokens=sum(tokens for _, tokens in turn.parts),
        )
        candidates = list(vm.upstreams)
        self._draw.shuffle(candidates)
        upstream = vm.placement.choose(call, candidates)
        engine = self.engines[upstream.address[1]]
        upstream.in_flight += 1
        losses = self._power_losses
        pace = stream_pace.StreamPace(upstream)

        def event() -> None:
            pace.note_events(1, self.clock.now)

        def done() -> None:
            upstream.in_flight -= 1
            pace.end()
            pace.report(self.clock.now)
            turn.last_upstream = upstream.incarnation
            del self._open_turns[id(turn)]
            self.clock.call_later(WAY_SECONDS, turn.done)

        job = engine_module.Job(
            turn.parts, turn.output, min(12, turn.output), event, done, event
        )
        urgency = vm.urgency.of(self._standing(turn, upstream))
        if urgency is not None:
            job.urgency = urgency

        def arrive() -> None:
            if losses == self._power_losses and not engine.offer(job):
                upstream.in_flight -= 1
                self._come_again(turn, AGAIN_SECONDS)

        self.clock.call_later(WAY_SECONDS, arrive)

    def _standing(self, turn: plays.Turn, upstream):
        """Return what decides the urgency of a turn."""
        expected = upstream.stream_seconds
        return urgency_module.CallStanding(
            turn.play.rank,
            self._ranks,
            turn.play.due - self.clock.now - expected,
            expected,
            not turn.is_first,
        )

    def _exchange(self) -> None:
        """Every VM learns what all others had in flight just now."""
        if self.clock.now - self._began >= self.shape.exchange_ends:
            return
        totals = [0] * self.shape.engines
        for vm in self._vms:
            for number, upstream in enumerate(vm.upstreams):
                totals[number] += upstream.in_flight
        delay = self.shape.exchange / 2
        for vm in self._vms:
            for number, upstream in enumerate(vm.upstreams):
                others = totals[number] - upstream.in_flight
                self.clock.call_later(
                    delay, upstream.note_peer_calls, others, self.clock.now
                )
        self.clock.call_later(self.shape.exchange, self._exchange)
