"""Blocking clients for callers and operators; they need no event loop."""

from postspring.client.command_client import CommandClient
from postspring.client.connection import EntryClient
from postspring.client.connection import EntryResponse
from postspring.client.connection import RefusedError
from postspring.client.connection import UnreachableError
from postspring.client.program import CallResult
from postspring.client.program import ProgramClient
from postspring.client.publisher import ConfigurationPublisher

__all__ = [
    "CallResult",
    "CommandClient",
    "ConfigurationPublisher",
    "EntryClient",
    "EntryResponse",
    "ProgramClient",
    "RefusedError",
    "UnreachableError",
]
