"""The platform's balancer: who gets a caller's new connection."""

import asyncio
import zlib

from postspring.platform import names
from postspring.testing.soak import world as world_module

__all__ = ["Balancer"]

ASK_SECONDS = 1.0
# Answers in a row other than 200 that take a VM out.
MISSES = 2


class Balancer:
    """Asks every VM once a second whether it takes new connections."""

    def __init__(self, vms: tuple[world_module.Vm, ...]):
        self._vms = vms
        self._missed_by_vm = {vm.name: MISSES for vm in vms}

    def is_in(self, vm: world_module.Vm) -> bool:
        """Return whether a VM is in rotation."""
        return self._missed_by_vm[vm.name] < MISSES

    def choose(
        self, data_center: str, caller: str, other_than: str = ""
    ) -> world_module.Vm:
        """Return the VM of a new connection, by a hash of the caller."""
        vms = self._candidates(data_center)
        others = [vm for vm in vms if vm.name != other_than] or vms
        return others[zlib.crc32(caller.encode()) % len(others)]

    def _candidates(self, data_center: str) -> list[world_module.Vm]:
        all_here = [vm for vm in self._vms if vm.data_center == data_center]
        here = [vm for vm in all_here if self.is_in(vm)]
        if not here:
            others = [vm for vm in self._vms if self.is_in(vm)]
            return others or all_here or list(self._vms)
        return all_here if 2 * len(here) < len(all_here) else here

    def start(self) -> None:
        """Begin to ask."""
        self._tasks = [
            asyncio.create_task(self._watch(vm)) for vm in self._vms
        ]

    def close(self) -> None:
        """Ask no more."""
        for task in self._tasks:
            task.cancel()

    async def _watch(self, vm: world_module.Vm) -> None:
        while True:
            began = asyncio.get_running_loop().time()
            try:
                async with asyncio.timeout(ASK_SECONDS):
                    status = await self._ask(vm)
            except (OSError, TimeoutError):
                status = 0
            missed = self._missed_by_vm[vm.name] + 1
            self._missed_by_vm[vm.name] = 0 if status == 200 else missed
            spent = asyncio.get_running_loop().time() - began
            await asyncio.sleep(max(0.0, ASK_SECONDS - spent))

    @staticmethod
    async def _ask(vm: world_module.Vm) -> int:
        reader, writer = await asyncio.open_connection(*vm.readiness)
        try:
            text = f"GET {names.READINESS_PATH} HTTP/1.1\r\nHost: a\r\n\r\n"
            writer.write(text.encode())
            line = await reader.readline()
            return int(line.split()[1]) if line else 0
        finally:
            writer.close()
