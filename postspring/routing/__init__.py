"""Routing: selects the service of a call and the rules for its delivery."""

from postspring.routing.routes import CallKind
from postspring.routing.routes import Route
from postspring.routing.routes import RouteTable
from postspring.routing.routes import ServiceShare
from postspring.routing.services import EngineTraits
from postspring.routing.services import RoutedService
from postspring.routing.snapshot import CallerLimits
from postspring.routing.snapshot import Snapshot

__all__ = [
    "CallKind",
    "CallerLimits",
    "EngineTraits",
    "Route",
    "RouteTable",
    "RoutedService",
    "ServiceShare",
    "Snapshot",
]
