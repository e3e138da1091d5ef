"""A workspace as operators configure it."""

import dataclasses
from typing import NewType

__all__ = ["RateLimit", "Workspace", "WorkspaceName"]

WorkspaceName = NewType("WorkspaceName", str)


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimit:
    """How many requests may run, over all VMs together.

    In any span of some seconds at most ``rate`` times the span, and
    ``burst`` more.

    Parameters
    ==========

    rate : float
        Requests a second.
    burst : float
        Requests on top.
    """

    rate: float
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace; its API keys are known to the directory only.

    Parameters
    ==========

    priority : int or None
        Rank of its calls, 0 first; None: that of the call's route.
    limit : RateLimit or None
        None: it has no limit.
    """

    name: WorkspaceName
    priority: int | None = None
    limit: RateLimit | None = None
