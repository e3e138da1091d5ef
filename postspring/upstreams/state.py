"""State of an upstream that the configuration lists."""

from __future__ import annotations

import dataclasses
import typing

from postspring.upstreams import load as load_module

if typing.TYPE_CHECKING:
    from postspring import configuration

__all__ = ["UpstreamState"]


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamState(load_module.UpstreamLoad):
    """Configured attributes of an upstream and its observed load."""

    id: str
    kind: configuration.UpstreamKind
    data_center: str
    address: str
    serves: frozenset[str]
    checks_fencing: bool = False

    @classmethod
    def of(
        cls, name: str, configured: configuration.Upstream
    ) -> UpstreamState:
        """Return the state of an upstream without any observations yet."""
        return cls(
            id=name,
            kind=configured.kind,
            data_center=configured.data_center,
            address=configured.address,
            serves=frozenset(configured.serves),
            concurrency=configured.concurrency,
            checks_fencing=configured.checks_fencing,
            leaving=configured.draining,
        )

    @property
    def incarnation(self) -> str:
        """Key of placement and load: the id, as no start time is known."""
        return self.id

    def reconfigure(self, other: UpstreamState) -> None:
        """Copy the configured attributes of ``other``; keep the load."""
        self.kind = other.kind
        self.data_center = other.data_center
        self.serves = other.serves
        self.concurrency = other.concurrency
        self.checks_fencing = other.checks_fencing
        self.leaving = other.leaving
