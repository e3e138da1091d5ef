"""One version of the configuration."""

import dataclasses
import functools

from postspring.routing import routes
from postspring.routing import services
from postspring import workspaces as workspaces_module

__all__ = ["CallerLimits", "Snapshot"]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of callers' requests; sizes in bytes, times in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_seconds: float = 5.0
    idle_seconds: float = 60.0


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The operator's configuration at one version.

    Versions increase, not always by one; an older version never replaces a
    newer one.

    Parameters
    ==========

    workspaces : WorkspaceDirectory or None
        The workspaces whose keys callers need; None if they need no key.
    """

    version: int
    routes: tuple[routes.Route, ...]
    service_by_name: dict[str, services.RoutedService]
    limits: CallerLimits = CallerLimits()
    workspaces: workspaces_module.WorkspaceDirectory | None = None

    @functools.cached_property
    def longest_retention(self) -> float:
        """The longest retention of any route, in seconds."""
        return max((route.retention for route in self.routes), default=0.0)

    @functools.cached_property
    def ranks(self) -> tuple[int, ...]:
        """All ranks that calls may have, in order."""
        ranks = {route.priority for route in self.routes}
        if self.workspaces is not None:
            ranks |= {
                workspace.priority
                for workspace in self.workspaces.by_name.values()
                if workspace.priority is not None
            }
        return tuple(sorted(ranks))

    @functools.cached_property
    def table(self) -> routes.RouteTable:
        """The routes, indexed for look-ups."""
        return routes.RouteTable(self.routes)

    def tokens_per_event(self, route: routes.Route) -> int:
        """Return the maximum of tokens that an event of a route counts for."""
        counts = [engine.tokens_per_event for engine in self._engines(route)]
        return max(counts, default=1)

    def has_room(self, route: routes.Route, tokens: int) -> bool:
        """Return whether any engine of a route has enough memory for a call.

        Explanation
        -----------
        An engine refuses a call that exceeds its memory in the same way as
        when it is full, so the call would be retried in vain.
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
