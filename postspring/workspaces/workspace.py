"""A workspace as operators configure it."""

import dataclasses
from typing import NewType

__all__ = ["RateLimit", "Workspace", "WorkspaceName"]

WorkspaceName = NewType("WorkspaceName", str)


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit of a workspace, for all VMs together.

    In any span of time, at most ``rate`` times the span plus ``burst``
    requests may run.

    Parameters
    ==========

    rate : float
        Requests per second.
    burst : float
        Requests above the rate.
    """

    rate: float
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace; only the directory holds its API keys.

    Parameters
    ==========

    priority : int or None
        Rank of its calls, 0 comes first; None: the rank of the route.
    limit : RateLimit or None
        None if the workspace has no limit.
    """

    name: WorkspaceName
    priority: int | None = None
    limit: RateLimit | None = None
