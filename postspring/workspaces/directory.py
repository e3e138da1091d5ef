"""Workspaces by name, and by the keys that callers show."""

from collections.abc import Iterable
import hashlib
import os
from typing import NewType

from postspring import errors
from postspring.workspaces import workspace as workspace_module

__all__ = ["KeyDigest", "WorkspaceDirectory"]

KeyDigest = NewType("KeyDigest", bytes)

# Of this process alone: a digest is of no use anywhere else.
_SECRET = os.urandom(32)
_DIGEST_BYTES = 16


class WorkspaceDirectory:
    """All workspaces of a configuration.

    Explanation
    ===========

    Keys are kept as keyed digests.  How long a look-up takes tells nothing
    of a key, and a dump or a log line can't show one.

    Parameters
    ==========

    keyed : iterable of (Workspace, list of str)
        The workspaces, each with its API keys.

    Examples
    ========

    >>> acme = workspace_module.Workspace("acme")
    >>> directory = WorkspaceDirectory([(acme, ["k-1", "k-2"])])
    >>> directory.holder_of("k-2").name, directory.holder_of("k-3")
    ('acme', None)
    """

    def __init__(
        self,
        keyed: Iterable[tuple[workspace_module.Workspace, list[str]]] = (),
    ):
        self.by_name: dict[
            workspace_module.WorkspaceName, workspace_module.Workspace
        ] = {}
        self._by_digest: dict[KeyDigest, workspace_module.Workspace] = {}
        for workspace, keys in keyed:
            self._add(workspace, keys)

    def holder_of(self, key: str) -> workspace_module.Workspace | None:
        """Return the workspace that holds a key, or None."""
        return self._by_digest.get(_digest(key)) if key else None

    # -- own ------------------------------------------------------------------

    def _add(self, workspace, keys: list[str]) -> None:
        if workspace.name in self.by_name:
            text = f"two workspaces are named {workspace.name!r}"
            raise errors.ConfigurationError(text)
        self.by_name[workspace.name] = workspace
        for key in keys:
            digest = _digest(key)
            other = self._by_digest.get(digest, workspace)
            if other is not workspace:
                text = f"{other.name!r} and {workspace.name!r} share a key"
                raise errors.ConfigurationError(text)
            self._by_digest[digest] = workspace


def _digest(key: str) -> KeyDigest:
    data = key.encode("utf-8", "surrogatepass")
    digest = hashlib.blake2b(data, key=_SECRET, digest_size=_DIGEST_BYTES)
    return KeyDigest(digest.digest())
