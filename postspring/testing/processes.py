"""Plain processes for tests, measurements and the examples.

The system's own processes start none; here a test does.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any

from postspring import client
from postspring import errors
from postspring.testing import documents
from postspring.testing import probes

__all__ = ["Deployment", "ProcessGroup", "free_port", "wait_until"]

START_SECONDS = 30.0
POLL_SECONDS = 0.02
PORT_RANGE = (20000, 30000)
_RETURNED_PORTS: set[int] = set()


def free_port() -> int:
    """Return a loopback port that nobody listens on now.

    No port is returned twice, and none follows from the seed of a test.
    """
    while True:
        port = random.SystemRandom().randrange(*PORT_RANGE)
        if port in _RETURNED_PORTS:
            continue
        with contextlib.closing(socket.socket()) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            _RETURNED_PORTS.add(port)
            return port


def wait_until(
    what: str, check: Callable[[], Any], seconds: float = START_SECONDS
) -> Any:
    """Call ``check`` until it returns a true value, and return that.

    Errors that only say "not yet" count as a false value.
    """
    deadline = time.monotonic() + seconds
    last: Any = None
    while time.monotonic() < deadline:
        try:
            last = check()
        except (
            OSError,
            errors.PostspringError,
            http.client.HTTPException,
            ValueError,
        ) as error:
            last = error
        else:
            if last:
                return last
        time.sleep(POLL_SECONDS)
    raise TimeoutError(f"gave up waiting for {what}: {last!r}")


class ProcessGroup:
    """Processes that end together, by their ids.

    Parameters
    ==========

    directory : pathlib.Path, optional
        Where logs stay; without it they are removed with the processes.
    """

    def __init__(self, directory: pathlib.Path | None = None):
        self._keeps_logs = directory is not None
        self.directory = directory or pathlib.Path(
            tempfile.mkdtemp(prefix="postspring-")
        )
        self.process_by_name: dict[str, subprocess.Popen] = {}

    def start(
        self, name: str, arguments: list[str], variables: dict[str, str]
    ) -> None:
        """Start ``python -m <arguments>`` under a name."""
        self.start_python(name, ["-m", *arguments], variables)

    def start_python(
        self, name: str, arguments: list[str], variables: dict[str, str]
    ) -> None:
        """Start ``python <arguments>`` under a name."""
        with open(self.directory / f"{name}.log", "ab") as log:
            self.process_by_name[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                env=os.environ | variables,
            )

    def log(self, name: str) -> str:
        """Return what a process has printed."""
        return (self.directory / f"{name}.log").read_text()

    def kill(self, name: str) -> None:
        """End a process with SIGKILL."""
        process = self.process_by_name.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str, seconds: float = START_SECONDS) -> int:
        """End a process with SIGTERM and return its exit status."""
        process = self.process_by_name.pop(name)
        process.terminate()
        return process.wait(seconds)

    def freeze(self, name: str) -> None:
        """Stop a process with SIGSTOP."""
        self.process_by_name[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a frozen process go on."""
        self.process_by_name[name].send_signal(signal.SIGCONT)

    def close(self) -> None:
        """End all processes and remove their logs, unless they stay."""
        for name in list(self.process_by_name):
            self.kill(name)
        if self._keeps_logs:
            return
        for log in self.directory.iterdir():
            log.unlink()
        self.directory.rmdir()


@dataclasses.dataclass(slots=True)
class _Vm:
    """An entry VM's place and addresses."""

    data_center: str
    listen: str
    peer_listen: str


