"""Open connections that fall silent for good, while new ones work."""

from postspring import transport

__all__ = ["silence", "silence_client"]


def silence(server: transport.HttpServer) -> int:
    """Let a server's open connections neither read nor answer any more.

    The other side's data is acknowledged all the same, so that only its own
    time-outs show it.  Returns how many there are.
    """
    return _silence_connections(list(server._connections))


def silence_client(server: transport.HttpServer, client) -> int:
    """Do the same for the connections of one client, a VM's ``Node``."""
    own = {sock.getsockname() for sock in client._hub._clients}
    return _silence_connections(
        [
            connection
            for connection in server._connections
            if connection._sock.getpeername() in own
        ]
    )


def _silence_connections(connections) -> int:
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
