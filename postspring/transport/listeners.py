"""Opens listening sockets, all of a process or none."""

from collections.abc import Mapping
import errno
import socket

from circuits.net import sockets

from postspring import errors

__all__ = ["Listeners", "open_listeners"]

# Open sockets by the names of what they are for.
Listeners = dict[str, socket.socket]


def open_listeners(
    address_by_name: Mapping[str, tuple[str, int]],
) -> Listeners:
    """Listen on each address; return the sockets by the same names.

    All addresses are bound before the first one listens, so that nobody can
    connect to a process that will not serve.

    Raises
    ------
    ListenError
        If an address can't be used; then no socket stays open.
    """
    opened: Listeners = {}
    name = ""
    try:
        for name in address_by_name:
            opened[name] = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            opened[name].setblocking(False)
            for option in sockets.TCPServer.socket_options:
                opened[name].setsockopt(*option)
            opened[name].bind(address_by_name[name])
        for name, sock in opened.items():
            sock.listen(sockets.BACKLOG)
    except OSError as error:
        for sock in opened.values():
            sock.close()
        host, port = address_by_name[name]
        code = errno.errorcode.get(error.errno, str(error.errno))
        text = f"{name}: {host}:{port}: {code}: {error.strerror}"
        raise errors.ListenError(text) from error
    return opened
