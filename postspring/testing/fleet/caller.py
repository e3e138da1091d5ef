"""A caller on plain sockets, turned by hand with the loops."""

import dataclasses
import socket

import h11

__all__ = ["Caller", "CallerAnswer"]

KEPT_BYTES = 1000


@dataclasses.dataclass(slots=True)
class CallerAnswer:
    """What came back; ``complete`` only with a proper end."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    closed: bool = False

    @property
    def settled(self) -> bool:
        """Whether nothing more will come."""
        return self.complete or self.closed


class Caller:
    """One connection to an entry VM.

    Attributes
    ==========

    received : bytes
        The beginning of what came last, also if no answer was expected.
    """

    def __init__(self, address: tuple[str, int]):
        self._socket = socket.create_connection(address)
        self._socket.setblocking(False)
        self._http = h11.Connection(our_role=h11.CLIENT)
        self.answer = CallerAnswer()
        self.received = b""

    def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> None:
        """Send a request; the answer to the one before is forgotten."""
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        self.answer = CallerAnswer()
        fields = [
            (name.encode("ascii"), value.encode("latin-1"))
            for name, value in headers.items()
        ]
        if body:
            fields.append((b"Content-Length", b"%d" % len(body)))
        request = h11.Request(method=method, target=target, headers=fields)
        data = self._http.send(request)
        if body:
            data += self._http.send(h11.Data(data=body))
        self._socket.sendall(data + self._http.send(h11.EndOfMessage()))

    def send_raw(self, data: bytes) -> None:
        """Send bytes as they are."""
        self._socket.sendall(data)

    def poll(self) -> None:
        """Take what has come."""
        try:
            data = self._socket.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            self.answer.closed = True
            return
        if not data:
            self.answer.closed = True
        else:
            self.received = data[:KEPT_BYTES]
        try:
            self._http.receive_data(data)
            self._parse()
        except h11.RemoteProtocolError:
            self.answer.closed = True

    def _parse(self) -> None:
        while True:
            event = self._http.next_event()
            if isinstance(event, h11.Response):
                self.answer.status = event.status_code
                self.answer.headers = {
                    name.decode(): value.decode()
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                self.answer.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.answer.complete = True
            else:
                return

    def end_sending(self) -> None:
        """Say that no more follows, and go on reading."""
        self._socket.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Leave."""
        self._socket.close()
