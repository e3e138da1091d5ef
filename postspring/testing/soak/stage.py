"""A run on real processes: starts them, plays the plan, collects lines."""

import dataclasses
import json
import pathlib
import random
import shlex
import signal
import time
import tomllib

from postspring.platform import names
from postspring.testing.fleet import fleet
from postspring.testing import probes
from postspring.testing import processes
from postspring.testing.soak import events as events_module
from postspring.testing.soak import leaving
from postspring.testing.soak import plan as plan_module
from postspring.testing.soak import policies
from postspring.testing.soak import records
from postspring.testing.soak import world as world_module

__all__ = ["Lines", "Stage", "daemon_words"]

MODULE = "postspring.testing.soak"
TICK_SECONDS = 0.02
# Interval at which the memory of VMs is compared with their limit.
MEMORY_SECONDS = 0.1
# From a process's end to its next start.
RESTART_SECONDS = 0.3
START_SECONDS = 60.0
MEMORY_BYTES = world_module.MEMORY_MB * 1024 * 1024
# After the end of traffic callers finish what is under way.
FINISH_SECONDS = 60.0
DEPLOY_FILE = "deploy/system.toml"
# Stalls of a VM that others' processes hold up, in seconds: one in twelve
# is eight times the least, and few are the longest.
SHORTEST_STALL = 0.02
LONGEST_STALL = 0.8
STALL_SHAPE = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class Lines:
    """What a run left behind."""

    attempts: list[records.Attempt]
    runs: list[records.Run]
    events: list[events_module.Event]
    leaves: list[leaving.Leave]


@dataclasses.dataclass(slots=True)
class _Daemon:
    """A VM's process; times are monotonic, 0 for never."""

    vm: world_module.Vm
    stopped_at: float = 0.0
    killed: bool = False
    thaw_at: float = 0.0
    stall_until: float = 0.0
    start_at: float = 0.0
    starts: int = 0


