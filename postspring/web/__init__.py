"""An HTTP server on circuits.web, and request routing."""

from postspring.web.routes import Route
from postspring.web.routes import Router
from postspring.web.server import IncomingRequest
from postspring.web.server import WebLimits
from postspring.web.server import WebServer

__all__ = [
    "IncomingRequest",
    "Route",
    "Router",
    "WebLimits",
    "WebServer",
]
