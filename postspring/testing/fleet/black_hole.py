"""An address that neither accepts nor refuses connections."""

import socket

__all__ = ["BlackHole"]

# Connections that fill the queue of a listener with a backlog of 0.
QUEUED = 4


class BlackHole:
    """Stands in for a machine behind a network partition.

    The system drops connection requests to a listener whose queue is full, so
    that only the other side's timeouts end them.
    """

    def __init__(self):
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self._queued = []
        for _ in range(QUEUED):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.address)
            self._queued.append(sock)

    @property
    def address(self) -> tuple[str, int]:
        """Its IP address and port."""
        return self._listener.getsockname()

    def close(self) -> None:
        """Close the listener and what fills its queue."""
        for sock in (*self._queued, self._listener):
            sock.close()
