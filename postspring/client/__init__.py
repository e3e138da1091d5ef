"""Client: what a caller's program uses, blocking and without a loop."""

from postspring.client.commander import Commander
from postspring.client.connection import Answer
from postspring.client.connection import EntryClient
from postspring.client.connection import RefusedError
from postspring.client.connection import UnreachableError
from postspring.client.program import CallResult
from postspring.client.program import ProgramClient
from postspring.client.publisher import ConfigurationPublisher

__all__ = [
    "Answer",
    "CallResult",
    "Commander",
    "ConfigurationPublisher",
    "EntryClient",
    "ProgramClient",
    "RefusedError",
    "UnreachableError",
]
