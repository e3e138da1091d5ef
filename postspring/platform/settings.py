"""Settings of a process, in the file that the platform writes to the VM.

``deploy/settings.json`` is the template: the platform writes its fields as
JSON.  Unknown fields are ignored.
"""

from collections.abc import Mapping
import dataclasses
import json
import math
import pathlib

from postspring import errors
from postspring.platform import names
from postspring.platform import store_limits

__all__ = ["VmSettings", "load_settings", "settings_path"]

Address = tuple[str, int]
# Share of the memory for what the store and other VMs send, while it arrives.
RESPONSE_SHARE = 0.1

MAX_PORT = 65535


@dataclasses.dataclass(frozen=True, slots=True)
class VmSettings:
    """Settings of a VM at its start; times are in seconds.

    Parameters
    ==========

    callers, readiness : tuple of (str, int)
        Addresses to listen on for callers, and for readiness checks of the
        load balancer.
    store : tuple of (str, int)
        Address of the platform's store.
    peers : tuple of (str, int)
        Address to listen on for other VMs.
    partitions : int
        Number of partitions of each topic in the store.
    record_bytes, call_bytes : int
        Maximum size of a record, and of all records of one append.
    store_writes : float
        Appends per second that the store accepts from all VMs together.
    seeds : tuple of (str, int)
        Addresses of some other VMs, which may not exist any more.
    drain : float
        Time within which a leaving upstream must stop receiving calls.
    heartbeat : float
        Interval at which upstreams write their entries.
    configuration : float
        Time within which a new configuration must take effect.
    key_removal : float or None
        Time within which a removed API key must stop admitting requests,
        also while this VM is isolated; None if the removal is treated like
        any other change.
    limit_span : float
        Window in which requests are counted against a rate limit.
    data_centers : int
        Number of data centres with VMs.
    cores : float
        The VM's processor, in cores; 0 if unknown.
    grace : float
        Time from SIGTERM to SIGKILL.
    max_files : int
        Limit of open files, connections included; 0 if unknown.
    """

    vm: str
    data_center: str
    callers: Address
    readiness: Address
    store: Address
    partitions: int
    record_bytes: int
    peers: Address
    drain: float
    configuration: float
    grace: float
    seeds: tuple[Address, ...] = ()
    store_writes: float = 800.0
    memory_mb: int = 0
    max_files: int = 0
    first_start: bool = False
    call_bytes: int = 2 * 1024 * 1024
    key_removal: float | None = None
    limit_span: float = 5.0
    data_centers: int = 1
    heartbeat: float = 1.2
    cores: float = 0.0

    @property
    def response_bytes(self) -> float:
        """Most bytes that responses of the store and of VMs may hold."""
        share = RESPONSE_SHARE * self.memory_mb * 1024 * 1024
        return share or math.inf

    @property
    def store_limits(self) -> store_limits.StoreLimits:
        """Limits of what the store sends."""
        return store_limits.StoreLimits.within(
            self.record_bytes, self.memory_mb
        )


def settings_path(environment: Mapping[str, str]) -> str:
    """Return the path of the settings file.

    Raises
    ------
    SettingsError
        If the environment variable that names it is missing.
    """
    path = environment.get(names.SETTINGS_VARIABLE)
    if not path:
        raise errors.SettingsError(f"{names.SETTINGS_VARIABLE} is not set")
    return path


def load_settings(environment: Mapping[str, str]) -> VmSettings:
    """Read the settings file that an environment variable names.

    Raises
    ------
    SettingsError
        If the variable or the file is missing, or if fields are missing or
        invalid; the text names the file and the field.
    """
    path = settings_path(environment)
    try:
        raw = json.loads(pathlib.Path(path).read_bytes())
    except (OSError, RecursionError, ValueError) as error:
        raise errors.SettingsError(f"{path}: {error}") from error
    try:
        return decode_settings(raw)
    except KeyError as error:
        text = f"{path}: the field {error} is missing"
        raise errors.SettingsError(text) from error
    except (ArithmeticError, AttributeError, TypeError, ValueError) as error:
        raise errors.SettingsError(f"{path}: {error}") from error


def decode_settings(raw: dict) -> VmSettings:
    """Decode the settings from the platform's JSON document."""
    listen = raw["listen"]
    store = raw["platform"]
    bounds = raw["bounds"]
    limits = raw.get("limits") or {}
    return VmSettings(
        vm=str(raw["node_name"]),
        data_center=str(raw["zone"]),
        callers=parse_address(listen["front"]),
        readiness=parse_address(listen["ready"]),
        store=parse_address(store["address"]),
        partitions=int(store["parts"]),
        record_bytes=int(store["record_bytes"]),
        # the seeds name the VMs' control addresses, so VMs listen there
        peers=parse_address(listen["control"]),
        drain=float(bounds["drain_ms"]) / 1000,
        configuration=float(bounds["config_ms"]) / 1000,
        grace=float(bounds["grace_s"]),
        seeds=tuple(parse_address(seed) for seed in raw.get("seeds") or ()),
        store_writes=float(store.get("writes_per_s") or 800.0),
        memory_mb=int(limits.get("memory_mb") or 0),
        max_files=int(limits.get("max_fds") or 0),
        first_start=bool(raw.get("bootstrap")),
        call_bytes=int(store.get("call_bytes") or 2 * 1024 * 1024),
        key_removal=_key_removal(bounds),
        limit_span=float(bounds.get("quota_window_s") or 5.0),
        heartbeat=float(raw.get("heartbeat_ms") or 1200) / 1000,
        data_centers=max(1, len(raw.get("zones") or ())),
        # a share of a core that is so many times as fast
        cores=float(limits.get("cpu_share") or 0)
        * float(limits.get("cores") or 1),
    )


def _key_removal(bounds: dict) -> float | None:
    if not bounds.get("strict_revoke"):
        return None
    return float(bounds["revoke_ms"]) / 1000


def parse_address(text: str) -> Address:
    """Split ``IP:PORT`` into host and port.

    Examples
    --------
    >>> parse_address("10.1.0.38:8149")
    ('10.1.0.38', 8149)
    """
    host, separator, port = text.rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()):
        raise ValueError(f"{text!r} is not IP:PORT")
    if int(port) > MAX_PORT:
        raise ValueError(f"{port} is not a port number")
    return host, int(port)
