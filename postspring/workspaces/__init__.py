"""Workspaces, to which calls belong by their API key."""

from postspring.workspaces.directory import KeyDigest
from postspring.workspaces.directory import WorkspaceDirectory
from postspring.workspaces.scope import scoped
from postspring.workspaces.workspace import RateLimit
from postspring.workspaces.workspace import Workspace
from postspring.workspaces.workspace import WorkspaceName

__all__ = [
    "KeyDigest",
    "RateLimit",
    "Workspace",
    "WorkspaceDirectory",
    "WorkspaceName",
    "scoped",
]
