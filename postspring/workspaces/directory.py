"""Look-up of workspaces by name and by API key."""

from collections.abc import Iterable
import hashlib
import os
from typing import NewType

from postspring import errors
from postspring.workspaces import workspace as workspace_module

__all__ = ["KeyDigest", "WorkspaceDirectory"]

KeyDigest = NewType("KeyDigest", bytes)

# Random for each process, so digests can't be used elsewhere.
_SECRET = os.urandom(32)
_DIGEST_BYTES = 16


class WorkspaceDirectory:
    """All workspaces of a configuration.

    Explanation
    ===========

    API keys are stored as keyed digests.  The time of a look-up reveals
    nothing about a key, and neither does a memory dump or a log line.

    Parameters
    ==========

    workspaces_with_keys : iterable of (Workspace, list of str)
        Workspaces, each with its API keys.

    Examples
    ========

    >>> acme = workspace_module.Workspace("acme")
    >>> directory = WorkspaceDirectory([(acme, ["k-1", "k-2"])])
    >>> directory.find_by_key("k-2").name, directory.find_by_key("k-3")
    ('acme', None)
    """

    def __init__(
        self,
        workspaces_with_keys: Iterable[
            tuple[workspace_module.Workspace, list[str]]
        ] = (),
    ):
        self.by_name: dict[
            workspace_module.WorkspaceName, workspace_module.Workspace
        ] = {}
        self._by_digest: dict[KeyDigest, workspace_module.Workspace] = {}
        for workspace, keys in workspaces_with_keys:
            self._add(workspace, keys)

    def find_by_key(self, key: str) -> workspace_module.Workspace | None:
        """Return the workspace with a key, or None."""
        return self._by_digest.get(_digest(key)) if key else None

    # -- own ------------------------------------------------------------------

    def _add(self, workspace, keys: list[str]) -> None:
        if workspace.name in self.by_name:
            text = f"two workspaces are named {workspace.name!r}"
            raise errors.ConfigurationError(text)
        self.by_name[workspace.name] = workspace
        for key in keys:
            digest = _digest(key)
            holder = self._by_digest.get(digest, workspace)
            if holder is not workspace:
                text = f"{holder.name!r} and {workspace.name!r} share a key"
                raise errors.ConfigurationError(text)
            self._by_digest[digest] = workspace


def _digest(key: str) -> KeyDigest:
    data = key.encode("utf-8", "surrogatepass")
    digest = hashlib.blake2b(data, key=_SECRET, digest_size=_DIGEST_BYTES)
    return KeyDigest(digest.digest())
