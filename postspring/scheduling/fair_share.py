"""Shares of workspaces in the turns that this VM has started lately."""

import math

__all__ = ["WorkspaceShares"]

# Time constant of the decay of a turn's weight, in seconds: long enough that a
# VM with one turn a second sees several, shorter than a burst.
DECAY_SECONDS = 4.0
# A workspace whose weight is below this is no longer active.
MIN_WEIGHT = 0.1
# Weight up to which a workspace is never above its share: the turns of one
# program that has just begun.
MIN_SHARE_WEIGHT = 2.0


class WorkspaceShares:
    """Counts turns by workspace, with weights that decay.

    Explanation
    ===========

    The fair share is an equal part of all turns for each workspace that had
    a turn lately.  Other VMs' turns are not known: callers are spread evenly
    over VMs, so this VM's turns are a sample.

    Examples
    ========

    >>> shares = WorkspaceShares()
    >>> for _ in range(12):
    ...     shares.note_turn("hot", now=0.0)
    >>> for name in ("a", "a", "a", "b"):
    ...     shares.note_turn(name, now=0.0)
    >>> shares.is_above("hot", 0.0), shares.is_above("a", 0.0)
    (True, False)
    >>> shares.is_above("hot", 30.0)
    False
    """

    def __init__(self):
        # Weights at ``_updated_at``.
        self._weight_by_workspace: dict[str, float] = {}
        self._updated_at = -math.inf

    def note_turn(self, workspace: str, now: float) -> None:
        """Count one turn of a workspace."""
        self._decay(now)
        weight = self._weight_by_workspace.get(workspace, 0.0)
        self._weight_by_workspace[workspace] = weight + 1.0

    def is_above(self, workspace: str, now: float) -> bool:
        """Return whether a workspace uses more than its fair share."""
        self._decay(now)
        weight = self._weight_by_workspace.get(workspace, 0.0)
        if weight <= MIN_SHARE_WEIGHT or len(self._weight_by_workspace) < 2:
            return False
        return weight > self._equal_share()

    def _equal_share(self) -> float:
        total = math.fsum(self._weight_by_workspace.values())
        return total / len(self._weight_by_workspace)

    def _decay(self, now: float) -> None:
        factor = math.exp(min(0.0, self._updated_at - now) / DECAY_SECONDS)
        self._updated_at = max(now, self._updated_at)
        if factor == 1.0:
            return
        self._weight_by_workspace = {
            workspace: weight * factor
            for workspace, weight in self._weight_by_workspace.items()
            if weight * factor >= MIN_WEIGHT
        }
