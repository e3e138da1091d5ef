"""Stands before a server, and can answer in its place without an end."""

import contextlib
import itertools
import socket
import threading

__all__ = ["EndlessRelay"]

RECEIVE_BYTES = 64 * 1024
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"10000\r\n" + b"x" * 65536 + b"\r\n"


class EndlessRelay:
    """Passes bytes on to a server, unless it answers each request itself.

    Parameters
    ==========

    server : tuple of (str, int)
        Where requests are passed on to.

    Attributes
    ==========

    is_endless : bool
        Whether requests get a body that ends when the caller closes.
    responses : int
        Number of these responses.
    """

    def __init__(self, server: tuple[str, int]):
        self.is_endless = False
        self.responses = 0
        self._server = server
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=200)
        self._sockets = [self._listener]
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> tuple[str, int]:
        """Its IP address and port."""
        return self._listener.getsockname()

    def close(self) -> None:
        """End all connections, and accept no more."""
        for sock in self._sockets:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                client, _peer = self._listener.accept()
                self._sockets.append(client)
                threading.Thread(
                    target=self._serve, args=[client], daemon=True
                ).start()

    def _serve(self, client: socket.socket) -> None:
        with client, contextlib.suppress(OSError):
            with socket.create_connection(self._server) as server:
                threading.Thread(
                    target=_pass_on, args=[server, client], daemon=True
                ).start()
                while data := client.recv(RECEIVE_BYTES):
                    if self.is_endless:
                        self.responses += 1
                        _send_endless(client)
                    server.sendall(data)


def _send_endless(client: socket.socket) -> None:
    client.sendall(HEAD)
    for chunk in itertools.repeat(CHUNK):
        client.sendall(chunk)


def _pass_on(source: socket.socket, target: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while data := source.recv(RECEIVE_BYTES):
            target.sendall(data)
        target.shutdown(socket.SHUT_RDWR)
