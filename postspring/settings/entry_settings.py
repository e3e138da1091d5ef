"""The daemon's settings, from flags and environment variables."""

import ipaddress
from typing import Annotated
from typing import Any

import pydantic
import pydantic_settings

from postspring import errors
from postspring import scheduling

__all__ = ["EntrySettings", "load_settings", "parse_address"]

ENVIRONMENT_PREFIX = "POSTSPRING_"

Identifier = Annotated[
    str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
]
Seconds = Annotated[float, pydantic.Field(gt=0, le=3600)]


def parse_address(value: str) -> tuple[str, int]:
    """Return ``(ip, port)`` from ``ip:port``; port 0 is allowed.

    Raises
    ------
    ValueError
        If the text, the IP number or the port is invalid.
    """
    host, separator, port = value.rpartition(":")
    if not separator:
        raise ValueError("must be ip:port")
    ipaddress.ip_address(host)
    port_number = int(port)
    if not 0 <= port_number < 65536:
        raise ValueError("port is out of range")
    return host, port_number


def _check_address(value: str) -> str:
    parse_address(value)
    return value


def _check_placement(value: str) -> str:
    if value not in scheduling.placement_by_name:
        known = ", ".join(scheduling.placement_by_name)
        raise ValueError(f"unknown policy; known policies: {known}")
    return value


def _check_order(value: str) -> str:
    if value not in scheduling.order_by_name:
        known = ", ".join(scheduling.order_by_name)
        raise ValueError(f"unknown policy; known policies: {known}")
    return value


Address = Annotated[str, pydantic.AfterValidator(_check_address)]


class EntrySettings(pydantic_settings.BaseSettings):
    """Settings of an entry VM's daemon.

    Each setting is a flag (``--peer_listen=...``) or an environment variable
    (``POSTSPRING_PEER_LISTEN=...``); the flag takes precedence.

    Parameters
    ==========

    vm, data_center : str
        The id and data centre of this VM in the platform's list of VMs.
    listen, peer_listen, platform : str
        ``ip:port`` of the listener for callers, of the listener for other
        VMs, and of the platform.
    peer_key : secret str
        The secret that all VMs of the system share.
    operator_key : secret str
        The key that authorizes operators' commands; if it is empty, every
        client of the callers' listener may run commands.
    slots : int
        Number of slots of each data centre; it must be the same on every
        VM and must never change.
    batch_delay, hold_after, peer_interval, peer_silence, drain : float
        In seconds: the delay of group commit, the time after which a turn
        that is not in the log yet is answered as held, the interval of
        heartbeats, the time without a heartbeat after which a peer counts
        as lost, and the limit of a graceful shutdown.
    placement, order : str
        Names of the scheduling policies.
    copies : int
        Number of VMs that hold a copy of each turn that can't be written
        to the log yet.
    carry_every : float
        Interval in seconds at which live state is written to the log again;
        it must be less than half of the log's retention time.
    max_waiting : int
        Limit of the calls that wait for one target.
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
    """Return the validated settings.

    Raises
    ------
    SettingsError
        If a setting is invalid; the message names each invalid setting,
        but contains no secret value.
    """
    try:
        return EntrySettings(**flags)
    except pydantic.ValidationError as error:
        messages = [
            f"{'.'.join(str(part) for part in detail['loc'])}: {detail['msg']}"
            for detail in error.errors(include_input=False)
        ]
        raise errors.SettingsError("\n".join(messages)) from None
