"""The process stage: scenarios on real daemons on loopback."""

import collections
from collections.abc import Callable
import threading

from postspring import client
from postspring.client import connection
from postspring.testing import processes
from postspring.testing import scenario

__all__ = ["ProcessStage", "run_on_processes"]

RETRY_SECONDS = 40.0
REQUEST_SECONDS = 12.0
SETTLE_SECONDS = 30.0


class _Caller:
    """One program's caller; calls that nobody waits for have a thread."""

    def __init__(self, deployment: processes.Deployment, program):
        self.program: client.ProgramClient = program
        self.told: list[str] = []
        self.threads: list[threading.Thread] = []
        self._deployment = deployment

    def call(self, kind: str, key: str, once: bool) -> None:
        """Issue a call and note what was told."""
        retry_timeout = 0.0 if once else RETRY_SECONDS
        try:
            if kind == "model":
                result = self.program.ask(
                    "advisor", key, retry_timeout=retry_timeout
                )
            else:
                result = self.program.call_tool(
                    "parts", {"key": key}, retry_timeout=retry_timeout, key=key
                )
        except connection.RefusedError as error:
            self.told.append(f"refused {error.ran} {error.reason}")
        except connection.UnreachableError:
            self.told.append("lost")
        else:
            held = " held" if result.held else ""
            self.told.append(f"{result.status}{held}")


