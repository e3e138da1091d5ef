"""What forwarding needs to know of workspaces' limits."""

import abc
from collections.abc import Callable
import dataclasses

from postspring import quotas
from postspring import workspaces

__all__ = ["Limiter", "NoLimiter", "Verdict"]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a workspace's limit allows a call.

    Parameters
    ==========

    is_known : bool
        Somebody who deals the limit out has answered.
    retry_after : float or None
        Seconds after which it is worth coming back.
    dealers : int
        VMs that were asked.
    give_back : callable
        To be called if nothing runs by it, and nothing will.
    """

    is_granted: bool
    is_known: bool = True
    retry_after: float | None = None
    dealers: int = 0
    give_back: Callable[[], None] = lambda: None

    @property
    def facts(self) -> dict:
        """What decided, for the log."""
        return {"limit_known": self.is_known, "dealers": self.dealers}


class Limiter(abc.ABC):
    """Counts calls against the limits of their workspaces."""

    @abc.abstractmethod
    def ask(
        self,
        workspace: workspaces.Workspace,
        use: quotas.Use,
        on_done: Callable[[Verdict], None],
    ) -> None:
        """Ask whether a call may run; tell it, at once or soon."""


class NoLimiter(Limiter):
    """Allows everything."""

    def ask(self, workspace, use, on_done) -> None:
        """Allow it."""
        on_done(Verdict(True))
