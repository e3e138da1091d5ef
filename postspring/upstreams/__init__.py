"""Upstreams: engines, tools and plain services as the system sees them."""

from postspring.upstreams.state import UpstreamState

__all__ = ["UpstreamState"]