class ProcessStage:
    """Runs a scenario's steps on a :class:`Deployment`.

    It knows no triggers, and times are real: only what holds whatever the
    timing is expected of it.  With ``links=1`` a VM can be cut from the
    platform, and from all other VMs at once (``cut VM from peers``).
    """

    replay = "timing is real; run the scenario again"

    def __init__(self):
        self.deployment: processes.Deployment | None = None
        self._caller_by_name: dict[str, _Caller] = {}

    def build(self, places: dict[str, int], options: dict) -> None:
        """Start the deployment."""
        self.deployment = processes.Deployment(
            places, engines=2, links=bool(options.get("links"))
        )
        self.deployment.begin()

    def close(self) -> None:
        """End all processes."""
        if self.deployment is not None:
            self.deployment.close()

    def create(self, name, vm, budget, parent) -> None:
        """Create a program."""
        names = (vm,) if vm else ()
        made = client.ProgramClient.create(
            self.deployment.client(*names),
            "agent-models",
            budget=budget,
            parent=parent and self._caller_by_name[parent].program.program,
        )
        everywhere = client.ProgramClient(
            self.deployment.client(timeout=REQUEST_SECONDS), made.program
        )
        self._caller_by_name[name] = _Caller(self.deployment, everywhere)

    def call(self, name: str, kind: str, key: str, mode: str) -> None:
        """Issue a call, and wait for its outcome unless it is async."""
        caller = self._caller_by_name[name]
        self.join(name)
        thread = threading.Thread(
            target=caller.call, args=(kind, key, mode == "once")
        )
        thread.start()
        caller.threads.append(thread)
        if mode != "async":
            self.join(name)

    def join(self, name: str) -> None:
        """Wait until all calls of a program have their outcome."""
        for thread in self._caller_by_name[name].threads:
            thread.join()

    def finish(self, name: str, how: str) -> None:
        """End or cancel a program."""
        program = self._caller_by_name[name].program
        program.end() if how == "end" else program.cancel()

    def owner_of(self, name: str) -> str:
        """Return the VM that owns a program's slot."""
        return self._caller_by_name[name].program.view()["owner"]

    def fault(self, kind: str, vm: str) -> None:
        """Kill, freeze, thaw, restart or shut down a VM."""
        function_by_kind: dict[str, Callable] = {
            "kill": self.deployment.kill,
            "freeze": self.deployment.freeze,
            "thaw": self.deployment.thaw,
            "restart": self._restart,
            "shutdown": self.deployment.terminate,
        }
        function_by_kind[kind](vm)

    def _restart(self, vm: str) -> None:
        if vm in self.deployment.process_by_name:
            self.deployment.kill(vm)
        self.deployment.start_vm(vm)
        processes.wait_until(vm, lambda: self.deployment.ready(vm))

    def cut(self, vm: str, side: str) -> None:
        """Cut a VM from ``platform`` or from its ``peers``."""
        self.deployment.cut(f"{side}-{vm}")

    def heal(self) -> None:
        """Mend all links."""
        self.deployment.mend_links()

    def log_down(self) -> None:
        """Take the log down."""
        self.deployment.faults("platform", down=True)

    def log_up(self) -> None:
        """Bring the log back."""
        self.deployment.faults("platform")

    def log_slow(self, seconds: float) -> None:
        """Have every append answered late."""
        self.deployment.faults("platform", append_delay=seconds)

    def log_loses(self, count: float) -> None:
        """Have so many appends take effect without an answer."""
        self.deployment.faults("platform", lose_answers=int(count))

    def log_delays(self, count: float, seconds: float) -> None:
        """Have so many appends take effect later, without an answer."""
        self.deployment.faults(
            "platform", late_appends=int(count), late_by=seconds
        )

    def tool_hangs(self) -> None:
        """Have the tool run calls and answer too late."""
        self.deployment.faults("tool-1", delay=30)

    def tool_works(self) -> None:
        """Have the tool answer again."""
        self.deployment.faults("tool-1")

    def tool_loses(self, count: float) -> None:
        """Have so many answers of the tool lost."""
        self.deployment.faults("tool-1", lose_answers=int(count))

    def engine_dies(self, name: str, count: float) -> None:
        """Have so many streams of an engine break off."""
        self.deployment.faults(name, die_mid_stream=int(count))

    def engine_crosses(self, name: str, count: float) -> None:
        """Have an engine give so many answers to the wrong requests."""
        self.deployment.faults(name, cross_answers=int(count))

    def wait(self, seconds: float) -> None:
        """Let time go by."""
        threading.Event().wait(seconds)

    def settle(self) -> list[str]:
        """Mend everything, wait for all calls, and return what is wrong."""
        self.log_up()
        self.heal()
        self.tool_works()
        for name in self._caller_by_name:
            self.join(name)
        faults = [
            f"{key} ran {count} times"
            for key, count in self._counts().items()
            if count > 1
        ]
        for name, caller in self._caller_by_name.items():
            faults += self._history_faults(name, caller)
        return faults

    def _history_faults(self, name: str, caller: _Caller) -> list[str]:
        """Wait until no turn is held, then check the chain of turns."""
        program = caller.program
        processes.wait_until(
            f"{name} to be logged",
            lambda: program.view()["held_turns"] == 0,
            SETTLE_SECONDS,
        )
        parent = ""
        faults = []
        for step, turn in enumerate(program.history(), 1):
            if turn["step"] != step or turn["parent"] != parent:
                faults.append(f"{name}: turn {step} does not follow")
            parent = turn["digest"]
        if program.digest and parent != program.digest:
            faults.append(f"{name}: the last answer is not in history")
        return faults

    def _counts(self) -> collections.Counter:
        return collections.Counter(self.deployment.executions())

    def executions(self, key: str) -> int:
        """Return how often a tool call ran."""
        return self._counts()[f"parts:{key}"]

    def turns(self, name: str) -> int:
        """Return how many turns a program has."""
        return self._caller_by_name[name].program.view()["step"]

    def last_told(self, name: str) -> str:
        """Return what the caller was told of its last call."""
        return self._caller_by_name[name].told[-1]

    def spent(self, name: str) -> int:
        """Return what a program has spent."""
        return self._caller_by_name[name].program.view()["spent"]

    def status(self, name: str) -> str:
        """Return a program's status."""
        return self._caller_by_name[name].program.view()["status"]


def run_on_processes(text: str) -> None:
    """Run a scenario on real daemons."""
    stage = ProcessStage()
    try:
        scenario.ScenarioRun(stage, scenario.parse_scenario(text)).run()
    finally:
        stage.close()