class Stage(processes.ProcessGroup):
    """All processes of a run.

    Parameters
    ==========

    burners : int
        Processes that only use up processor time.
    stalls : int
        VMs that are held up at any moment, each for a short time.  That is
        no step of the plan: on a busy machine it happens all the time.
    """

    def __init__(
        self, world: world_module.World, burners: int = 0, stalls: int = 0
    ):
        folder = pathlib.Path(world.folder)
        super().__init__(folder)
        self.world = world
        self._folder = folder
        self._world_path = world.save()
        self._daemons = [_Daemon(vm) for vm in world.vms]
        self._events = open(folder / "events.jsonl", "a")
        self._undo: list[tuple[float, dict]] = []
        self._version = 0
        self._burners = burners
        self._stalls = stalls
        self._draw = random.Random(world.seed)
        self._memory_checked_at = 0.0
        self._words = daemon_words()

    def play(self, plan: list[plan_module.Step], seconds: float) -> Lines:
        """Run a plan from the first caller to the last answer."""
        text = json.dumps([dataclasses.asdict(s) for s in plan], indent=1)
        (self._folder / "plan.json").write_text(text)
        try:
            self._start_all()
            self._play(plan, seconds)
        finally:
            self._events.close()
            self.close()
        return self._lines()

    # -- starting -------------------------------------------------------------

    def _start_all(self) -> None:
        self._start_own("store", self._world_path)
        host, port = self.world.control
        self._control = f"{host}:{port}"
        processes.wait_until(
            "the store",
            lambda: (
                probes.fetch(self._control, "POST", "/faults", {}) is not None
            ),
        )
        self._configure()
        for service in (fleet.TURNS_SERVICE, fleet.PLAIN_SERVICE):
            self._start_own("upstreams", self._world_path, service)
        for daemon in self._daemons:
            self._start_daemon(daemon)
        for number in range(self._burners):
            self.start(f"burn-{number}", [MODULE, "burn"], {})

    def _start_own(self, command: str, *arguments: str) -> None:
        name = "-".join([command, *arguments[1:]])
        self.start(name, [MODULE, command, *arguments], {})

    def _start_daemon(self, daemon: _Daemon) -> None:
        path = self.world.write_settings(daemon.vm, not daemon.starts)
        variables = {
            names.SETTINGS_VARIABLE: path,
            **policies.draw_policies(self.world.seed),
        }
        self.start_python(daemon.vm.name, self._words, variables)
        daemon.starts += 1
        daemon.start_at = daemon.stopped_at = 0.0
        daemon.stall_until = 0.0
        daemon.killed = False

    # -- playing --------------------------------------------------------------

    def _play(self, plan: list[plan_module.Step], seconds: float) -> None:
        self._start_own("callers", self._world_path, str(seconds))
        log = self._folder / f"callers-{seconds}.log"
        processes.wait_until(
            "callers", lambda: "ready" in log.read_text(), START_SECONDS
        )
        began = time.monotonic()
        steps = list(plan)
        callers = self.process_by_name[f"callers-{seconds}"]
        while callers.poll() is None:
            now = time.monotonic()
            while steps and steps[0].at <= now - began:
                self._do(steps.pop(0))
            self._look_after(now)
            self._limit_memory(now)
            self._stall(now)
            if now - began > seconds + FINISH_SECONDS:
                raise TimeoutError("callers did not finish")
            time.sleep(TICK_SECONDS)
        if callers.returncode:
            raise RuntimeError("callers failed; see their log")

    def _do(self, step: plan_module.Step) -> None:
        """Do a step, if its VM is up."""
        if step.action is plan_module.Action.STORE:
            self._disturb_store(step)
            return
        if step.action is plan_module.Action.CONFIGURE:
            self._configure()
            return
        daemon = self._daemons[step.vm]
        if daemon.start_at or daemon.stopped_at or daemon.thaw_at:
            return
        process = self.process_by_name[daemon.vm.name]
        if step.action is plan_module.Action.STOP:
            daemon.stopped_at = time.monotonic()
            self._tell(step.action, daemon)
            process.terminate()
        elif step.action is plan_module.Action.KILL:
            daemon.killed = True
            self._tell(step.action, daemon)
            process.kill()
        elif step.action is plan_module.Action.PAUSE:
            daemon.stall_until = 0.0
            daemon.thaw_at = time.monotonic() + step.seconds
            self._tell(step.action, daemon, daemon.thaw_at)
            self.freeze(daemon.vm.name)
        else:
            self.world.write_settings(daemon.vm, False, reloads=step.at)
            self._tell(step.action, daemon)
            process.send_signal(signal.SIGHUP)

    def _disturb_store(self, step: plan_module.Step) -> None:
        now = time.monotonic()
        self._record(
            events_module.Event(now, step.action, "", now + step.seconds)
        )
        probes.fetch(self._control, "POST", "/faults", step.faults)
        normal = {
            "slow": 1.0,
            "tail": False,
            "refuse": 0,
            "silent": False,
            "lose_answers": 0,
        }
        self._undo.append((now + step.seconds, normal))

    def _configure(self) -> None:
        """Publish the next version, with other times in it."""
        self._version += 1
        timeout_ms = 5000 + self._version % 2
        record = {
            "topic": names.OPERATOR_TOPIC,
            "key": names.CONFIGURATION_KEY,
            "value": world_module.configuration(self._version, timeout_ms),
        }
        now = time.monotonic()
        probes.fetch(self._control, "POST", "/put", record)
        action = plan_module.Action.CONFIGURE
        if self._version > 1:
            self._record(
                events_module.Event(now, action, "", time.monotonic())
            )

    def _look_after(self, now: float) -> None:
        """Do what the platform does: end, start again, mend."""
        while self._undo and self._undo[0][0] <= now:
            normal = self._undo.pop(0)[1]
            probes.fetch(self._control, "POST", "/faults", normal)
        for daemon in self._daemons:
            if daemon.thaw_at and daemon.thaw_at <= now:
                daemon.thaw_at = 0.0
                self.thaw(daemon.vm.name)
            elif daemon.start_at:
                if daemon.start_at <= now:
                    self._start_daemon(daemon)
            else:
                self._look_at_process(daemon, now)

    def _limit_memory(self, now: float) -> None:
        """Kill a VM's process that exceeds the memory of its machine."""
        if now - self._memory_checked_at < MEMORY_SECONDS:
            return
        self._memory_checked_at = now
        for daemon in self._daemons:
            process = self.process_by_name[daemon.vm.name]
            if process.poll() is None and (
                probes.peak_bytes(process) > MEMORY_BYTES
            ):
                # Its end counts as one of its own.
                process.kill()

    def _stall(self, now: float) -> None:
        """Hold up some VMs for a short time, as a busy machine does."""
        for daemon in self._daemons:
            if daemon.stall_until and daemon.stall_until <= now:
                daemon.stall_until = 0.0
                self.thaw(daemon.vm.name)
        stalled = sum(1 for item in self._daemons if item.stall_until)
        if stalled >= self._stalls:
            return
        daemon = self._draw.choice(self._daemons)
        if daemon.stall_until or daemon.thaw_at or daemon.start_at:
            return
        seconds = SHORTEST_STALL * self._draw.paretovariate(STALL_SHAPE)
        daemon.stall_until = now + min(seconds, LONGEST_STALL)
        self.freeze(daemon.vm.name)

    def _look_at_process(self, daemon: _Daemon, now: float) -> None:
        process = self.process_by_name[daemon.vm.name]
        status = process.poll()
        grace = world_module.BOUNDS["grace_s"]
        if status is not None:
            daemon.start_at = now + RESTART_SECONDS
            if not (daemon.stopped_at or daemon.killed):
                self._tell("own_end", daemon, now, status)
            elif daemon.stopped_at:
                self._tell("stopped", daemon, now, status)
        elif daemon.stopped_at and now - daemon.stopped_at > grace:
            process.kill()

    # -- telling --------------------------------------------------------------

    def _tell(self, action, daemon, until=0.0, status=None) -> None:
        now = time.monotonic()
        self._record(
            events_module.Event(
                now, str(action), daemon.vm.name, until or now, status
            )
        )

    def _record(self, event: events_module.Event) -> None:
        self._events.write(json.dumps(dataclasses.asdict(event)) + "\n")
        self._events.flush()

    def _lines(self) -> Lines:
        folder = self._folder
        upstreams = sorted(folder.glob("upstream-*.jsonl"))
        return Lines(
            records.load_records([folder / "attempts.jsonl"], records.Attempt),
            records.load_records(upstreams, records.Run),
            events_module.load_events(folder / "events.jsonl"),
            records.load_records(
                sorted(folder.glob("leaves-*.jsonl")), leaving.Leave
            ),
        )


def daemon_words() -> list[str]:
    """Return what follows ``python3`` in the deploy file."""
    deploy = tomllib.loads(pathlib.Path(DEPLOY_FILE).read_text())
    words = shlex.split(deploy["roles"]["entry"]["run"])
    if words[0] != "python3":
        raise ValueError(f"{DEPLOY_FILE}: not python3: {words}")
    return words[1:]
