"""Entry: what runs on an entry VM, round the pure core."""

from postspring.entry.node import EntryNode

__all__ = ["EntryNode"]
