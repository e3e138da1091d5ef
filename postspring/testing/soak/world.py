"""The shape of a run: VMs, addresses, settings files, the configuration."""

import dataclasses
import json
import os
import pathlib
import random
import socket

from postspring.testing.fleet import fleet

__all__ = ["Shape", "Upstream", "Vm", "World", "build_world", "claim_network"]

CALLERS_PORT = 8149
READINESS_PORT = 8141
PEERS_PORT = 8144
STORE_PORT = 8142
CONTROL_PORT = 8143
UPSTREAM_PORT = 8200
# Of 127.N.0.0/16: an own one for each run, so that runs beside each other
# don't meet.
LOWEST_NETWORK = 16
HIGHEST_NETWORK = 250
DATA_CENTERS = ("hall-1", "hall-2", "hall-3")
# On the users' sheet, in ms and s.
BOUNDS = {
    "seed_lag_s": 3,
    "stability_window_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "recover_s": 12,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "quota_window_s": 5,
}
# Workspaces by name, each with its key; no two callers' names mean the same.
KEY_BY_WORKSPACE = {
    "crews": "key-of-crews-4c1f",
    "dispatch": "key-of-dispatch-91ab",
    "desk": "key-of-desk-07de",
}
# What the first of them may have run, in requests a second and on top.
LIMITED_WORKSPACE = "crews"
LIMIT_RATE = 60.0
LIMIT_BURST = 60.0
RETENTION_SECONDS = 60.0
ROUTE_FIELDS = ("timeout_ms", "target_latency_ms", "max_attempts")
HEARTBEAT_SECONDS = 1.2
# Memory of a VM; a process that exceeds it is killed.
MEMORY_MB = 160


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """How much of everything.

    Parameters
    ==========

    vms : int
        Entry VMs, spread over three data centres.
    users : int
        Callers that run programs or plain calls, one after another.
    half_close : float
        Share of the plain calls whose callers end their own sending with
        the request.
    leaves : float
        Mean seconds after which an upstream leaves; 0 for never.
    crashes : float
        Mean seconds from one request that crashes upstreams to the next; 0
        for none.
    breaks : float
        Mean seconds from one burst of requests whose answers are broken off
        to the next; 0 for none.
    endless : float
        Mean seconds from one burst of requests whose answers have no end to
        the next; 0 for none.
    """

    vms: int = 11
    engines: int = 6
    services: int = 13
    users: int = 80
    half_close: float = 0.0
    leaves: float = 0.0
    crashes: float = 0.0
    breaks: float = 0.0
    endless: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """An entry VM's place; each has an IP number of its own."""

    name: str
    data_center: str
    ip: str

    @property
    def callers(self) -> tuple[str, int]:
        """Where it listens for callers."""
        return self.ip, CALLERS_PORT

    @property
    def readiness(self) -> tuple[str, int]:
        """Where the balancer asks."""
        return self.ip, READINESS_PORT

    @property
    def peers(self) -> str:
        """Where it listens for other VMs."""
        return f"{self.ip}:{PEERS_PORT}"


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An engine or a plain service."""

    id: str
    service: str
    data_center: str
    ip: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class World:
    """Everything that the processes of a run have to know.

    Parameters
    ==========

    network : str
        First two numbers of all its addresses.
    folder : str
        Where logs and lines are written.
    """

    seed: int
    network: str
    folder: str
    users: int
    half_close: float
    leaves: float
    crashes: float
    breaks: float
    endless: float
    vms: tuple[Vm, ...]
    upstreams: tuple[Upstream, ...]

    @property
    def store(self) -> tuple[str, int]:
        """Where the store listens."""
        return f"{self.network}.200.1", STORE_PORT

    @property
    def control(self) -> tuple[str, int]:
        """Where the store takes its faults."""
        return f"{self.network}.200.1", CONTROL_PORT

    def save(self) -> str:
        """Write it into the folder; return the file's path."""
        path = pathlib.Path(self.folder, "world.json")
        path.write_text(json.dumps(dataclasses.asdict(self), indent=1))
        return str(path)

    @classmethod
    def load(cls, path: str) -> "World":
        """Read what :meth:`save` wrote."""
        raw = json.loads(pathlib.Path(path).read_text())
        raw["vms"] = tuple(Vm(**item) for item in raw["vms"])
        raw["upstreams"] = tuple(Upstream(**i) for i in raw["upstreams"])
        return cls(**raw)

    def write_settings(self, vm: Vm, bootstrap: bool, **changes) -> str:
        """Write a VM's settings file as the platform does."""
        path = pathlib.Path(self.folder, f"{vm.name}.json")
        fresh = path.with_suffix(".new")
        text = json.dumps(self.settings(vm, bootstrap) | changes)
        fresh.write_text(text)
        os.replace(fresh, path)
        return str(path)

    def settings(self, vm: Vm, bootstrap: bool) -> dict:
        """Return a VM's settings in the platform's fields."""
        return {
            "node_name": vm.name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control"],
            "ip": vm.ip,
            "zone": vm.data_center,
            "region": "region-1",
            "zones": {name: "region-1" for name in DATA_CENTERS},
            "listen": {
                "front": f"{vm.ip}:{CALLERS_PORT}",
                "ready": f"{vm.ip}:{READINESS_PORT}",
                "control": vm.peers,
            },
            "seeds": [self.vms[i].peers for i in self._seed_numbers()],
            "bootstrap": bootstrap,
            "limits": {"memory_mb": MEMORY_MB, "max_fds": 8200},
            "data_dir": None,
            "heartbeat_ms": round(HEARTBEAT_SECONDS * 1000),
            "bounds": BOUNDS,
            "platform": {
                "address": "{}:{}".format(*self.store),
                "form": "log",
                "writes_per_s": 800,
                "reads_per_s": 2000,
                "parts": 24,
                "record_bytes": 262144,
                "call_bytes": 2097152,
                "retention_s": 20,
            },
        }

    def _seed_numbers(self) -> list[int]:
        count = len(self.vms)
        return sorted({0, count // 2, count - 1})


def build_world(shape: Shape, seed: int, folder: str, network: str) -> World:
    """Lay out a run in a network of its own."""
    vms = tuple(
        Vm(
            f"front-{DATA_CENTERS[i % 3]}-{i // 3 + 1}",
            DATA_CENTERS[i % 3],
            f"{network}.{i % 3 + 1}.{i // 3 + 1}",
        )
        for i in range(shape.vms)
    )
    upstreams = []
    for service, prefix, count in (
        (fleet.TURNS_SERVICE, "e", shape.engines),
        (fleet.PLAIN_SERVICE, "t", shape.services),
    ):
        for i in range(count):
            port = UPSTREAM_PORT + len(upstreams)
            place = DATA_CENTERS[i % 3]
            ip = f"{network}.201.{i % 3 + 1}"
            name = f"{prefix}{i}-{seed}"
            upstreams.append(Upstream(name, service, place, ip, port))
    return World(
        seed=seed,
        network=network,
        folder=folder,
        users=shape.users,
        half_close=shape.half_close,
        leaves=shape.leaves,
        crashes=shape.crashes,
        breaks=shape.breaks,
        endless=shape.endless,
        vms=vms,
        upstreams=tuple(upstreams),
    )


def configuration(version: int, timeout_ms: int = 5000) -> dict:
    """Return the configuration in the shape of the users' sheet.

    Parameters
    ==========

    timeout_ms : int
        Longest time that a request is kept, in ms.
    """
    document = fleet.default_configuration(version)
    traits = {
        "safe": (2000, 410, 3),
        "once": (6000, 1240, 2),
        "stream": (timeout_ms, 200, 3),
    }
    document["routes"] = [
        route
        | dict(zip(ROUTE_FIELDS, traits[route["name"]], strict=True))
        | {"gap_aim_ms": 400}
        for route in document["routes"]
        if route["name"] in traits
    ]
    for service in document["services"]:
        service["max_connections"] = 370
        if "engine" in service:
            service["engine"] |= {"slots": 64, "kv_capacity_tokens": 211_374}
    document["limits"]["max_body_bytes"] = 4 * 1024 * 1024
    document["tenants"] = [
        {"name": name, "api_keys": [key], "priority": 1}
        for name, key in KEY_BY_WORKSPACE.items()
    ]
    for tenant in document["tenants"]:
        if tenant["name"] == LIMITED_WORKSPACE:
            tenant |= {"rate_per_s": LIMIT_RATE, "burst": LIMIT_BURST}
    return document


def claim_network() -> tuple[str, socket.socket]:
    """Return a network of one's own, and what keeps others from it.

    The socket is to be closed when the run has ended: runs that begin at the
    same moment would otherwise meet.
    """
    while True:
        number = random.randrange(LOWEST_NETWORK, HIGHEST_NETWORK)
        network = f"127.{number}"
        claim = socket.socket()
        try:
            claim.bind((f"{network}.200.2", CONTROL_PORT))
        except OSError:
            claim.close()
            continue
        return network, claim
