"""What a VM knows of one configured upstream."""

from __future__ import annotations

import dataclasses
import typing

from postspring.upstreams import load as load_module

if typing.TYPE_CHECKING:
    from postspring import configuration

__all__ = ["UpstreamState"]


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamState(load_module.UpstreamLoad):
    """One upstream: what is configured, and what was observed of it."""

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
        """Return the state of an upstream that nothing is known of yet."""
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
        """What places are known by; here starts can't be told apart."""
        return self.id

    def reconfigure(self, other: UpstreamState) -> None:
        """Take over what is configured; keep what was observed."""
        self.kind = other.kind
        self.data_center = other.data_center
        self.serves = other.serves
        self.concurrency = other.concurrency
        self.checks_fencing = other.checks_fencing
        self.leaving = other.leaving
