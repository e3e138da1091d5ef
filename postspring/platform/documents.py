"""Documents in the store: the configuration, and upstreams' entries."""

import enum
import json
import math
import socket
from typing import Annotated
from typing import Any

import msgspec

from postspring import errors
from postspring.platform import names
from postspring.platform import settings
from postspring import routing
from postspring import upstreams
from postspring import workspaces

__all__ = ["CONFIGURATION_KEY", "decode_announcement", "decode_snapshot"]

CONFIGURATION_KEY = names.CONFIGURATION_KEY

_KIND_BY_WORD = {
    "safe": routing.CallKind.IDEMPOTENT,
    "unsafe": routing.CallKind.ONCE,
    "keyed": routing.CallKind.ONCE,
    "stream": routing.CallKind.STREAM,
}
_DEFAULT_TIMEOUT_MS = 30_000
# Far above any batch or start: more than these are no figures of an upstream.
_MOST_SLOTS = 1_000_000
_LONGEST_WARM_UP_MS = 3_600_000
_HIGHEST_PORT = 65_535
# Far above any key, rate or rank that an operator writes.
_LONGEST_KEY = 4096
_MOST_REQUESTS = 1e9
_LAST_RANK = 1_000_000
# Characters of an error's text that go into a log line.
_LONGEST_ERROR = 300


