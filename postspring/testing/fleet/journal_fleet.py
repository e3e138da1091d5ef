"""Entry VMs with a journal each, before one log in memory, in virtual time.

What the VMs say to each other is the product's own, as its client and its
service write and read it; a message takes a few ms.
"""

from collections.abc import Callable
import functools
import random
from typing import Any
from unittest import mock

from postspring import errors
from postspring import histories
from postspring import keyedlog
from postspring import peering
from postspring.testing.fleet import memory_fleet
from postspring.testing.fleet import memory_log
from postspring.testing.virtual import clock as clock_module
from postspring import transport

__all__ = ["JournalFleet", "JournalVm"]

HOP_SECONDS = 0.002
# As the store's client: a call is given up after this long.
TIMEOUT_SECONDS = 2.5
FIRST_PORT = 1000


class _Call:
    """A request to a VM of the fleet; the answer takes its time."""

    def __init__(
        self, request: transport.HttpRequest, respond: Callable[..., None]
    ):
        self.method = request.method
        self.target = request.path
        self.body = request.body
        self._respond: Callable[..., None] | None = respond

    def respond(self, status: int, fields: list, body: bytes = b"") -> None:
        """Give the answer, once."""
        respond, self._respond = self._respond, None
        if respond is not None:
            respond(status, body)


class _CutLog(keyedlog.KeyedLog):
    """The log as reached through a VM behind a cut: calls fail."""

    def __init__(self, timers: Any, seconds: float):
        self._timers = timers
        self._seconds = seconds

    def append(self, place, entries, on_done, on_error) -> None:
        """Never append."""
        self._fail(on_error)

    def read(self, place, start, on_page, on_error, wait=0.0) -> None:
        """Never read."""
        self._fail(on_error)

    def read_newest(self, place, on_page, on_error) -> None:
        """Never read."""
        self._fail(on_error)

    def _fail(self, on_error: Callable) -> None:
        error = keyedlog.LogUnavailable("no_answer")
        self._timers.call_later(self._seconds, on_error, error)


class _PeerHttp:
    """Carries requests to other VMs' services, in place of HttpClient."""

    def __init__(self, fleet: "JournalFleet", data_center: str, timers: Any):
        self._fleet = fleet
        self._data_center = data_center
        self._timers = timers

    def send(self, request: transport.HttpRequest, listener: Any) -> None:
        """Have a VM answer a request; one that is gone never does."""
        ended: list[bool] = []

        def answer(status: int, body: bytes) -> None:
            if not ended:
                ended.append(True)
                listener.head(status, {})
                listener.data(body)
                listener.end()

        def time_out() -> None:
            if not ended:
                ended.append(True)
                listener.failed(errors.TransportError("timeout", True))

        vm = self._fleet.vm_by_port[request.address[1]]
        is_cut = self._fleet.is_cut(self._data_center, vm.member.data_center)
        if is_cut and self._fleet.does_cut_reset:
            error = errors.TransportError("reset", False)
            self._timers.call_later(HOP_SECONDS, listener.failed, error)
            return
        self._timers.call_later(request.timeout, time_out)
        if is_cut:
            return
        respond = functools.partial(
            self._timers.call_later, HOP_SECONDS, answer
        )
        call = _Call(request, respond)
        vm.timers.call_later(HOP_SECONDS, vm.service.handle, call)


class _Members:
    """All VMs of the fleet, known to each of them from the start."""

    is_announced = True
    own_entry = b""
    absent: tuple = ()

    def __init__(self, own: peering.Member, fleet: "JournalFleet"):
        self.own = own
        self._fleet = fleet

    @property
    def listed(self) -> list[peering.Member]:
        """All other VMs."""
        return [
            vm.member
            for vm in self._fleet.vms
            if vm.member.name != self.own.name
        ]

    @property
    def others(self) -> list[peering.Member]:
        """All other VMs, in random order."""
        found = self.listed
        self._fleet.random.shuffle(found)
        return found


