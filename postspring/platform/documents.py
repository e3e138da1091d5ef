"""Documents in the store: the configuration, and upstreams' entries."""

import json
from typing import Any

from postspring import errors
from postspring.platform import names
from postspring.platform import settings
from postspring import routing
from postspring import upstreams

__all__ = ["CONFIGURATION_KEY", "decode_announcement", "decode_snapshot"]

CONFIGURATION_KEY = names.CONFIGURATION_KEY

_KIND_BY_WORD = {
    "safe": routing.CallKind.IDEMPOTENT,
    "unsafe": routing.CallKind.ONCE,
    "keyed": routing.CallKind.ONCE,
    "stream": routing.CallKind.STREAM,
}
_DEFAULT_TIMEOUT_MS = 30_000


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
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        text = f"configuration: {type(error).__name__}: {error}"
        raise errors.ConfigurationError(text) from error


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
        If it is not one.
    """
    try:
        raw = json.loads(data)
        return upstreams.Announcement(
            id=upstreams.UpstreamId(upstream),
            service=str(raw["service"]),
            address=settings.split_address(raw["address"]),
            data_center=str(raw.get("zone") or ""),
            slots=max(1, int(raw.get("slots") or 1)),
            leaving=raw.get("state") == "draining",
            warm_up=float(raw.get("warmup_remaining_ms") or 0) / 1000,
        )
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        text = f"entry of {upstream}: {type(error).__name__}: {error}"
        raise errors.UpstreamError(text) from error
