"""The virtual deployment: VMs, platform, upstreams, faults."""

from collections.abc import Callable
import dataclasses
import json
import random
from typing import Any

from postspring.entry import core as core_module
from postspring import ownership
from postspring import settings as settings_module
from postspring.testing.virtual import callers
from postspring.testing.virtual import clock as clock_module
from postspring.testing.virtual import document as document_module
from postspring.testing.virtual import network as network_module
from postspring.testing.virtual import servers

__all__ = ["World"]

SLOTS = 2
CALLER = "callers"


@dataclasses.dataclass(slots=True)
class _Vm:
    """An entry VM: its place, and its process while it has one."""

    name: str
    data_center: str
    address: tuple[str, int]
    process: clock_module.VirtualProcess | None = None
    core: core_module.EntryCore | None = None
    stopped: bool = True


class World:
    """A deployment in virtual time, all chance from one seed.

    Parameters
    ==========

    data_centers : dict of str to int
        How many entry VMs each data centre has.
    seed : int
        Seed of all chance.
    engines : int
        How many engines there are.
    retain : int
        Records that the platform keeps of each stream.
    settings : dict, optional
        Further settings of the entry VMs.
    """

    def __init__(
        self,
        data_centers: dict[str, int],
        seed: int = 1,
        engines: int = 2,
        retain: int = 1_000_000,
        settings: dict[str, Any] | None = None,
    ):
        self.seed = seed
        self.chance = random.Random(seed)
        # The daemons draw from the module: that has to be seeded too.
        random.seed(seed)
        self.clock = clock_module.VirtualClock()
        self.network = network_module.Network(self.clock, self.chance)
        self._settings = settings or {}
        self.server_by_address: dict[tuple, Any] = {}
        self.hub_by_vm: dict[str, network_module.VirtualHub] = {}
        self.caller_by_name: dict[str, callers.VirtualCaller] = {}
        self.versions_by_vm: dict[str, list[int]] = {}
        self._triggers: list[tuple[str, Callable[[], None]]] = []
        self._ports = iter(range(1000, 9000))
        self.platform = self._add(
            servers.VirtualPlatform(self, self._address(), retain)
        )
        self.tool = self._add(
            servers.VirtualTool(self, "tool", self._address())
        )
        self.engine_by_name = {
            f"engine-{number}": self._add(
                servers.VirtualEngine(
                    self, f"engine-{number}", self._address()
                )
            )
            for number in range(1, engines + 1)
        }
        self.vm_by_name: dict[str, _Vm] = {}
        for data_center, count in data_centers.items():
            for number in range(1, count + 1):
                name = f"{data_center}-{number}"
                self.network.place_by_name[name] = data_center
                vm = _Vm(name, data_center, self._address())
                self.vm_by_name[name] = vm
        self.platform.publish("initial", self.document(list(data_centers)))
        for name in self.vm_by_name:
            self.start_vm(name)
        self.run_until(self._all_owned, 60, "every slot has an owner")

    # -- VMs ----------------------------------------------------------------

    def start_vm(self, name: str) -> None:
        """Start an entry VM's process, and list it."""
        vm = self.vm_by_name[name]
        vm.process = clock_module.VirtualProcess(name)
        vm.stopped = False
        timers = clock_module.VirtualTimers(self.clock, vm.process)
        http = network_module.VirtualHttp(
            self.network, vm.process, self.server_by_address
        )

        def build_hub(*functions: Callable) -> network_module.VirtualHub:
            hub = network_module.VirtualHub(
                self, vm.process, timers, *functions, 0.5, 1.5
            )
            self.hub_by_vm[name] = hub
            return hub

        checked = settings_module.EntrySettings(
            vm=name,
            data_center=vm.data_center,
            listen="127.0.0.1:1",
            peer_listen="127.0.0.1:2",
            platform=self.platform.address_text,
            slots=SLOTS,
            **self._settings,
        )
        vm.core = core_module.EntryCore(
            checked, timers, http, build_hub, lambda: 0
        )
        vm.core.start()
        entry = {
            "data_center": vm.data_center,
            "address": f"127.0.0.1:{vm.address[1]}",
            "state": "live",
        }
        self.platform.set_vm(name, entry)

    def kill(self, name: str) -> None:
        """End an entry VM's process, as SIGKILL does."""
        vm = self.vm_by_name[name]
        if vm.stopped:
            return
        vm.stopped = True
        vm.process.kill()
        for other, hub in self.hub_by_vm.items():
            if other != name and self.network.reaches(other, name):
                self.clock.call_later(
                    self.network.latency(),
                    hub.process.deliver,
                    hub.link_broke,
                    name,
                )

    def restart(self, name: str) -> None:
        """Start a VM's process anew, killing the old one if it lives."""
        self.kill(name)
        self.start_vm(name)

    def shut_down(self, name: str) -> None:
        """Ask a VM to stop gracefully."""
        vm = self.vm_by_name[name]
        vm.process.deliver(vm.core.shut_down, lambda: self.kill(name))

    def freeze(self, name: str) -> None:
        """Stop a VM's process where it is."""
        self.vm_by_name[name].process.freeze()

    def thaw(self, name: str) -> None:
        """Let a VM's process go on."""
        self.vm_by_name[name].process.thaw()

    def live_vms(self) -> list[_Vm]:
        """Return the VMs whose process runs and is not frozen."""
        return [
            vm
            for vm in self.vm_by_name.values()
            if not vm.stopped and not vm.process.frozen
        ]

    def owner_of(self, program: str) -> str:
        """Return the VM that the log says owns a program's slot."""
        data_center, slot = self._place(program)
        return self.refold(data_center).slot_by_number[slot].owner

    def choose_vm(self) -> str:
        """Return a VM that the balancer would pick."""
        listed = [vm for vm in self.vm_by_name.values() if not vm.stopped]
        candidates = [
            vm for vm in listed if self.network.reaches(CALLER, vm.name)
        ]
        return self.chance.choice(candidates or listed).name

    # -- callers ------------------------------------------------------------

    def request(
        self,
        vm_name: str,
        method: str,
        path: str,
        body: Any,
        on_answer: Callable[[int, Any], None],
        on_lost: Callable[[], None],
        timeout: float,
    ) -> None:
        """Send a caller's request to a VM."""
        process = self.vm_by_name[vm_name].process
        core = self.vm_by_name[vm_name].core

        def answered(status: int, answer: Any) -> None:
            if self.network.reaches(CALLER, vm_name):
                self.clock.call_later(
                    self.network.latency(), on_answer, status, answer
                )

        request = callers.VirtualRequest(
            method, path, json.dumps(body).encode(), answered
        )

        def arrive() -> None:
            if not process.alive:
                on_lost()
            elif self.network.reaches(CALLER, vm_name):
                process.deliver(core.callers.handle, request)

        def time_out() -> None:
            request.gone = True
            on_lost()

        def watch() -> None:
            """Notice a broken connection at once, a silent one later."""
            if process.alive:
                self.clock.call_later(0.2, watch)
            else:
                on_lost()

        self.clock.call_later(self.network.latency(), arrive)
        self.clock.call_later(0.2, watch)
        self.clock.call_later(timeout, time_out)

    def create(
        self,
        name: str,
        vm: str | None = None,
        budget: int | None = None,
        parent: str | None = None,
        retry_timeout: float = 120.0,
    ) -> callers.VirtualCaller:
        """Create a program and return its caller."""
        body: dict[str, Any] = {"service": "agentes", "key": f"create-{name}"}
        if budget is not None:
            body["budget"] = budget
        if parent is not None:
            body["parent"] = self.caller_by_name[parent].program
        made: list[str] = []
        pending: list[bool] = []

        def answered(status: int, answer: Any) -> None:
            pending.clear()
            if "program" in answer:
                made.append(answer["program"])

        def ask() -> bool:
            if not made and not pending:
                pending.append(True)
                self.request(
                    vm or self.choose_vm(),
                    "POST",
                    "/v1/programs",
                    body,
                    answered,
                    pending.clear,
                    12,
                )
            return bool(made)

        self.run_until(ask, 60, f"program {name}")
        caller = callers.VirtualCaller(self, made[0], retry_timeout)
        self.caller_by_name[name] = caller
        return caller

    def end(self, name: str, how: str) -> None:
        """End or cancel a program."""
        program = self.caller_by_name[name].program
        done: list[bool] = []
        self.request(
            self.choose_vm(),
            "POST",
            f"/v1/programs/{program}/{how}",
            {},
            lambda status, answer: done.append(True),
            lambda: done.append(False),
            20,
        )
        self.run_until(lambda: bool(done), 30, f"{how} {name}")

    def executions(self, key: str) -> int:
        """Return how often a tool call ran."""
        return self.tool.count_by_key[key]

    # -- time and triggers --------------------------------------------------

    def run_until(
        self, check: Callable[[], bool], seconds: float, what: str
    ) -> None:
        """Let time go by until something holds; fail if it does not."""
        if not self.clock.run_until(check, seconds):
            raise AssertionError(f"seed {self.seed}: gave up on {what}")

    def run_for(self, seconds: float) -> None:
        """Let time go by."""
        self.clock.run_for(seconds)

    def when(self, event: str, action: Callable[[], None]) -> None:
        """Do something the first time an event is announced."""
        self._triggers.append((event, action))

    def announce(self, event: str) -> None:
        """Tell that something happened, for triggers."""
        for trigger in list(self._triggers):
            if trigger[0] == event:
                self._triggers.remove(trigger)
                trigger[1]()

    def announce_record(self, record: Any) -> None:
        """Tell that a record has taken effect in the log."""
        if isinstance(record, ownership.Intent):
            self.announce(f"intent {record.key}")
        elif isinstance(record, ownership.Turn):
            self.announce(f"commit {record.key}")
        elif isinstance(record, ownership.Claim):
            self.announce("claim")

    # -- log ----------------------------------------------------------------

    def refold(self, data_center: str) -> ownership.StreamFold:
        """Return the fold of a data centre's whole stream."""
        fold = ownership.StreamFold(SLOTS)
        for offset, data in enumerate(
            self.platform.stream(f"slots.{data_center}")
        ):
            fold.apply(offset, ownership.slot_records.decode(data))
        return fold

    def program_state(self, name: str) -> Any:
        """Return a program's state as the whole log tells it."""
        return self.state_of(self.caller_by_name[name].program)

    def state_of(self, program: str) -> Any:
        """Return a program's state by its id."""
        data_center, slot = self._place(program)
        return self.refold(data_center).program(program, slot)

    def document(self, data_centers: list[str], calls_ahead: int = 2) -> dict:
        """Return the configuration that the world begins with."""
        return document_module.first_document(
            data_centers[0], self.engine_by_name, self.tool, calls_ahead
        )

    # -- own ----------------------------------------------------------------

    def _add(self, server: Any) -> Any:
        self.server_by_address[server.address] = server
        return server

    def _address(self) -> tuple[str, int]:
        return ("127.0.0.1", next(self._ports))

    @staticmethod
    def _place(program: str) -> tuple[str, int]:
        _, rest = program.split("-", 1)
        data_center, slot, _ = rest.rsplit("-", 2)
        return data_center, int(slot)

    def _all_owned(self) -> bool:
        places = {vm.data_center for vm in self.vm_by_name.values()}
        return all(
            slot.owner is not None
            for place in places
            for slot in self.refold(place).slot_by_number.values()
        ) and all(
            vm.core.configuration.state.version and vm.core.slots.log_up
            for vm in self.vm_by_name.values()
        )
