"""Open connections that fall silent for good, while new ones work."""

from postspring import transport

__all__ = ["silence"]


def silence(server: transport.HttpServer) -> int:
    """Let a server's open connections neither read nor answer any more.

    The other side's data is acknowledged all the same, so that only its own
    time-outs show it.  Returns how many there are.
    """
    connections = list(server._connections)
    for connection in connections:
        connection.received = _ignore
        connection.send_response = _ignore
        connection.send_head = _ignore
        connection.send_data = _ignore
        connection.send_end = _ignore
        connection.close_if_overdue = _ignore
    return len(connections)


def _ignore(*arguments) -> None:
    pass
