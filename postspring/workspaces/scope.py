"""Prefixes names that callers choose with their workspace."""

import urllib.parse

import xxhash

__all__ = ["scoped"]

# Longer names of workspaces are replaced by a hash, as the prefix and the name
# that the caller chooses have to fit in the key of a record.
MAX_PREFIX_LENGTH = 64


def scoped(workspace: str, name: str) -> str:
    """Return a name that is unique to a workspace.

    Explanation
    -----------
    Records, replicas and messages between VMs contain only scoped names, so
    two workspaces that choose the same name share nothing.

    Parameters
    ----------
    workspace : str
        Name of the workspace; empty for callers without a key.

    Examples
    --------
    >>> scoped("acme", "p1"), scoped("acme/p", "1"), scoped("", "acme/p1")
    ('acme/p1', 'acme%2Fp/1', '/acme/p1')
    """
    prefix = urllib.parse.quote(workspace, safe="")
    if len(prefix) > MAX_PREFIX_LENGTH:
        prefix = f"!{xxhash.xxh3_128_hexdigest(workspace.encode())}"
    return f"{prefix}/{name}"
