"""Many VMs before one log in memory, in virtual time.

Each has the product's failover and its follower of the configuration; what
stands between VMs is a hop of a few ms.
"""

from collections.abc import Callable
import dataclasses
import random

from postspring import keyedlog
from postspring import peering
from postspring.testing.fleet import memory_log
from postspring.testing.virtual import clock as clock_module

__all__ = ["CONFIGURATION", "MemoryFleet", "MemoryVm"]

CONFIGURATION = keyedlog.LogPlace(keyedlog.Subject.CONFIGURATION, 0)
HOP_SECONDS = 0.002
# As the store's client: a call is given up after this long, and the wait.
TIMEOUT_SECONDS = 1.2
# Of a bound of 2 s, as a VM waits (front/node.py).
WAIT_SECONDS = 1.4
PROGRAM_PARTITIONS = 1920


class MemoryVm:
    """One VM: its way to the log, and what it knows.

    Parameters
    ==========

    members : callable
        Returns the other VMs.
    """

    def __init__(
        self,
        name: str,
        fleet: "MemoryFleet",
        timers: clock_module.VirtualTimers,
    ):
        self.name = name
        self.known_at_by_value: dict[bytes, float] = {}
        self.direct = memory_log.MemoryLog(fleet.data, timers)
        self.direct.faults.gives_up_after = TIMEOUT_SECONDS
        self.log = peering.FailoverLog(
            self.direct,
            lambda member: fleet.through(member, timers),
            lambda: fleet.others(name),
            timers,
            self._way_changed,
        )
        self.follower = keyedlog.Follower(
            self.log,
            timers,
            CONFIGURATION,
            self._take,
            self._take,
            wait=lambda: WAIT_SECONDS,
        )
        self._timers = timers

    def _take(self, entries: list[keyedlog.LogEntry]) -> None:
        for entry in entries:
            now = self._timers.now()
            self.known_at_by_value.setdefault(entry.value, now)

    def _way_changed(self) -> None:
        self.follower.read_now()


@dataclasses.dataclass
class PassedLog(keyedlog.KeyedLog):
    """The log as reached through another VM."""

    vm: MemoryVm
    timers: clock_module.VirtualTimers

    def append(self, place, entries, on_done, on_error) -> None:
        """Pass an append on."""
        self._pass("append", on_done, on_error, place, entries)

    def read(self, place, start, on_page, on_error, wait=0.0) -> None:
        """Pass a read on."""
        self._pass("read", on_page, on_error, place, start, wait=wait)

    def read_newest(self, place, on_page, on_error) -> None:
        """Pass a read of the newest records on."""
        self._pass("read_newest", on_page, on_error, place)

    def _pass(self, name, on_done, on_error, *arguments, **options) -> None:
        def later(function: Callable, result) -> None:
            self.timers.call_later(HOP_SECONDS, function, result)

        def start() -> None:
            if not self.vm.log.has_direct_path:
                later(on_error, keyedlog.LogUnavailable("status_503"))
                return
            getattr(self.vm.direct, name)(
                *arguments,
                lambda result: later(on_done, result),
                lambda error: later(on_error, error),
                **options,
            )

        self.timers.call_later(HOP_SECONDS, start)


class MemoryFleet:
    """VMs that start within a short time.

    Parameters
    ==========

    writes, reads : float
        Calls a second that the log takes.
    """

    def __init__(
        self,
        vms: int,
        writes: float = 1500.0,
        reads: float = 6000.0,
        seed: int = 0,
    ):
        self.random = random.Random(seed)
        self.clock = clock_module.VirtualClock()
        self.data = memory_log.LogData(writes, reads)
        self.vm_by_name: dict[str, MemoryVm] = {}
        self.passed = 0
        for number in range(vms):
            name = f"vm{number}"
            process = clock_module.VirtualProcess(name)
            timers = clock_module.VirtualTimers(self.clock, process)
            self.vm_by_name[name] = MemoryVm(name, self, timers)

    @property
    def vms(self) -> list[MemoryVm]:
        """All VMs."""
        return list(self.vm_by_name.values())

    def start(self, within: float = 0.3) -> None:
        """Start all VMs within some seconds."""
        for vm in self.vms:
            seconds = self.random.uniform(0.0, within)
            self.clock.call_later(seconds, vm.follower.start)

    def others(self, name: str) -> list[peering.Member]:
        """Return the other VMs, in random order."""
        found = [
            peering.Member(other, other, "z", ("", 1), ("", 2))
            for other in self.vm_by_name
            if other != name
        ]
        self.random.shuffle(found)
        return found

    def through(self, member: peering.Member, timers) -> PassedLog:
        """Return the log as reached through a VM; count the message."""
        self.passed += 1
        return PassedLog(self.vm_by_name[member.name], timers)

    def configure(self, value: bytes) -> float:
        """Write a configuration; return when."""
        entry = keyedlog.LogEntry("c", value)
        self.data.append(CONFIGURATION, [entry])
        return self.clock.now

    def work(self, vm: MemoryVm, calls_a_second: float) -> None:
        """Let a VM append to partitions of programs, evenly and for good."""
        number = self.random.randrange(PROGRAM_PARTITIONS)
        place = keyedlog.LogPlace(keyedlog.Subject.PROGRAMS, number)
        entry = keyedlog.LogEntry("k", b"v")
        vm.log.append(place, [entry], lambda first: None, lambda error: None)
        seconds = self.random.expovariate(calls_a_second)
        self.clock.call_later(seconds, self.work, vm, calls_a_second)

    def look_up(self, vm: MemoryVm, calls_a_second: float) -> None:
        """Let a VM read partitions of programs, evenly and for good."""
        number = self.random.randrange(PROGRAM_PARTITIONS)
        place = keyedlog.LogPlace(keyedlog.Subject.PROGRAMS, number)
        vm.log.read(place, 0, lambda page: None, lambda error: None)
        seconds = self.random.expovariate(calls_a_second)
        self.clock.call_later(seconds, self.look_up, vm, calls_a_second)

    def slowest(self, value: bytes, written: float) -> float:
        """Return after how long the last VM knew a configuration."""
        never = float("inf")
        return max(
            vm.known_at_by_value.get(value, never) - written for vm in self.vms
        )
