"""Applies changed settings and configurations while a VM runs."""

import dataclasses
import logging

from postspring import platform
from postspring import routing
from postspring import transport

__all__ = ["apply_caller_limits", "apply_settings"]

LOG = logging.getLogger(__name__)

RESTART_ONLY = ("vm", "data_center", "callers", "readiness", "peers")


def apply_settings(
    current: platform.VmSettings, loaded: platform.VmSettings
) -> platform.VmSettings:
    """Return changed settings, except those that need a restart."""
    changed = [
        field.name
        for field in dataclasses.fields(loaded)
        if getattr(loaded, field.name) != getattr(current, field.name)
    ]
    restart = [name for name in changed if name in RESTART_ONLY]
    LOG.info(
        "settings read again",
        extra={"changed": changed, "need_restart": restart},
    )
    kept = {name: getattr(current, name) for name in restart}
    return dataclasses.replace(loaded, **kept)


def apply_caller_limits(
    limits: transport.ServerLimits, configured: routing.CallerLimits
) -> None:
    """Have a server enforce the limits of a configuration."""
    limits.header_bytes = configured.header_bytes
    limits.body_bytes = configured.body_bytes
    limits.header_seconds = configured.header_seconds
    limits.idle_seconds = configured.idle_seconds
