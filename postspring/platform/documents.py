"""Decoders of the store's documents: configuration, upstreams' entries."""

import enum
import ipaddress
import json
import math
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

_CALL_KIND_BY_NAME = {
    "safe": routing.CallKind.IDEMPOTENT,
    "unsafe": routing.CallKind.ONCE,
    "keyed": routing.CallKind.ONCE,
    "stream": routing.CallKind.STREAM,
}
_DEFAULT_TIMEOUT_MS = 30_000
# Far above the batch size and start time of any upstream: larger values are
# invalid.
_MAX_SLOTS = 1_000_000
_MAX_WARM_UP_MS = 3_600_000
_MAX_PORT = 65_535
_BROADCAST_ADDRESS = ipaddress.IPv4Address("255.255.255.255")
# Far above any key length, rate and priority that an operator configures.
_MAX_KEY_LENGTH = 4096
_MAX_REQUESTS = 1e9
_MAX_PRIORITY = 1_000_000
_MAX_WEIGHT = 1e9
# In the field's unit, milliseconds or seconds.
_MAX_DURATION = 1e11
# Characters of an error's text that are kept, as it is logged in one line.
_MAX_ERROR_LENGTH = 300


def decode_snapshot(data: bytes) -> routing.Snapshot:
    """Return the configuration in ``op/config``.

    Raises
    ------
    ConfigurationError
        If ``data`` is not a valid configuration.
    """
    try:
        raw = json.loads(data)
        return routing.Snapshot(
            version=int(_bounded(raw["version"], "version")),
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
        raise errors.ConfigurationError(text[:_MAX_ERROR_LENGTH]) from error


def _bounded(
    value: Any, name: str, minimum: float = 0, maximum: float = 2**63 - 1
) -> Any:
    """Return a number; raise ValueError unless it is within bounds.

    No comparison holds for a value that is not a number.
    """
    if not minimum <= float(value) <= maximum:
        raise ValueError(f"{name} is out of bounds")
    return value


def _number(raw: dict, name: str, default: float = 0) -> float:
    """Return a field's number, or ``default`` if it is missing or zero."""
    number = float(raw.get(name) or default)
    return _bounded(number, name, maximum=_MAX_DURATION)


def _text(raw: dict, name: str) -> str:
    """Return a field's text; raise an error if it isn't valid Unicode."""
    text = raw[name]
    if not isinstance(text, str):
        raise TypeError(f"{name} is not text")
    text.encode()
    return text


def _route(raw: dict) -> routing.Route:
    timeout_ms = _number(raw, "timeout_ms", _DEFAULT_TIMEOUT_MS)
    return routing.Route(
        name=_text(raw, "name"),
        host=_text(raw, "host"),
        prefix=_text(raw, "path_prefix"),
        kind=_CALL_KIND_BY_NAME.get(raw["kind"], routing.CallKind.ONCE),
        shares=_shares(raw),
        timeout=timeout_ms / 1000,
        # responses within this time receive full credit
        objective=_number(raw, "target_latency_ms", timeout_ms) / 1000,
        max_attempts=max(1, int(raw.get("max_attempts") or 1)),
        priority=int(raw.get("priority") or 0),
        keeps_history=bool(raw.get("server_history")),
        retention=_number(raw, "retention_s"),
        sticky=bool(raw.get("sticky")),
        pause_objective=_number(raw, "gap_aim_ms") / 1000,
        may_resume=bool(raw.get("resumable")),
        is_public=bool(raw.get("public")),
    )


def _shares(raw: dict) -> tuple[routing.ServiceShare, ...]:
    split = raw.get("traffic_split")
    if split:
        return tuple(
            routing.ServiceShare(
                _text(item, "service"),
                _bounded(float(item["weight"]), "weight", maximum=_MAX_WEIGHT),
            )
            for item in split
        )
    return (routing.ServiceShare(_text(raw, "service")),)


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
        name=_text(raw, "name"),
        max_connections=int(raw.get("max_connections") or 0),
        engine=traits,
    )


