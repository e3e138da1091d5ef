"""Names that callers choose, made a workspace's own."""

import urllib.parse

import xxhash

__all__ = ["scoped"]

# Longer names of workspaces are told apart by their hash: what callers name
# has to fit in a record's key, too.
LONGEST_PREFIX = 64


def scoped(workspace: str, name: str) -> str:
    """Return a name that no other workspace can mean.

    Explanation
    -----------
    Records, copies and messages among VMs carry such names, so two
    workspaces that choose the same one share nothing, whatever way it goes.

    Parameters
    ----------
    workspace : str
        Its name, or empty for callers that need no key.

    Examples
    --------
    >>> scoped("acme", "p1"), scoped("acme/p", "1"), scoped("", "acme/p1")
    ('acme/p1', 'acme%2Fp/1', '/acme/p1')
    """
    prefix = urllib.parse.quote(workspace, safe="")
    if len(prefix) > LONGEST_PREFIX:
        prefix = f"!{xxhash.xxh3_128_hexdigest(workspace.encode())}"
    return f"{prefix}/{name}"