class Deployment(ProcessGroup):
    """A platform, upstreams and entry VMs on loopback.

    Parameters
    ==========

    data_centers : dict of str to int
        How many entry VMs each data centre has.
    engines, tools, plain : int
        How many upstreams of each kind, spread over the data centres.
    slots : int
        Slots a data centre.
    entry_flags : dict of str to object
        Further settings of the entry VMs.
    retain : int
        Records that the platform keeps of each stream.
    links : bool
        Whether each VM reaches the platform, and is reached by the other
        VMs, through links that can be cut.
    """

    def __init__(
        self,
        data_centers: dict[str, int],
        engines: int = 1,
        tools: int = 1,
        plain: int = 1,
        slots: int = 4,
        entry_flags: dict[str, Any] | None = None,
        engine_flags: dict[str, Any] | None = None,
        retain: int = 1_000_000,
        links: bool = False,
    ):
        super().__init__()
        self.slots = slots
        self.entry_flags = entry_flags or {}
        self.engine_flags = engine_flags or {}
        self.platform = _address()
        self.vm_by_name: dict[str, _Vm] = {}
        self._with_links = links
        self._faults_by_link: dict[str, str] = {}
        self._forward_by_link: dict[str, str] = {}
        self.address_by_upstream: dict[str, str] = {}
        self.document = self._build(data_centers, engines, tools, plain)
        self._start_stand_in("platform", self.platform, retain=retain)
        self._start_upstreams()
        if links:
            self._start_links()

    def begin(self) -> None:
        """Publish the configuration, start the VMs and wait for them."""
        wait_until("the platform", lambda: self.list_vms() is None)
        self.publish(self.document)
        for vm in self.vm_by_name:
            self.start_vm(vm)
        for vm in self.vm_by_name:
            wait_until(vm, lambda vm=vm: self.ready(vm))

    def list_vms(self) -> None:
        """Put all VMs on the platform's list."""
        for name in self.vm_by_name:
            self.list_vm(name)

    def list_vm(self, name: str, state: str = "live") -> None:
        """Put a VM on the platform's list."""
        vm = self.vm_by_name[name]
        entry = {
            "data_center": vm.data_center,
            "address": self._forward_by_link.get(
                f"peers-{name}", vm.peer_listen
            ),
            "state": state,
        }
        probes.fetch(self.platform, "PUT", f"/vms/{name}", entry)

    def unlist_vm(self, name: str) -> None:
        """Take a VM off the platform's list."""
        probes.fetch(self.platform, "DELETE", f"/vms/{name}")

    def publish(self, document: dict, **options: Any) -> int:
        """Publish a configuration document."""
        return self.publisher.publish(json.dumps(document).encode(), **options)

    @property
    def publisher(self) -> client.ConfigurationPublisher:
        """A publisher on this platform."""
        host, _, port = self.platform.rpartition(":")
        return client.ConfigurationPublisher((host, int(port)))

    def start_vm(self, name: str) -> None:
        """Start an entry VM's daemon."""
        vm = self.vm_by_name[name]
        flags = {
            "vm": name,
            "data_center": vm.data_center,
            "listen": vm.listen,
            "peer_listen": vm.peer_listen,
            "platform": self._forward_by_link.get(
                f"platform-{name}", self.platform
            ),
            "slots": self.slots,
        } | self.entry_flags
        arguments = ["postspring.daemon.main", "entry"]
        arguments += [f"--{key}={value}" for key, value in flags.items()]
        self.start(name, arguments, {"POSTSPRING_PEER_KEY": "test-key"})

    def status(self, name: str) -> dict[str, Any]:
        """Return an entry VM's own state."""
        return probes.fetch(self.vm_by_name[name].listen, "GET", "/v1/status")

    def ready(self, name: str) -> bool:
        """Return whether a VM has a configuration and its slots owners."""
        status = self.status(name)
        owners = status["slot_owners"].values()
        live = set(self.vm_by_name)
        return bool(
            status["configuration_version"]
            and status["log_up"]
            and all(owner in live for owner in owners)
        )

    def client(self, *names: str, timeout: float = 60.0) -> client.EntryClient:
        """Return a caller's client of these VMs, or of all."""
        names = names or tuple(self.vm_by_name)
        return client.EntryClient(
            [self.vm_by_name[name].listen for name in names], timeout
        )

    def faults(self, name: str, **faults: Any) -> None:
        """Set the faults of the platform or an upstream; none heals it."""
        address = (
            self.platform
            if name == "platform"
            else self.address_by_upstream[name]
        )
        probes.fetch(address, "POST", "/faults", faults)

    def cut(self, link: str, cut: bool = True) -> None:
        """Cut or mend a link: ``platform-VM`` or ``peers-VM``."""
        address = self._faults_by_link[link]
        probes.fetch(address, "POST", "/faults", {"cut": cut})

    def mend_links(self) -> None:
        """Mend all links."""
        for link in self._faults_by_link:
            self.cut(link, False)

    def executions(self) -> dict[str, int]:
        """Return how often each tool call ran, over all tool services."""
        counts: dict[str, int] = {}
        for name, address in self.address_by_upstream.items():
            if name.startswith("tool"):
                counts |= probes.fetch(address, "GET", "/executions")
        return counts

    def metric(self, vm: str, name: str) -> dict[str, float]:
        """Return the samples of a metric, by their labels' text."""
        address = self.vm_by_name[vm].listen
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        connection.close()
        samples = {}
        for line in text.splitlines():
            if line.startswith(name):
                labels, _, value = line[len(name) :].rpartition(" ")
                samples[labels] = float(value)
        return samples

    # -- building -------------------------------------------------------------

    def _build(self, data_centers, engines, tools, plain) -> dict[str, Any]:
        for data_center, count in data_centers.items():
            for number in range(1, count + 1):
                self.vm_by_name[f"{data_center}-{number}"] = _Vm(
                    data_center, _address(), _address()
                )
        places = list(data_centers)
        upstreams = {}
        for kind, target, count in (
            ("engine", "advisor", engines),
            ("tool", "parts", tools),
            ("service", "catalogue", plain),
        ):
            for number in range(1, count + 1):
                name = f"{kind}-{number}"
                self.address_by_upstream[name] = _address()
                upstreams[name] = {
                    "kind": kind,
                    "data_center": places[number % len(places)],
                    "address": self.address_by_upstream[name],
                    "serves": [target],
                }
        return documents.deployment_document(upstreams)

    def _start_upstreams(self) -> None:
        stand_in_by_kind = {"tool": "tool", "service": "plain"}
        for name, address in self.address_by_upstream.items():
            kind = name.rpartition("-")[0]
            if kind == "engine":
                self._start_stand_in(
                    "engine",
                    address,
                    name,
                    models="advisor",
                    **self.engine_flags,
                )
            else:
                self._start_stand_in(stand_in_by_kind[kind], address, name)

    def _start_links(self) -> None:
        for name, vm in self.vm_by_name.items():
            for link, target in (
                (f"platform-{name}", self.platform),
                (f"peers-{name}", vm.peer_listen),
            ):
                self._faults_by_link[link] = _address()
                self._forward_by_link[link] = _address()
                self._start_stand_in(
                    "link",
                    self._faults_by_link[link],
                    f"link-{link}",
                    forward=self._forward_by_link[link],
                    to=target,
                )

    def _start_stand_in(
        self, kind: str, address: str, name: str = "", **flags: Any
    ) -> None:
        arguments = ["postspring.testing", kind, f"--listen={address}"]
        arguments += [f"--{key}={value}" for key, value in flags.items()]
        self.start(name or kind, arguments, {})


def _address() -> str:
    return f"127.0.0.1:{free_port()}"