def _workspaces(raw: Any) -> workspaces.WorkspaceDirectory | None:
    """Return the workspaces, or None if callers need no API keys."""
    if raw is None:
        return None
    tenants = msgspec.convert(raw, list[_Tenant])
    return workspaces.WorkspaceDirectory(
        (_workspace(tenant), tenant.api_keys) for tenant in tenants
    )


def _workspace(tenant: "_Tenant") -> workspaces.Workspace:
    limit = None
    if not (math.isfinite(tenant.rate_per_s) and math.isfinite(tenant.burst)):
        raise ValueError(
            f"workspace {tenant.name!r}: rate_per_s or burst is not finite"
        )
    if tenant.rate_per_s:
        limit = workspaces.RateLimit(tenant.rate_per_s, tenant.burst)
    return workspaces.Workspace(
        workspaces.WorkspaceName(tenant.name), tenant.priority, limit
    )


def _limits(raw: dict) -> routing.CallerLimits:
    default = routing.CallerLimits()
    header_ms = _number(raw, "header_timeout_ms")
    idle_ms = _number(raw, "idle_timeout_ms")
    header_bytes = raw.get("max_header_bytes") or default.header_bytes
    body_bytes = raw.get("max_body_bytes") or default.body_bytes
    return routing.CallerLimits(
        header_bytes=int(_bounded(header_bytes, "max_header_bytes")),
        body_bytes=int(_bounded(body_bytes, "max_body_bytes")),
        header_seconds=header_ms / 1000 or default.header_seconds,
        idle_seconds=idle_ms / 1000 or default.idle_seconds,
    )


def decode_announcement(upstream: str, data: bytes) -> upstreams.Announcement:
    """Return an upstream's entry under ``servers/ID``.

    Raises
    ------
    UpstreamError
        If the entry is invalid: fields are missing, of the wrong type or
        out of bounds, the bytes can't be decoded, or the id can't be sent in
        a header field.
    """
    try:
        _check_id(upstream)
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
        text = f"entry of {upstream!a}: {type(error).__name__}: {error}"
        raise errors.UpstreamError(text[:_MAX_ERROR_LENGTH]) from error


def _check_id(upstream: str) -> None:
    """Raise ValueError unless an id can be sent in a header field."""
    upstream.encode("latin-1")
    if not upstream or not upstream.isprintable():
        raise ValueError("the id is empty or has control characters")
    if upstream != upstream.strip():
        raise ValueError("the id begins or ends with a space")


def _address(text: str) -> tuple[str, int]:
    """Return the IPv4 address and port that an upstream listens on."""
    host, port = settings.parse_address(text)
    address = ipaddress.IPv4Address(host)
    if (
        address.is_unspecified
        or address.is_multicast
        or address == _BROADCAST_ADDRESS
    ):
        raise ValueError(f"{host} is not the address of a machine")
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f"{port} is not a port number")
    return host, port


class _EntryState(enum.Enum):
    READY = "ready"
    DRAINING = "draining"


_ShortText = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Entry(msgspec.Struct):
    """An upstream's entry in the format of the store.

    Further fields that upstreams write are ignored.  ``born`` is missing
    where an upstream gets a new id at each start.
    """

    service: _ShortText
    address: _ShortText
    zone: _ShortText
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: _EntryState
    warmup_remaining_ms: Annotated[
        float, msgspec.Meta(ge=0, le=_MAX_WARM_UP_MS)
    ]
    sequence: _NonNegativeInt
    born: _NonNegativeInt | None = None


_entry_decoder = msgspec.json.Decoder(_Entry)


_ApiKey = Annotated[
    str, msgspec.Meta(min_length=1, max_length=_MAX_KEY_LENGTH)
]
_RequestCount = Annotated[float, msgspec.Meta(ge=0, le=_MAX_REQUESTS)]


class _Tenant(msgspec.Struct):
    """A workspace in the configuration; a rate of 0 means no limit.

    msgspec's errors name a field and its position, but not its value, so
    that no API key is logged.
    """

    name: _ShortText
    api_keys: list[_ApiKey] = msgspec.field(default_factory=list)
    priority: Annotated[int, msgspec.Meta(ge=0, le=_MAX_PRIORITY)] | None = (
        None
    )
    rate_per_s: _RequestCount = 0.0
    burst: _RequestCount = 0.0
