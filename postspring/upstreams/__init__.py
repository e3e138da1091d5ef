"""Upstreams: the engines, tools and plain services that serve calls."""

from postspring.upstreams.directory import Announcement
from postspring.upstreams.directory import Directory
from postspring.upstreams.directory import IncarnationId
from postspring.upstreams.directory import Upstream
from postspring.upstreams.directory import UpstreamId
from postspring.upstreams.failure_detector import FailureDetector
from postspring.upstreams.failure_detector import UpstreamObservation
from postspring.upstreams.load import UpstreamLoad
from postspring.upstreams.state import UpstreamState
from postspring.upstreams.stream_evidence import StreamEvidence
from postspring.upstreams.subsets import Departure
from postspring.upstreams.subsets import Subsets

__all__ = [
    "Announcement",
    "Departure",
    "Directory",
    "FailureDetector",
    "IncarnationId",
    "Subsets",
    "StreamEvidence",
    "Upstream",
    "UpstreamId",
    "UpstreamLoad",
    "UpstreamObservation",
    "UpstreamState",
]
