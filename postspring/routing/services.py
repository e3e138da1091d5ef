"""Services: groups of interchangeable upstreams."""

import dataclasses

__all__ = ["EngineTraits", "RoutedService"]


@dataclasses.dataclass(frozen=True, slots=True)
class EngineTraits:
    """What all model engines of a service have in common.

    Parameters
    ==========

    slots : int
        Calls that run at once.
    cache_tokens : int
        Memory for running calls and cached prompts, in tokens.
    tokens_per_event : int
        Tokens that one event of a stream counts as.
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
        Connections that one upstream accepts from all callers together.
    """

    name: str
    max_connections: int = 0
    engine: EngineTraits | None = None
