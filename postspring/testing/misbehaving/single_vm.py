"""One entry VM as the deploy file's process, with a store and upstreams."""

from collections.abc import Iterable
import contextlib
import http.client
import os
import pathlib
import tempfile
import uuid

from postspring import keyedlog
from postspring.platform import names
from postspring.platform import store
from postspring.testing.fleet import fleet
from postspring.testing import probes
from postspring.testing import processes
from postspring.testing.soak import stage
from postspring.testing.soak import world as world_module

__all__ = ["SingleVm"]

SOAK = "postspring.testing.soak"
SHAPE = world_module.Shape(vms=1, engines=2, services=2, users=0)
SEED = 1
SPARE_PORT = 8300
DEADLINE_MS = 6000


class SingleVm(processes.ProcessGroup):
    """A VM whose memory and descriptors are limited by its settings.

    Parameters
    ==========

    memory_mb : int
        Memory of its machine, in MiB.
    max_files : int
        Descriptors that it may open.
    body_bytes : int
        Longest body of a request, in bytes.

    Attributes
    ==========

    callers, readiness, peers : tuple of (str, int)
        Where the VM listens.
    spare_address : tuple of (str, int)
        A free address in its network.
    data_center : str
        Where it runs.
    document : dict
        The configuration, which may be changed before it is opened.
    """

    def __init__(self, memory_mb: int, max_files: int, body_bytes: int):
        super().__init__(pathlib.Path(tempfile.mkdtemp(prefix="postspring-")))
        self.document = fleet.default_configuration()
        self.document["limits"]["max_body_bytes"] = body_bytes
        self._limits = {"memory_mb": memory_mb, "max_fds": max_files}
        # Arguments of open().
        self._settings: dict = {}
        network, self._claim = world_module.claim_network()
        self._world = world_module.build_world(
            SHAPE, SEED, str(self.directory), network
        )
        self._vm = self._world.vms[0]
        self.callers = self._vm.callers
        self.readiness = self._vm.readiness
        host, _, port = self._vm.peers.rpartition(":")
        self.peers = (host, int(port))
        self.spare_address = (f"{network}.202.1", SPARE_PORT)
        self.data_center = self._vm.data_center

    @property
    def store(self) -> tuple[str, int]:
        """Address of the store."""
        return self._world.store

    def open(self, **settings) -> None:
        """Start all processes, and wait until the VM is ready.

        Parameters
        ----------
        store, seeds : optional
            Addresses that the VM's settings name in place of its own ones.
        """
        world_path = self._world.save()
        self.start("store", [SOAK, "store", world_path], {})
        processes.wait_until("the store", self._configure)
        for service in (fleet.TURNS_SERVICE, fleet.PLAIN_SERVICE):
            self.start(service, [SOAK, "upstreams", world_path, service], {})
        self._settings = settings
        self._start_vm()

    def restart(self) -> None:
        """Kill the VM's process, start another, and wait until it is ready."""
        self.kill(self._vm.name)
        self._start_vm()

    def append(self, topic: str, records: list[tuple[str, bytes]]) -> None:
        """Append keyed records to the log in one call."""
        entries = [keyedlog.LogEntry(*record) for record in records]
        connection = http.client.HTTPConnection(*self._world.store, timeout=10)
        with contextlib.closing(connection):
            path = f"{names.LOG_APPEND_PATH}?topic={topic}&part=0"
            connection.request("POST", path, store.pack_records(entries))
            status = connection.getresponse().status
        if status != 200:
            raise RuntimeError(f"status {status}")

    def close(self) -> None:
        """End all processes and remove their files."""
        super().close()
        self._claim.close()
        for path in self.directory.iterdir():
            path.unlink()
        self.directory.rmdir()

    @property
    def is_running(self) -> bool:
        """Whether the VM's process has not ended."""
        return self._process.poll() is None

    @property
    def peak_bytes(self) -> int:
        """Most resident memory that the VM's process has had, in bytes."""
        return probes.peak_bytes(self._process)

    @property
    def open_files(self) -> int:
        """Descriptors that the VM's process has open."""
        return len(os.listdir(f"/proc/{self._process.pid}/fd"))

    def answers(self) -> bool:
        """Return whether an ordinary request is answered with success."""
        headers = {
            "Host": fleet.HOST,
            names.REQUEST_ID: uuid.uuid4().hex,
            names.DEADLINE_MS: str(DEADLINE_MS),
        }
        return probes.status_of(self.callers, "/safe/x", headers) == 200

    @property
    def vm_log(self) -> str:
        """What the VM's process has logged."""
        return self.log(self._vm.name)

    @property
    def _process(self):
        return self.process_by_name[self._vm.name]

    def _start_vm(self) -> None:
        path = self._write_settings(**self._settings)
        variables = {names.SETTINGS_VARIABLE: path}
        self.start_python(self._vm.name, stage.daemon_words(), variables)
        processes.wait_until("the VM", self._is_ready)

    def put(self, topic: str, key: str, value: dict) -> None:
        """Write a record into the store."""
        host, port = self._world.control
        record = {"topic": topic, "key": key, "value": value}
        probes.fetch(f"{host}:{port}", "POST", "/put", record)

    def _configure(self) -> bool:
        self.put(names.OPERATOR_TOPIC, names.CONFIGURATION_KEY, self.document)
        return True

    def _write_settings(
        self,
        store: tuple[str, int] | None = None,
        seeds: Iterable[tuple[str, int]] = (),
    ) -> str:
        host, port = store or self.store
        platform = self._world.settings(self._vm, True)["platform"]
        return self._world.write_settings(
            self._vm,
            True,
            limits=self._limits,
            seeds=[f"{host}:{port}" for host, port in seeds],
            platform=platform | {"address": f"{host}:{port}"},
        )

    def _is_ready(self) -> bool:
        path = names.READINESS_PATH
        return probes.status_of(self.readiness, path) == 200
