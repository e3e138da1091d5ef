"""The virtual stage: scenarios on the daemons' core in virtual time."""

from collections.abc import Callable

from postspring.testing import scenario
from postspring.testing.virtual import invariants
from postspring.testing.virtual import world as world_module

__all__ = ["VirtualStage", "run_virtual"]

SETTLE_SECONDS = 40.0
JOIN_SECONDS = 3000.0


class VirtualStage:
    """Runs a scenario's steps on a :class:`World`.

    Parameters
    ==========

    seed : int
        Seed of all chance.
    """

    def __init__(self, seed: int):
        self.seed = seed
        self.world: world_module.World | None = None

    @property
    def replay(self) -> str:
        """How to run the same again."""
        return f"run_virtual(text, seed={self.seed})"

    def build(self, places: dict[str, int], options: dict) -> None:
        """Start the world."""
        settings = {
            name: options[name]
            for name in ("carry_every", "hold_after", "copies")
            if name in options
        }
        if "copies" in settings:
            settings["copies"] = int(settings["copies"])
        self.world = world_module.World(
            places,
            self.seed,
            int(options.get("engines", 2)),
            int(options.get("retain", 1_000_000)),
            settings,
        )

    def create(self, name, vm, budget, parent) -> None:
        """Create a program."""
        self.world.create(name, vm, budget, parent)

    def call(self, name: str, kind: str, key: str, mode: str) -> None:
        """Issue a call, and wait for its outcome unless it is async."""
        caller = self.world.caller_by_name[name]
        caller.call(kind, key, once=mode == "once")
        if mode != "async":
            self.join(name)

    def join(self, name: str) -> None:
        """Wait until all calls of a program have their outcome."""
        caller = self.world.caller_by_name[name]
        self.world.run_until(
            lambda: caller.idle, JOIN_SECONDS, f"calls of {name}"
        )

    def finish(self, name: str, how: str) -> None:
        """End or cancel a program."""
        self.world.end(name, how)

    def owner_of(self, name: str) -> str:
        """Return the VM that owns a program's slot."""
        program = self.world.caller_by_name[name].program
        return self.world.owner_of(program)

    def fault(self, kind: str, vm: str) -> None:
        """Kill, freeze, thaw, restart or shut down a VM."""
        function_by_kind: dict[str, Callable] = {
            "kill": self.world.kill,
            "freeze": self.world.freeze,
            "thaw": self.world.thaw,
            "restart": self.world.restart,
            "shutdown": self.world.shut_down,
        }
        function_by_kind[kind](vm)

    def cut(self, one: str, other: str) -> None:
        """Cut two names from each other."""
        self.world.network.cut(one, other)

    def heal(self) -> None:
        """Undo all cuts."""
        self.world.network.heal()

    def log_down(self) -> None:
        """Take the log down."""
        self.world.platform.set_down(True)

    def log_up(self) -> None:
        """Bring the log back, as quick as ever."""
        self.world.platform.set_down(False)
        self.world.platform.delay = 0.0

    def log_slow(self, seconds: float) -> None:
        """Have every answer of the log delayed."""
        self.world.platform.delay = seconds

    def log_loses(self, count: float) -> None:
        """Have so many appends take effect without an answer."""
        self.world.platform.lose_answers = int(count)

    def log_drops(self, count: float) -> None:
        """Have so many appends lost."""
        self.world.platform.drop_appends = int(count)

    def log_delays(self, count: float, seconds: float) -> None:
        """Have so many appends take effect later, without an answer."""
        self.world.platform.late_appends = int(count)
        self.world.platform.late_by = seconds

    def tool_hangs(self) -> None:
        """Have the tool run calls and never answer."""
        self.world.tool.hangs = True

    def tool_works(self) -> None:
        """Have the tool answer again."""
        self.world.tool.hangs = False

    def tool_loses(self, count: float) -> None:
        """Have so many answers of the tool lost."""
        self.world.tool.lose_answers = int(count)

    def engine_hangs(self, name: str) -> None:
        """Have an engine take calls and never answer."""
        self.world.engine_by_name[name].hangs = True

    def engine_works(self, name: str) -> None:
        """Have an engine answer again."""
        self.world.engine_by_name[name].hangs = False

    def engine_dies(self, name: str, count: float) -> None:
        """Have so many streams of an engine break off."""
        self.world.engine_by_name[name].die_mid_stream = int(count)

    def engine_crosses(self, name: str, count: float) -> None:
        """Have an engine give so many answers to the wrong requests."""
        self.world.engine_by_name[name].cross_answers = int(count)

    def engine_ignores(self, name: str, count: float) -> None:
        """Have an engine neither take nor answer so many orders."""
        self.world.engine_by_name[name].ignore_orders = int(count)

    def engine_skips(self, name: str, seconds: float) -> None:
        """Have an engine publish events late, and only every other one."""
        self.world.engine_by_name[name].events_late_by = seconds

    def list_lags(self, seconds: float) -> None:
        """Have the list of VMs lag."""
        self.world.platform.list_lag = seconds

    def list_leaving(self, name: str) -> None:
        """Have the list say that an upstream is leaving."""
        entry = {
            "data_center": "rimac",
            "address": "127.0.0.1:1",
            "state": "leaving",
        }
        self.world.platform.set_vm(name, entry)

    def engine_calls(self, name: str) -> int:
        """Return how many calls an engine was sent."""
        return self.world.engine_by_name[name].started

    def when(self, event: str, action: Callable[[], None]) -> None:
        """Do something when an event happens for the first time."""
        self.world.when(event, action)

    def wait(self, seconds: float) -> None:
        """Let time go by."""
        self.world.run_for(seconds)

    def settle(self) -> list[str]:
        """Mend everything, wait, and return what does not hold."""
        world = self.world
        self.heal()
        self.log_up()
        self.tool_works()
        for name in world.engine_by_name:
            self.engine_works(name)
        for vm in world.vm_by_name.values():
            if not vm.stopped and vm.process.frozen:
                world.thaw(vm.name)
        for name in world.caller_by_name:
            self.join(name)
        world.run_for(SETTLE_SECONDS)
        return invariants.check_invariants(world)

    def publish(self, change: str, version: int | None) -> None:
        """Publish a configuration, against a version if one is named."""
        places = sorted(
            {vm.data_center for vm in self.world.vm_by_name.values()}
        )
        document = self.world.document(places)
        if version is None:
            self.world.platform.publish(change, document)
        else:
            self.world.platform.append_configuration(change, version, document)

    def declare(self, data_center: str, lost: bool) -> None:
        """Publish that a data centre is lost, or is back."""
        vms = self.world.vm_by_name.values()
        document = self.world.document(sorted({vm.data_center for vm in vms}))
        document["lost_data_centers"] = [data_center] if lost else []
        self.world.platform.publish(f"declare-{data_center}-{lost}", document)

    def changes_in_force(self) -> set[str]:
        """Return the changes in force on the live VMs."""
        return {
            vm.core.configuration.state.change_id
            for vm in self.world.live_vms()
        }

    def executions(self, key: str) -> int:
        """Return how often a tool call ran."""
        return self.world.executions(key)

    def turns(self, name: str) -> int:
        """Return how many turns a program has in the log."""
        return self.world.program_state(name).head.step

    def last_told(self, name: str) -> str:
        """Return what the caller was told of its last call."""
        outcome = self.world.caller_by_name[name].outcomes[-1]
        held = " held" if outcome.held else ""
        return f"{outcome.told}{held} {outcome.reason}".strip()

    def held_tokens(self, name: str) -> int:
        """Return what engines hold of a program."""
        program = self.world.caller_by_name[name].program
        return sum(
            engine.held_by_session[program]
            for engine in self.world.engine_by_name.values()
        )

    def spent(self, name: str) -> int:
        """Return what a program has spent, as the log tells it."""
        return self.world.program_state(name).account.spent

    def status(self, name: str) -> str:
        """Return a program's status."""
        return self.world.program_state(name).status.value


def run_virtual(text: str, seed: int) -> VirtualStage:
    """Run a scenario in virtual time and return its stage."""
    stage = VirtualStage(seed)
    scenario.ScenarioRun(stage, scenario.parse_scenario(text)).run()
    return stage
