"""Services: groups of interchangeable upstreams."""

import dataclasses

__all__ = ["EngineTraits", "RoutedService"]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTraits:
    """Properties that all model engines of a service share.

    Parameters
    ==========

    slots : int
        Calls that run at the same time.
    cache_tokens : int
        Memory for running calls and cached prompts, in tokens.
    tokens_per_event : int
        Tokens that each event of a stream counts for.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedService:
    """A service; ``engine`` is None for plain services and tools.

    Parameters
    ==========

    max_connections : int
        Connections that one upstream accepts from all clients together.
    """

    name: str
    max_connections: int = 0
    engine: EngineTraits | None = None
