"""Schema version 1 of the operators' configuration document."""

import enum
import ipaddress
import json
from typing import Annotated
from typing import Any

import pydantic

from postspring import errors

__all__ = [
    "Configuration",
    "Model",
    "Service",
    "Tool",
    "Upstream",
    "UpstreamKind",
    "parse_address",
    "parse_configuration",
]

SCHEMA_VERSION = 1
MAX_DOCUMENT_BYTES = 256 * 1024

Name = Annotated[str, pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
MicroUnits = Annotated[int, pydantic.Field(ge=0, le=10**15)]
Count = Annotated[int, pydantic.Field(ge=1, le=10**9)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86400)]


class UpstreamKind(enum.StrEnum):
    """The kinds of upstream."""

    ENGINE = "engine"
    TOOL = "tool"
    SERVICE = "service"


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Model(_StrictModel):
    """A model that engines serve; prices are micro-units per 1000 tokens."""

    prompt_price: MicroUnits = 0
    completion_price: MicroUnits = 0
    max_tokens: Count = 512
    context_tokens: Count = 1_000_000


class Tool(_StrictModel):
    """A tool; ``price`` is in micro-units per call.

    ``repeatable`` declares that running the same call twice does no harm.
    """

    price: MicroUnits = 0
    repeatable: bool = False
    timeout_seconds: Seconds = 30.0


class Service(_StrictModel):
    """A service of agent programs, or a plain service.

    ``default_budget`` and ``max_budget`` are in micro-units per program.
    ``max_programs`` limits the live programs in one data centre.
    ``max_calls`` ends a program that loops; ``idle_seconds`` ends one that
    has been inactive for that long.  ``calls_ahead`` is the number of calls
    whose worst-case cost is reserved in advance: with a higher value, more
    calls proceed during an outage of the log, but more unused budget is
    charged when an owner fails, and less is left for sub-agents that run at
    the same time.
    """

    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 5
    models: tuple[Name, ...] = ()
    tools: tuple[Name, ...] = ()
    plain: tuple[Name, ...] = ()
    default_budget: MicroUnits = 1_000_000
    max_budget: MicroUnits = 100_000_000
    max_calls: Count = 1000
    max_programs: Count = 10_000
    call_timeout_seconds: Seconds = 120.0
    calls_ahead: Annotated[int, pydantic.Field(ge=1, le=100)] = 2
    idle_seconds: Annotated[float, pydantic.Field(gt=0, le=604800)] = 14400.0


class Upstream(_StrictModel):
    """An engine, a tool service or a plain service.

    ``serves`` names the models, tools or plain services that it provides;
    ``checks_fencing`` declares that it rejects an order with an outdated
    fencing number; a ``draining`` upstream gets no new work.
    """

    kind: UpstreamKind
    data_center: Name
    address: str
    serves: tuple[Name, ...]
    checks_fencing: bool = False
    concurrency: Count = 8
    draining: bool = False

    @pydantic.field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        parse_address(value)
        return value


class Vm(_StrictModel):
    """Settings of an entry VM; a ``draining`` VM hands its slots over."""

    draining: bool = False


class Configuration(_StrictModel):
    """The configuration document.

    ``lost_data_centers`` names the data centres whose slots the other data
    centres take over.
    """

    schema_version: int = SCHEMA_VERSION
    models: dict[Name, Model] = {}
    tools: dict[Name, Tool] = {}
    services: dict[Name, Service] = {}
    upstreams: dict[Name, Upstream] = {}
    vms: dict[Name, Vm] = {}
    lost_data_centers: tuple[Name, ...] = ()

    @pydantic.field_validator("schema_version")
    @classmethod
    def _check_version(cls, value: int) -> int:
        if value != SCHEMA_VERSION:
            raise ValueError(
                f"only schema version {SCHEMA_VERSION} is supported"
            )
        return value

    def undefined_references(self) -> list[str]:
        """Return a message for each reference to an undefined name."""
        messages = []
        plain_services = {
            name
            for upstream in self.upstreams.values()
            if upstream.kind is UpstreamKind.SERVICE
            for name in upstream.serves
        }
        defined_by_field = {
            "models": self.models,
            "tools": self.tools,
            "plain": plain_services,
        }
        for name, service in self.services.items():
            for field, defined in defined_by_field.items():
                for item in getattr(service, field):
                    if item not in defined:
                        messages.append(
                            f"services.{name}.{field}: {item!r} is not defined"
                        )
        for name, upstream in self.upstreams.items():
            messages.extend(self._undefined_served_names(name, upstream))
        return messages

    def _undefined_served_names(
        self, name: str, upstream: Upstream
    ) -> list[str]:
        defined_by_kind = {
            UpstreamKind.ENGINE: self.models,
            UpstreamKind.TOOL: self.tools,
        }
        defined = defined_by_kind.get(upstream.kind)
        if defined is None:
            return []
        return [
            f"upstreams.{name}.serves: {item!r} is not defined"
            for item in upstream.serves
            if item not in defined
        ]


def parse_address(value: str) -> tuple[str, int]:
    """Return ``(ip, port)`` from ``"ip:port"``.

    Raises
    ------
    ValueError
        If the IP number or the port is invalid.

    Examples
    --------
    >>> parse_address("127.0.0.1:8000")
    ('127.0.0.1', 8000)
    """
    host, _, port = value.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    port_number = int(port)
    if not 0 < port_number < 65536:
        raise ValueError(f"port {port_number} is out of range")
    return host, port_number


def parse_configuration(document: bytes | str) -> Configuration:
    """Return the validated configuration from a JSON document.

    Raises
    ------
    ConfigurationError
        If the document is invalid; the message names each invalid field
        with its path.
    """
    if len(document) > MAX_DOCUMENT_BYTES:
        raise errors.ConfigurationError(
            f"document exceeds {MAX_DOCUMENT_BYTES} bytes"
        )
    try:
        raw: Any = json.loads(document)
    except (ValueError, RecursionError) as error:
        raise errors.ConfigurationError(
            f"document is not valid JSON: {error}"
        ) from error
    try:
        configuration = Configuration.model_validate(raw)
    except pydantic.ValidationError as error:
        messages = [
            f"{'.'.join(str(part) for part in detail['loc']) or 'document'}: "
            f"{detail['msg']}"
            for detail in error.errors()
        ]
        raise errors.ConfigurationError("\n".join(messages)) from error
    messages = configuration.undefined_references()
    if messages:
        raise errors.ConfigurationError("\n".join(messages))
    return configuration
