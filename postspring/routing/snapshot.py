"""One version of the whole configuration."""

import dataclasses
import functools

from postspring.routing import routes
from postspring.routing import services
from postspring import workspaces as workspaces_module

__all__ = ["CallerLimits", "Snapshot"]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send; sizes in bytes, times in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 5.0
    idle_seconds: float = 60.0


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The operator's configuration at one version.

    Versions increase in uneven steps; a lower one never replaces a higher.

    Parameters
    ==========

    workspaces : WorkspaceDirectory or None
        Whose keys callers need; None: they need none.
    """

    version: int
    routes: tuple[routes.Route, ...]
    service_by_name: dict[str, services.RoutedService]
    limits: CallerLimits = CallerLimits()
    workspaces: workspaces_module.WorkspaceDirectory | None = None

    @functools.cached_property
    def longest_retention(self) -> float:
        """How long turns are kept on any route, in seconds."""
        return max((route.retention for route in self.routes), default=0.0)

    @functools.cached_property
    def table(self) -> routes.RouteTable:
        """The routes, ready for look-up."""
        return routes.RouteTable(self.routes)

    def tokens_per_event(self, route: routes.Route) -> int:
        """Return the most tokens that one event of a route may count as."""
        counts = [engine.tokens_per_event for engine in self._engines(route)]
        return max(counts, default=1)

    def has_room(self, route: routes.Route, tokens: int) -> bool:
        """Return whether some engine of a route has memory for a call.

        Explanation
        -----------
        An engine refuses a call that is larger than its memory as if it
        were full, so it would be tried again and again in vain.
        """
        engines = self._engines(route)
        if len(engines) < len(route.shares):
            return True
        return any(engine.cache_tokens >= tokens for engine in engines)

    def _engines(self, route: routes.Route) -> list[services.EngineTraits]:
        found = (
            self.service_by_name.get(item.service) for item in route.shares
        )
        return [item.engine for item in found if item and item.engine]
