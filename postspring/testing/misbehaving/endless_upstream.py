"""An upstream whose answers don't end until the other side closes."""

from collections.abc import Callable
import enum
import socket
import threading

from postspring.platform import names
from postspring.testing.fleet import engine_service
from postspring.testing.fleet import fleet

__all__ = ["EndlessUpstream", "Form"]

ID = "endless"
SERVICE = "endless"
# Entries lapse after some heartbeats of 1.2 s.
HEARTBEAT_SECONDS = 0.5
REQUEST_BYTES = 64 * 1024
SLOTS = 64
HUGE_LENGTH = 10**12
BLOCK = b"x" * 65536
CHUNK = b"10000\r\n" + BLOCK + b"\r\n"
EVENTS_AT_ONCE = 16
EMPTY_EVENTS = b"\n\n" * 32768
CHUNKED = "Transfer-Encoding: chunked"


class Form(enum.Enum):
    """What has no end; the values are a status and a field of the head."""

    CHUNKS = ("chunks", 200, CHUNKED)
    UNTIL_CLOSED = ("until closed", 200, "Cache-Control: no-store")
    STATED_LENGTH = ("stated", 200, f"Content-Length: {HUGE_LENGTH}")
    FAILED = ("failed", 500, CHUNKED)
    EVENT = ("event", 200, "Content-Type: text/event-stream")
    EVENTS = ("events", 200, "Content-Type: text/event-stream")
    SHORT_EVENTS = ("short events", 200, "Content-Type: text/event-stream")
    EMPTY_EVENTS = ("empty events", 200, "Content-Type: text/event-stream")

    def __init__(self, label: str, status: int, field: str):
        self.label = label
        self.status = status
        self.field = field

    @property
    def head(self) -> bytes:
        """The head of the answer."""
        lines = (
            f"HTTP/1.1 {self.status} Answer",
            f"{names.INSTANCE_ID}: {ID}",
            f"{names.SERVER_SEAL}: {ID}.1",
            self.field,
        )
        return "\r\n".join([*lines, "", ""]).encode()

    def part(self, number: int) -> bytes:
        """Return a part of the body."""
        if self.field == CHUNKED:
            return CHUNK
        event = EVENT_BY_FORM.get(self)
        if event is not None:
            first = number * EVENTS_AT_ONCE + 1
            return b"".join(event % (first + i) for i in range(EVENTS_AT_ONCE))
        return EMPTY_EVENTS if self is Form.EMPTY_EVENTS else BLOCK


EVENT_BY_FORM = {
    Form.EVENTS: b"id: %d\ndata: " + b"y" * 4096 + b"\n\n",
    Form.SHORT_EVENTS: b"id: %d\ndata: y\n\n",
}


class EndlessUpstream:
    """The only upstream of a service of its own.

    Parameters
    ==========

    put : callable
        Writes a record (topic, key and value) into the store.

    Attributes
    ==========

    asked : int
        Requests that it began to answer.
    """

    def __init__(
        self,
        address: tuple[str, int],
        data_center: str,
        form: Form,
        put: Callable[[str, str, dict], None],
    ):
        self._address = address
        self._data_center = data_center
        self._form = form
        self._put = put
        self._closing = threading.Event()
        self._listener = socket.create_server(address)
        self.asked = 0

    def open(self) -> None:
        """Accept connections, and write its entry at each heartbeat."""
        for target in (self._accept, self._beat):
            threading.Thread(target=target, daemon=True).start()

    def close(self) -> None:
        """End all answers."""
        self._closing.set()
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    @staticmethod
    def add_routes(document: dict) -> None:
        """Add routes of each kind to a configuration: ``/endless-*/``."""
        document["routes"] += [
            route
            | {
                "name": f"{SERVICE}-{route['name']}",
                "path_prefix": f"/{SERVICE}-{route['name']}/",
                "service": SERVICE,
            }
            for route in document["routes"]
        ]
        (engines,) = (
            service
            for service in document["services"]
            if service["name"] == fleet.TURNS_SERVICE
        )
        document["services"].append(engines | {"name": SERVICE})

    def _beat(self) -> None:
        sequence = 0
        while not self._closing.is_set():
            sequence += 1
            entry = engine_service.make_entry(
                SERVICE, "{}:{}".format(*self._address)
            ) | {
                "zone": self._data_center,
                "slots": SLOTS,
                "sequence": sequence,
            }
            try:
                self._put(names.SERVERS_TOPIC, ID, entry)
            except OSError:
                pass
            self._closing.wait(HEARTBEAT_SECONDS)

    def _accept(self) -> None:
        try:
            while True:
                sock, _ = self._listener.accept()
                threading.Thread(
                    target=self._answer, args=(sock,), daemon=True
                ).start()
        except OSError:
            pass

    def _answer(self, sock: socket.socket) -> None:
        number = 0
        try:
            if not sock.recv(REQUEST_BYTES):
                return
            self.asked += 1
            sock.sendall(self._form.head)
            while not self._closing.is_set():
                sock.sendall(self._form.part(number))
                number += 1
        except OSError:
            pass
        finally:
            sock.close()
