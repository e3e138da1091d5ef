"""How the end of a connection ended a response."""

import dataclasses

from postspring.transport import connection_end

__all__ = ["ResponseEnd"]


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseEnd:
    """The end of a response that did not end by its own framing.

    Parameters
    ==========

    end : ConnectionEnd
        How the connection ended.
    is_complete : bool
        Whether the response counts as complete.
    has_length : bool
        Whether the response states where its body ends.
    received : int
        Bytes received, including the head.
    unsent : int
        Bytes of the request that were buffered in this process.
    """

    end: connection_end.ConnectionEnd
    is_complete: bool
    has_length: bool
    received: int
    unsent: int