def decode_snapshot(data: bytes) -> routing.Snapshot:
    """Return the configuration in ``op/config``.

    Raises
    ------
    ConfigurationError
        If it is not one.
    """
    try:
        raw = json.loads(data)
        return routing.Snapshot(
            version=int(raw["version"]),
            routes=tuple(_route(item) for item in raw["routes"]),
            service_by_name={
                item["name"]: _service(item) for item in raw["services"]
            },
            limits=_limits(raw.get("limits") or {}),
            workspaces=_workspaces(raw.get("tenants")),
        )
    except (
        AttributeError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        text = f"configuration: {type(error).__name__}: {error}"
        raise errors.ConfigurationError(text[:_LONGEST_ERROR]) from error


def _route(raw: dict) -> routing.Route:
    timeout_ms = float(raw.get("timeout_ms") or _DEFAULT_TIMEOUT_MS)
    return routing.Route(
        name=str(raw["name"]),
        host=str(raw["host"]),
        prefix=str(raw["path_prefix"]),
        kind=_KIND_BY_WORD.get(raw["kind"], routing.CallKind.ONCE),
        shares=_shares(raw),
        timeout=timeout_ms / 1000,
        # the time within which an answer has its full credit
        objective=float(raw.get("target_latency_ms") or timeout_ms) / 1000,
        max_attempts=max(1, int(raw.get("max_attempts") or 1)),
        priority=int(raw.get("priority") or 0),
        keeps_history=bool(raw.get("server_history")),
        retention=float(raw.get("retention_s") or 0),
        sticky=bool(raw.get("sticky")),
        pause_objective=float(raw.get("gap_aim_ms") or 0) / 1000,
        may_resume=bool(raw.get("resumable")),
        is_public=bool(raw.get("public")),
    )


def _shares(raw: dict) -> tuple[routing.ServiceShare, ...]:
    split = raw.get("traffic_split")
    if split:
        return tuple(
            routing.ServiceShare(item["service"], float(item["weight"]))
            for item in split
        )
    return (routing.ServiceShare(raw["service"]),)


def _service(raw: dict) -> routing.RoutedService:
    engine: Any = raw.get("engine")
    traits = None
    if engine:
        traits = routing.EngineTraits(
            slots=int(engine["slots"]),
            cache_tokens=int(engine["kv_capacity_tokens"]),
            tokens_per_event=max(1, int(engine.get("tokens_per_event") or 1)),
        )
    return routing.RoutedService(
        name=str(raw["name"]),
        max_connections=int(raw.get("max_connections") or 0),
        engine=traits,
    )


def _workspaces(raw: Any) -> workspaces.WorkspaceDirectory | None:
    """Return the workspaces, or None if callers need no keys."""
    if raw is None:
        return None
    tenants = msgspec.convert(raw, list[_Tenant])
    return workspaces.WorkspaceDirectory(
        (_workspace(tenant), tenant.api_keys) for tenant in tenants
    )


def _workspace(tenant: "_Tenant") -> workspaces.Workspace:
    limit = None
    if not (math.isfinite(tenant.rate_per_s) and math.isfinite(tenant.burst)):
        raise ValueError(f"workspace {tenant.name!r}: a limit is no number")
    if tenant.rate_per_s:
        limit = workspaces.RateLimit(tenant.rate_per_s, tenant.burst)
    return workspaces.Workspace(
        workspaces.WorkspaceName(tenant.name), tenant.priority, limit
    )


def _limits(raw: dict) -> routing.CallerLimits:
    default = routing.CallerLimits()
    header_ms = raw.get("header_timeout_ms")
    idle_ms = raw.get("idle_timeout_ms")
    return routing.CallerLimits(
        header_bytes=int(raw.get("max_header_bytes") or default.header_bytes),
        body_bytes=int(raw.get("max_body_bytes") or default.body_bytes),
        header_seconds=(
            float(header_ms) / 1000 if header_ms else default.header_seconds
        ),
        idle_seconds=(
            float(idle_ms) / 1000 if idle_ms else default.idle_seconds
        ),
    )


def decode_announcement(upstream: str, data: bytes) -> upstreams.Announcement:
    """Return an upstream's entry under ``servers/ID``.

    Raises
    ------
    UpstreamError
        If it is none that an upstream writes: fields that are missing, of
        another type or out of bounds, or bytes that can't be read.
    """
    try:
        entry = _entry_decoder.decode(data)
        return upstreams.Announcement(
            id=upstreams.UpstreamId(upstream),
            service=entry.service,
            address=_address(entry.address),
            data_center=entry.zone,
            slots=entry.slots,
            leaving=entry.state is _EntryState.DRAINING,
            warm_up=entry.warmup_remaining_ms / 1000,
            born=entry.born,
        )
    except (RecursionError, ValueError) as error:
        text = f"entry of {upstream}: {type(error).__name__}: {error}"
        raise errors.UpstreamError(text[:_LONGEST_ERROR]) from error


def _address(text: str) -> tuple[str, int]:
    """Return where an upstream listens; it has an IP number and a port."""
    host, port = settings.split_address(text)
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError as error:
        raise ValueError(f"{host!r} is no IP number") from error
    if not 0 < port <= _HIGHEST_PORT:
        raise ValueError(f"{port} is no port")
    return host, port


class _EntryState(enum.Enum):
    READY = "ready"
    DRAINING = "draining"


_Text = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Entry(msgspec.Struct):
    """An upstream's entry as it stands in the store.

    Upstreams write more fields, which have no use here.  ``born`` is left
    out where each start has a new id.
    """

    service: _Text
    address: _Text
    zone: _Text
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MOST_SLOTS)]
    state: _EntryState
    warmup_remaining_ms: Annotated[
        float, msgspec.Meta(ge=0, le=_LONGEST_WARM_UP_MS)
    ]
    sequence: _Count
    born: _Count | None = None


_entry_decoder = msgspec.json.Decoder(_Entry)


_Key = Annotated[str, msgspec.Meta(min_length=1, max_length=_LONGEST_KEY)]
_Number = Annotated[float, msgspec.Meta(ge=0, le=_MOST_REQUESTS)]


class _Tenant(msgspec.Struct):
    """A workspace as it stands in the configuration; a rate of 0: no limit.

    The library's errors name fields and places, never what stands there.
    """

    name: _Text
    api_keys: list[_Key] = msgspec.field(default_factory=list)
    priority: Annotated[int, msgspec.Meta(ge=0, le=_LAST_RANK)] | None = None
    rate_per_s: _Number = 0.0
    burst: _Number = 0.0
