"""Entry VMs, a store and engines in one process, on loopback sockets."""

from collections.abc import Callable

from circuits import BaseComponent
from circuits.core import pollers

from postspring.front import node as node_module
from postspring.front import settings as settings_module
from postspring.platform import names
from postspring.platform import settings as platform_settings
from postspring.testing.fleet import caller as caller_module
from postspring.testing.fleet import engine_service
from postspring.testing.fleet import store_service
from postspring.testing.fleet import turned_clock
from postspring import transport

__all__ = ["Fleet"]

HOST = "service.example"
TURNS_SERVICE = "models"
PLAIN_SERVICE = "tools"
MAX_TURNS_OF_LOOP = 4000
TICK_SECONDS = 0.003


def _route(name: str, kind: str, service: str, **other) -> dict:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    } | other


def default_configuration(version: int = 1) -> dict:
    """Return a configuration with a route of each kind."""
    return {
        "version": version,
        "routes": [
            _route("safe", "safe", PLAIN_SERVICE),
            _route("once", "unsafe", PLAIN_SERVICE, max_attempts=2),
            _route("plain-stream", "stream", TURNS_SERVICE),
            _route(
                "stream",
                "stream",
                TURNS_SERVICE,
                server_history=True,
                retention_s=60.0,
                sticky=True,
            ),
            # Programs whose callers carry the conversation.
            _route(
                "carried-stream",
                "stream",
                TURNS_SERVICE,
                server_history=False,
                retention_s=60.0,
                sticky=True,
            ),
            _route(
                "resumed-stream",
                "stream",
                TURNS_SERVICE,
                server_history=False,
                retention_s=60.0,
                sticky=True,
                resumable=True,
            ),
        ],
        "services": [
            {
                "name": TURNS_SERVICE,
                "max_connections": 100,
                "engine": {
                    "slots": 8,
                    "kv_capacity_tokens": 100_000,
                    "tokens_per_event": 4,
                },
            },
            {"name": PLAIN_SERVICE, "max_connections": 100},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class Fleet:
    """All parts, each entry VM on a loop of its own.

    Parameters
    ==========

    vms : int
        Entry VMs to start.
    engines, tools : int
        Upstreams of the two services.
    clock : TurnedClock, optional
        What all timers read, if not the machine's time.
    """

    def __init__(
        self,
        vms: int = 1,
        engines: int = 1,
        tools: int = 1,
        clock: turned_clock.TurnedClock | None = None,
    ):
        self._clock = clock
        self._world = BaseComponent()
        pollers.EPoll().register(self._world)
        self.timers = transport.Timers().register(self._world)
        self._world._running = True
        self._turn_root(self._world)
        self.store = store_service.StoreService(self._world, self.timers)
        self.engines = [self._upstream(f"e{i}") for i in range(engines)]
        self.tools = [self._upstream(f"t{i}") for i in range(tools)]
        self.nodes: list[node_module.FrontNode] = []
        self.stopped: list[str] = []
        self._callers: list[caller_module.Caller] = []
        self._turn_root(self._world)
        self.configure(default_configuration())
        self.announce_all()
        for number in range(vms):
            self.start_vm(f"vm{number}")

    # -- building -------------------------------------------------------------

    def _upstream(self, name: str) -> engine_service.EngineService:
        return engine_service.EngineService(self._world, self.timers, name)

    def configure(self, configuration: dict) -> None:
        """Write a configuration as the operator does."""
        self.store.put(
            names.OPERATOR_TOPIC, names.CONFIGURATION_KEY, configuration
        )

    def announce_all(self) -> None:
        """Let all upstreams write their entries."""
        for engine in self.engines:
            self.announce(engine, TURNS_SERVICE)
        for tool in self.tools:
            self.announce(tool, PLAIN_SERVICE)

    def announce(
        self,
        upstream: engine_service.EngineService,
        service: str,
        state: str = "ready",
    ) -> None:
        """Let an upstream write its entry."""
        entry = upstream.entry(service, state)
        self.store.put(names.SERVERS_TOPIC, upstream.id, entry)

    def withdraw(self, upstream: engine_service.EngineService) -> None:
        """Remove an upstream's entry."""
        self.store.put(names.SERVERS_TOPIC, upstream.id, None)

    def start_vm(
        self,
        name: str,
        data_center: str = "z1",
        data_centers: int = 1,
        awaits_ready: bool = True,
        **own,
    ) -> node_module.FrontNode:
        """Start an entry VM and wait until it is ready, unless told not to."""
        vm = platform_settings.VmSettings(
            vm=name,
            data_center=data_center,
            data_centers=data_centers,
            callers=("127.0.0.1", 0),
            readiness=("127.0.0.1", 0),
            store=self.store.address,
            partitions=24,
            record_bytes=262144,
            peers=("127.0.0.1", 0),
            drain=2.0,
            configuration=2.0,
            grace=8.0,
            seeds=tuple(node.peers.address for node in self.nodes[:3]),
            first_start=True,
        )
        node = node_module.FrontNode(
            vm,
            settings_module.FrontSettings(**own),
            lambda: self.stopped.append(name),
        )
        node._running = True
        self.nodes.append(node)
        self._turn_root(node)
        node.start()
        if awaits_ready:
            self.run_loop_until(lambda: node.is_ready)
        return node

    def stop_vm(self, node: node_module.FrontNode) -> None:
        """Kill an entry VM with all that it knows."""
        self.nodes.remove(node)
        for component in (node.callers, node.readiness, node.peers):
            component.stop_accepting()
            for connection in list(component._connections):
                component.hub._close(connection._sock)

    def lose_power(self) -> None:
        """Kill all entry VMs at once, with what is on its way from them."""
        for node in list(self.nodes):
            self.stop_vm(node)
            for component in list(node.components):
                if isinstance(component, transport.SocketHub):
                    _close_hub(component)

    # -- running --------------------------------------------------------------

    @staticmethod
    def _turn_root(root, count: int = 5) -> None:
        for _ in range(count):
            root.tick(timeout=0.0)

    def turn(self) -> None:
        """Turn every loop once."""
        for node in list(self.nodes):
            self._turn_root(node, 2)
        self._turn_surroundings()

    def _turn_surroundings(self) -> None:
        """Turn all loops but those of the VMs."""
        self._world.tick(timeout=TICK_SECONDS)
        self._turn_root(self._world, 1)
        for caller in self._callers:
            caller.poll()
        if self._clock is not None:
            self._clock.advance()

    def pause_vms(self, seconds: float) -> None:
        """Let time pass in which no VM runs, and all else does."""
        end = self.timers.now() + seconds
        while self.timers.now() < end:
            self._turn_surroundings()

    def run_loop_until(self, check: Callable[[], bool]) -> None:
        """Turn the loops until something holds."""
        for _ in range(MAX_TURNS_OF_LOOP):
            if check():
                return
            self.turn()
        raise AssertionError("the loops were turned in vain")

    def turn_for(self, seconds: float) -> None:
        """Turn the loops for a time."""
        end = self.timers.now() + seconds
        while self.timers.now() < end:
            self.turn()

    # -- callers --------------------------------------------------------------

    def caller(self, vm: int = 0) -> caller_module.Caller:
        """Connect a caller to an entry VM."""
        caller = caller_module.Caller(self.nodes[vm].callers.address)
        self._callers.append(caller)
        return caller

    def call(
        self,
        method: str,
        target: str,
        request: str,
        body: bytes = b"",
        vm: int = 0,
        caller: caller_module.Caller | None = None,
        **headers: str,
    ) -> caller_module.CallerAnswer:
        """Send a request and wait for its answer."""
        caller = caller or self.caller(vm)
        caller.send(method, target, self.headers(request, headers), body)
        self.run_loop_until(lambda: caller.answer.settled)
        return caller.answer

    @staticmethod
    def headers(request: str, other: dict | None = None) -> dict[str, str]:
        """Return header fields; ``a_b`` in ``other`` stands for ``A-B``."""
        fields = {
            "Host": HOST,
            names.REQUEST_ID: request,
            names.DEADLINE_MS: "4000",
        }
        for name, value in (other or {}).items():
            wire_name = getattr(names, name.upper(), name)
            fields[wire_name] = str(value)
        return fields

    def take_turn(
        self,
        request: str,
        vm: int = 0,
        body: bytes = b"",
        route: str = "stream",
        **headers,
    ) -> caller_module.CallerAnswer:
        """Send a turn and wait for its answer."""
        fields = {
            "program_id": "p1",
            "token_usage": "100,16",
            "token_budget": "1000",
        } | headers
        body = body or f"<{request}>".encode()
        target = f"/{route}/x"
        return self.call("POST", target, request, body, vm=vm, **fields)

    def close(self) -> None:
        """Close every connection."""
        for caller in self._callers:
            caller.close()
        for root in [*self.nodes, self._world]:
            self._turn_root(root, 3)
            for component in list(root.components):
                if isinstance(component, transport.SocketHub):
                    _close_hub(component)


def _close_hub(hub: transport.SocketHub) -> None:
    for sock in [*hub._clients, *hub._connecting]:
        sock.close()
    if hub._sock is not None:
        hub._sock.close()
