"""Upstreams: the engines, tools and plain services that serve calls."""

from postspring.upstreams.directory import Announcement
from postspring.upstreams.directory import Directory
from postspring.upstreams.directory import IncarnationId
from postspring.upstreams.directory import Upstream
from postspring.upstreams.directory import UpstreamId
from postspring.upstreams.load import UpstreamLoad
from postspring.upstreams.state import UpstreamState
from postspring.upstreams.suspicion import Sighting
from postspring.upstreams.suspicion import SuspicionBoard

__all__ = [
    "Announcement",
    "Directory",
    "IncarnationId",
    "Sighting",
    "SuspicionBoard",
    "Upstream",
    "UpstreamId",
    "UpstreamLoad",
    "UpstreamState",
]
