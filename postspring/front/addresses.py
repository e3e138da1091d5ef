"""The addresses that a front VM listens on."""

from postspring.front import settings as settings_module
from postspring import platform

__all__ = ["listen_addresses"]


def listen_addresses(
    vm: platform.VmSettings, settings: settings_module.FrontSettings
) -> dict[str, tuple[str, int]]:
    """Return the addresses that a VM listens on, callers' last."""
    address_by_name = {"peers": vm.peers, "readiness": vm.readiness}
    if settings.metrics_port:
        address_by_name["metrics"] = (vm.callers[0], settings.metrics_port)
    address_by_name["callers"] = vm.callers
    return address_by_name