class JournalVm:
    """One VM: its way to the log, its journal, and what it says to others."""

    def __init__(self, fleet: "JournalFleet", name: str, data_center: str):
        self.name = name
        port = FIRST_PORT + len(fleet.vms)
        self.member = peering.Member(
            name, f"{name}/1", data_center, ("", port), ("", port)
        )
        self.process = clock_module.VirtualProcess(name)
        timers = clock_module.VirtualTimers(fleet.clock, self.process)
        self.timers = timers
        seed = fleet.random.randrange(1 << 30)
        self.direct = memory_log.MemoryLog(fleet.data, timers, seed)
        self.direct.faults.gives_up_after = TIMEOUT_SECONDS
        members = _Members(self.member, fleet)
        self._fleet = fleet
        self.log = peering.FailoverLog(
            self.direct,
            self._through,
            lambda: members.others,
            timers,
            self._way_changed,
        )
        self.journal = histories.Journal(self.log, timers, f"{name}/1")
        leases = peering.ProgramLeases(name, timers.now)
        self.peer_client = peering.PeerClient(
            _PeerHttp(fleet, data_center, timers),
            members,
            leases,
            lambda: True,
            mock.Mock(callers_should_retry=False),
            timers,
        )
        self.journal.replica_holders = self.peer_client.holders
        self.journal.may_have_uncharged_turns = (
            self.peer_client.may_have_uncharged_turns
        )
        self.service = self._service(leases)

    def _service(self, leases: peering.ProgramLeases) -> peering.PeerService:
        return peering.PeerService(
            self.journal,
            mock.Mock(),
            leases,
            lambda: True,
            lambda subject: None,
            lambda name, entry: None,
            has_direct_path=lambda: self.log.has_direct_path,
            reaches_log=lambda: self.log.reaches_log,
        )

    def _through(self, member: peering.Member) -> keyedlog.KeyedLog:
        if self._fleet.is_cut(self.member.data_center, member.data_center):
            resets = self._fleet.does_cut_reset
            seconds = HOP_SECONDS if resets else TIMEOUT_SECONDS
            return _CutLog(self.timers, seconds)
        vm = self._fleet.vm_by_port[member.peers[1]]
        return memory_fleet.PassedLog(vm, self.timers)

    def _way_changed(self) -> None:
        if not self.log.is_down:
            self.journal.on_log_recovered()

    def kill(self) -> None:
        """End it with all that it knows."""
        self.process.kill()


class JournalFleet:
    """Some VMs in two data centres or more, which know each other.

    Parameters
    ==========

    vms : int
        How many, spread evenly.
    """

    def __init__(self, vms: int, data_centers: int = 3, seed: int = 0):
        self.random = random.Random(seed)
        self.clock = clock_module.VirtualClock()
        self.data = memory_log.LogData()
        self._cut_off: str | None = None
        self.does_cut_reset = False
        self.vms: list[JournalVm] = []
        self.vm_by_port: dict[int, JournalVm] = {}
        for number in range(vms):
            data_center = f"z{number % data_centers}"
            vm = JournalVm(self, f"vm{number}", data_center)
            self.vms.append(vm)
            self.vm_by_port[vm.member.peers[1]] = vm

    def cut_off(self, data_center: str, resets: bool = False) -> None:
        """Separate a data centre from the log and from the others.

        Calls get no answer, or fail at once if the cut resets them.
        """
        self._cut_off = data_center
        self.does_cut_reset = resets
        for vm in self._vms_of(data_center):
            vm.direct.faults.silent = not resets
            vm.direct.faults.down = resets

    def heal(self) -> None:
        """End the cut."""
        data_center, self._cut_off = self._cut_off, None
        for vm in self._vms_of(data_center):
            vm.direct.faults.silent = vm.direct.faults.down = False

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether two data centres don't reach each other."""
        return one != other and self._cut_off in (one, other)

    def _vms_of(self, data_center: str | None) -> list[JournalVm]:
        return [vm for vm in self.vms if vm.member.data_center == data_center]

    def recorded(self) -> set[histories.TurnRef]:
        """Return the whole turns whose records stand in the log now."""
        found = set()
        for entries in self.data.records_by_place.values():
            for entry in entries:
                record = histories.decode_record(entry.value)
                if isinstance(record, histories.CompletedTurn):
                    ref = histories.TurnRef(record.program, record.turn)
                    found.add(ref)
        return found
