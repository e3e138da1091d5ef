"""Settings of a daemon, from flags and environment variables."""

import ipaddress
from typing import Annotated
from typing import Any

import pydantic
import pydantic_settings

from postspring import errors
from postspring import scheduling

__all__ = ["EntrySettings", "load_settings", "split_address"]

ENVIRONMENT_PREFIX = "POSTSPRING_"

Identifier = Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
]
Seconds = Annotated[float, pydantic.Field(gt=0, le=3600)]


def split_address(value: str) -> tuple[str, int]:
    """Return ``(ip, port)`` from ``ip:port``; raise ValueError if bad."""
    host, separator, port = value.rpartition(":")
    if not separator:
        raise ValueError("must be ip:port")
    ipaddress.ip_address(host)
    number = int(port)
    if not 0 <= number < 65536:
        raise ValueError("port is out of range")
    return host, number


def _check_address(value: str) -> str:
    split_address(value)
    return value


def _check_placement(value: str) -> str:
    if value not in scheduling.placement_by_name:
        known = ", ".join(scheduling.placement_by_name)
        raise ValueError(f"no such policy; there are: {known}")
    return value


def _check_order(value: str) -> str:
    if value not in scheduling.order_by_name:
        known = ", ".join(scheduling.order_by_name)
        raise ValueError(f"no such policy; there are: {known}")
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class EntrySettings(pydantic_settings.BaseSettings):
    """Settings of an entry VM's daemon.

    Each can be given as a flag (``--peer_listen=...``) or as a variable
    (``POSTSPRING_PEER_LISTEN=...``); a flag goes first.

    Parameters
    ==========

    vm, data_center : str
        This VM's id and data centre, as the platform lists them.
    listen, peer_listen, platform : str
        ``ip:port`` for callers, for other VMs, and of the platform.
    peer_key : secret str
        The key that all VMs of the system share.
    operator_key : secret str
        The key that operators' commands carry; without one, commands are
        taken from anybody who reaches the callers' listener.
    slots : int
        Slots of each data centre; the same on every VM, for ever.
    batch_delay, hold_after, peer_interval, peer_silence, drain : float
        Seconds: group commit's delay, until a turn is answered as held,
        between heartbeats, without one until a peer is lost, and the
        longest graceful shutdown.
    placement, order : str
        Names of scheduling policies.
    copies : int
        VMs that get a copy of each turn that the log can't take yet.
    carry_every : float
        Seconds after which live state is written to the log again; less
        than half of the time for which the log keeps records.
    max_waiting : int
        Calls that may wait for one target.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=ENVIRONMENT_PREFIX, extra="forbid", frozen=True
    )

    vm: Identifier
    data_center: Identifier
    listen: Address
    peer_listen: Address
    platform: Address
    peer_key: pydantic.SecretStr = pydantic.SecretStr("")
    operator_key: pydantic.SecretStr = pydantic.SecretStr("")
    slots: Annotated[int, pydantic.Field(ge=1, le=65536)] = 16
    batch_delay: Annotated[float, pydantic.Field(ge=0, le=1)] = 0.0
    hold_after: Seconds = 1.0
    peer_interval: Seconds = 0.5
    peer_silence: Seconds = 1.5
    drain: Seconds = 600.0
    copies: Annotated[int, pydantic.Field(ge=0, le=8)] = 2
    carry_every: Annotated[float, pydantic.Field(gt=0, le=864000)] = 3600.0
    placement: Annotated[str, pydantic.AfterValidator(_check_placement)] = (
        "prefix_affinity"
    )
    order: Annotated[str, pydantic.AfterValidator(_check_order)] = "priority"
    max_waiting: Annotated[int, pydantic.Field(ge=1)] = 1000
    max_body: Annotated[int, pydantic.Field(ge=1024)] = 4 * 1024 * 1024
    max_connections: Annotated[int, pydantic.Field(ge=1)] = 2000
    log_level: str = "INFO"


def load_settings(flags: dict[str, Any]) -> EntrySettings:
    """Return the checked settings.

    Raises
    ------
    SettingsError
        Naming every fault, never the value of a secret.
    """
    try:
        return EntrySettings(**flags)
    except pydantic.ValidationError as error:
        faults = [
            f"{'.'.join(str(part) for part in fault['loc'])}: {fault['msg']}"
            for fault in error.errors(include_input=False)
        ]
        raise errors.SettingsError("\n".join(faults)) from None
