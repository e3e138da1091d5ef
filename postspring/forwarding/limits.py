"""The interface by which forwarding checks the limits of workspaces."""

import abc
from collections.abc import Callable
import dataclasses

from postspring import quotas
from postspring import workspaces

__all__ = ["Limiter", "NoLimiter", "Verdict"]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Decision whether a workspace's limit allows a call.

    Parameters
    ==========

    is_known : bool
        A quota allocator of the workspace has answered.
    retry_after : float or None
        Seconds after which a retry may be allowed.
    allocators : int
        Number of quota allocators that were asked.
    release_permit : callable
        Returns the permit; called if the call did not run and never will.
    """

    is_granted: bool
    is_known: bool = True
    retry_after: float | None = None
    allocators: int = 0
    release_permit: Callable[[], None] = lambda: None

    @property
    def facts(self) -> dict:
        """The basis of the decision, for the log line."""
        return {"limit_known": self.is_known, "dealers": self.allocators}


class Limiter(abc.ABC):
    """Checks calls against the limits of their workspaces."""

    @abc.abstractmethod
    def request_permit(
        self,
        workspace: workspaces.Workspace,
        use: quotas.PermitUse,
        on_done: Callable[[Verdict], None],
    ) -> None:
        """Request a permit; call ``on_done`` now or later with the verdict."""


class NoLimiter(Limiter):
    """Allows all calls."""

    def request_permit(self, workspace, use, on_done) -> None:
        """Allow the call."""
        on_done(Verdict(True))
