"""The schema of the operators' configuration document, version 1."""

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
Money = Annotated[int, pydantic.Field(ge=0, le=10**15)]
Count = Annotated[int, pydantic.Field(ge=1, le=10**9)]
Seconds = Annotated[float, pydantic.Field(gt=0, le=86400)]


class UpstreamKind(enum.StrEnum):
    """What an upstream is."""

    ENGINE = "engine"
    TOOL = "tool"
    SERVICE = "service"


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Model(_Strict):
    """A model that engines serve; prices in micro-units per 1000 tokens."""

    prompt_price: Money = 0
    completion_price: Money = 0
    max_tokens: Count = 512
    context_tokens: Count = 1_000_000


class Tool(_Strict):
    """A tool; ``price`` in micro-units a call.

    ``repeatable`` says that running it twice does no harm.
    """

    price: Money = 0
    repeatable: bool = False
    timeout_seconds: Seconds = 30.0


class Service(_Strict):
    """A service of agent programs, or a plain service.

    ``default_budget`` and ``max_budget`` are micro-units a program.
    ``max_programs`` may live in one data centre. ``max_calls`` ends a program
    that loops, ``idle_seconds`` one whose caller was not heard of for that
    long. ``calls_ahead`` is for how many calls' worst case money is reserved
    ahead: more go on while the log is out, more is charged unused when an
    owner dies, and less is left for sub-agents at the same time.
    """

    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 5
    models: tuple[Name, ...] = ()
    tools: tuple[Name, ...] = ()
    plain: tuple[Name, ...] = ()
    default_budget: Money = 1_000_000
    max_budget: Money = 100_000_000
    max_calls: Count = 1000
    max_programs: Count = 10_000
    call_timeout_seconds: Seconds = 120.0
    calls_ahead: Annotated[int, pydantic.Field(ge=1, le=100)] = 2
    idle_seconds: Annotated[float, pydantic.Field(gt=0, le=604800)] = 14400.0


class Upstream(_Strict):
    """An engine, a tool service or a plain service.

    ``serves`` names the models, tools or plain services it answers for;
    ``checks_fencing`` says whether it refuses an order that carries an old
    fencing number; ``draining`` keeps new work from it.
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
    def _address(cls, value: str) -> str:
        parse_address(value)
        return value


class Vm(_Strict):
    """What operators ask of an entry VM; ``draining`` moves its slots."""

    draining: bool = False


class Configuration(_Strict):
    """The whole document.

    ``lost_data_centers`` are those whose slots the others take over.
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
    def _version(cls, value: int) -> int:
        if value != SCHEMA_VERSION:
            raise ValueError(f"this build reads version {SCHEMA_VERSION}")
        return value

    def reference_faults(self) -> list[str]:
        """Return a line for each name that nothing defines."""
        faults = []
        plain = {
            name
            for upstream in self.upstreams.values()
            if upstream.kind is UpstreamKind.SERVICE
            for name in upstream.serves
        }
        known = {"models": self.models, "tools": self.tools, "plain": plain}
        for name, service in self.services.items():
            for field, defined in known.items():
                for item in getattr(service, field):
                    if item not in defined:
                        faults.append(
                            f"services.{name}.{field}: {item!r} is not defined"
                        )
        for name, upstream in self.upstreams.items():
            faults.extend(self._upstream_faults(name, upstream))
        return faults

    def _upstream_faults(self, name: str, upstream: Upstream) -> list[str]:
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
    """Return ``(ip, port)`` from ``"ip:port"``; raise ValueError if bad.

    Examples
    --------
    >>> parse_address("127.0.0.1:8000")
    ('127.0.0.1', 8000)
    """
    host, _, port = value.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f"port {number} is out of range")
    return host, number


def parse_configuration(document: bytes | str) -> Configuration:
    """Return the checked configuration in a JSON document.

    Raises
    ------
    ConfigurationError
        Naming every fault with its path.
    """
    if len(document) > MAX_DOCUMENT_BYTES:
        raise errors.ConfigurationError(
            f"document is over {MAX_DOCUMENT_BYTES} bytes"
        )
    try:
        raw: Any = json.loads(document)
    except (ValueError, RecursionError) as error:
        raise errors.ConfigurationError(f"not JSON: {error}") from error
    try:
        configuration = Configuration.model_validate(raw)
    except pydantic.ValidationError as error:
        faults = [
            f"{'.'.join(str(part) for part in fault['loc']) or 'document'}: "
            f"{fault['msg']}"
            for fault in error.errors()
        ]
        raise errors.ConfigurationError("\n".join(faults)) from error
    faults = configuration.reference_faults()
    if faults:
        raise errors.ConfigurationError("\n".join(faults))
    return configuration
