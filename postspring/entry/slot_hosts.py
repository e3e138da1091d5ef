"""The slot streams that a VM follows: its own, and those of lost ones."""

from collections.abc import Callable
from collections.abc import Iterable
import logging
from typing import Any

from postspring import configuration
from postspring.entry import slots
from postspring import peers
from postspring import sharedlog

__all__ = ["SlotHosts"]

LOG = logging.getLogger(__name__)


class SlotHosts:
    """The home data centre's slots, and those declared lost by operators.

    Explanation
    ===========

    Silence alone never moves a slot to another data centre: a data centre
    that is cut off goes on serving.  Once an operator declares it lost, the
    VMs of the others follow its stream and claim its slots; its own VMs,
    when they hear of it, claim nothing until it is declared back.

    Parameters
    ==========

    vm, data_center : str
        This VM.
    build : callable
        Returns a :class:`~postspring.entry.slots.SlotHost` for a data
        centre and a function that returns who may own its slots.
    vm_list : VmList
        The platform's list.
    """

    def __init__(
        self,
        vm: str,
        data_center: str,
        build: Callable[[str, Callable], slots.SlotHost],
        vm_list: sharedlog.VmList,
    ):
        self._vm = vm
        self._data_center = data_center
        self._build = build
        self._vm_list = vm_list
        self._hub: peers.PeerHub | None = None
        self._in_force = configuration.Configuration()
        self.leaving = False
        self.home = build(data_center, lambda: self.alive(data_center))
        self.by_data_center: dict[str, slots.SlotHost] = {
            data_center: self.home
        }

    def start(self, hub: peers.PeerHub) -> None:
        """Begin to follow the home stream; ``hub`` tells who responds."""
        self._hub = hub
        self.home.start()

    def close(self) -> None:
        """Stop following all streams."""
        for host in self.all:
            host.close()

    @property
    def all(self) -> list[slots.SlotHost]:
        """The hosts of all streams that are followed."""
        return list(self.by_data_center.values())

    def reconfigure(self, in_force: configuration.Configuration) -> None:
        """Go by another configuration from now on."""
        self._in_force = in_force
        for data_center in in_force.lost_data_centers:
            if data_center not in self.by_data_center:
                self._adopt(data_center)
        for data_center in list(self.by_data_center):
            given_back = data_center not in in_force.lost_data_centers
            if given_back and data_center != self._data_center:
                self._give_back(data_center)
        for host in self.all:
            host.owner.reconfigure(in_force)

    def alive(self, data_center: str) -> list[str]:
        """Return the VMs that may own slots of a data centre now."""
        lost = self._in_force.lost_data_centers
        vms = [self._vm] if not self.leaving else []
        vms += [
            entry.vm
            for entry in self._vm_list.entry_by_vm.values()
            if entry.vm != self._vm and self._responds(entry)
        ]
        draining = self._in_force.vms
        return sorted(
            vm
            for vm in vms
            if self._may_own(self._place_of(vm), data_center, lost)
            and not (vm in draining and draining[vm].draining)
        )

    def peer_lost(self, vm: str) -> None:
        """Tell all owners that a VM is gone."""
        for host in self.all:
            host.peer_lost(vm)

    def hand_over_all(self) -> bool:
        """Release every idle slot; return whether none is owned any more."""
        return all([host.hand_over_all() for host in self.all])

    def ask(
        self, message: Any, data_center: str, vm: str, reply: Callable
    ) -> None:
        """Put a request to the owner part of a data centre's slots."""
        host = self.by_data_center.get(data_center, self.home)
        host.ask(message, vm, reply)

    def _may_own(
        self, place: str | None, data_center: str, lost: Iterable[str]
    ) -> bool:
        """Return whether VMs in ``place`` may own slots of a data centre."""
        if place in lost:
            return False
        return place == data_center or data_center in lost

    def _place_of(self, vm: str) -> str | None:
        if vm == self._vm:
            return self._data_center
        entry = self._vm_list.entry_by_vm.get(vm)
        return None if entry is None else entry.data_center

    def _responds(self, entry: sharedlog.VmEntry) -> bool:
        return (
            entry.state is sharedlog.VmState.LIVE
            and self._hub is not None
            and self._hub.responsive(entry.vm)
            and not self._hub.leaving(entry.vm)
        )

    def _adopt(self, data_center: str) -> None:
        LOG.warning(
            "following the slots of a lost data centre",
            extra={"lost": data_center},
        )
        host = self._build(data_center, lambda: self.alive(data_center))
        self.by_data_center[data_center] = host
        host.start()

    def _give_back(self, data_center: str) -> None:
        """Release what is idle; keep following until nothing is owned."""
        host = self.by_data_center[data_center]
        if host.hand_over_all():
            del self.by_data_center[data_center]
            host.close()
            LOG.warning(
                "gave the slots of a data centre back",
                extra={"back": data_center},
            )

    def give_back_leftovers(self) -> None:
        """Try again to give back what was busy; call it now and then."""
        lost = self._in_force.lost_data_centers
        for data_center in list(self.by_data_center):
            if data_center != self._data_center and data_center not in lost:
                self._give_back(data_center)
