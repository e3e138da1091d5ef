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
    dealers : int
        Number of quota allocators that were asked.
    give_back : callable
        Returns the permit; called if the call did not run and never will.
    """

    is_granted: bool
    is_known: bool = True
    retry_after: float | None = None
    dealers: int = 0
    give_back: Callable[[], None] = lambda: None

    @property
    def facts(self) -> dict:
        """The basis of the decision, for the log line."""
        return {"limit_known": self.is_known, "dealers": self.dealers}


class Limiter(abc.ABC):
    """Checks calls against the limits of their workspaces."""

    @abc.abstractmethod
    def ask(
        self,
        workspace: workspaces.Workspace,
        use: quotas.Use,
        on_done: Callable[[Verdict], None],
    ) -> None:
        """Request a permit; call ``on_done`` now or later with the verdict."""


class NoLimiter(Limiter):
    """Allows all calls."""

    def ask(self, workspace, use, on_done) -> None:
        """Allow the call."""
        on_done(Verdict(True))
