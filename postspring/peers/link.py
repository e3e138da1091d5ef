"""A websocket to or from another VM.

The protocol is sans-I/O; a ``SocketHub`` does the input and output.
"""

from collections.abc import Callable
import hmac
import socket
from typing import Any

import cbor2
from websockets import client
from websockets import exceptions
from websockets import frames
from websockets import http11
from websockets import server
from websockets import uri

from postspring import errors
from postspring.peers import messages
from postspring import transport

__all__ = ["MAX_MESSAGE_BYTES", "PeerLink"]

MAX_MESSAGE_BYTES = 16 * 1024 * 1024
MAX_UNSENT_BYTES = 32 * 1024 * 1024
KEY_HEADER = "X-Postspring-Key"
VM_HEADER = "X-Postspring-Vm"


class PeerLink(transport.ConnectionHandler):
    """Carries numbered requests and their replies on a websocket.

    Explanation
    ===========

    A frame is a CBOR array ``[version, number, is reply, kind, fields]``.
    A frame of another version, or one that can't be decoded, closes the
    link; ``close_reason`` then says why.

    Parameters
    ==========

    hub : SocketHub
        Sends and receives the bytes of the connection.
    sock : socket
        Socket of the connection.
    key : str
        Key that all VMs share; empty for none.
    on_message : callable
        Called with ``(link, number, is_reply, message)``.
    on_open, on_closed : callable
        Called with the link after its handshake, and when its connection
        is closed.
    is_outgoing : bool
        Whether this VM opened the connection.
    vm : str
        This VM's id, sent in the handshake of an outgoing link.
    """

    def __init__(
        self,
        hub: transport.SocketHub,
        sock: socket.socket,
        key: str,
        on_message: Callable[["PeerLink", int, bool, Any], None],
        on_open: Callable[["PeerLink"], None],
        on_closed: Callable[["PeerLink"], None],
        is_outgoing: bool,
        vm: str = "",
    ):
        self._hub = hub
        self._socket = sock
        self._key = key
        self._on_message = on_message
        self._on_open = on_open
        self._on_closed = on_closed
        self._vm = vm
        self.peer_vm = ""
        self.is_open = False
        self.close_reason = ""
        if is_outgoing:
            ws_uri = uri.parse_uri("ws://peer/")
            self._protocol = client.ClientProtocol(
                ws_uri, max_size=MAX_MESSAGE_BYTES
            )
        else:
            self._protocol = server.ServerProtocol(max_size=MAX_MESSAGE_BYTES)

    def start_handshake(self) -> None:
        """Send the handshake request of an outgoing link."""
        request = self._protocol.connect()
        request.headers[KEY_HEADER] = self._key
        request.headers[VM_HEADER] = self._vm
        self._protocol.send_request(request)
        self._flush()

    def send(self, number: int, is_reply: bool, message: Any) -> None:
        """Send a message.

        Raises
        ------
        PeerError
            If the link is not open, or more than ``MAX_UNSENT_BYTES``
            still wait to be sent to the peer; the link is then closed.
        """
        if not self.is_open:
            raise errors.PeerError("link is not open")
        if self._hub.unsent_bytes(self._socket) > MAX_UNSENT_BYTES:
            self.close_when_sent()
            raise errors.PeerError("too many unsent bytes on the link")
        packed = messages.peer_messages.pack(message)
        frame = cbor2.dumps(
            [messages.PROTOCOL_VERSION, number, is_reply, *packed]
        )
        self._protocol.send_binary(frame)
        self._flush()

    def close_when_sent(self) -> None:
        """Close the link."""
        self._hub.close_when_sent(self._socket)

    # -- called by the hub ----------------------------------------------------

    def received(self, data: bytes) -> None:
        """Parse received bytes and pass on each complete message."""
        self._protocol.receive_data(data)
        self._flush()
        for event in self._protocol.events_received():
            self._handle_event(event)
        if self._protocol.close_expected():
            self.close_when_sent()

    def ended(self, end: transport.ConnectionEnd) -> None:
        """Mark the link closed and report it."""
        self.is_open = False
        self._on_closed(self)

    # -- handshake and frames -------------------------------------------------

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, http11.Request):
            self._answer_handshake(event)
        elif isinstance(event, http11.Response):
            self.is_open = self._protocol.state.name == "OPEN"
            if self.is_open:
                self._on_open(self)
        elif isinstance(event, frames.Frame):
            if event.opcode is frames.Opcode.BINARY:
                self._handle_frame(bytes(event.data))

    def _answer_handshake(self, request: http11.Request) -> None:
        received_key = request.headers.get(KEY_HEADER, "")
        if not hmac.compare_digest(received_key.encode(), self._key.encode()):
            response = self._protocol.reject(403, "wrong key\n")
            self._protocol.send_response(response)
            self._flush()
            self.close_reason = "wrong key"
            self.close_when_sent()
            return
        try:
            response = self._protocol.accept(request)
        except exceptions.InvalidHandshake:
            self.close_when_sent()
            return
        self.peer_vm = request.headers.get(VM_HEADER, "")
        self._protocol.send_response(response)
        self._flush()
        self.is_open = self._protocol.state.name == "OPEN"
        if self.is_open:
            self._on_open(self)

    def _handle_frame(self, data: bytes) -> None:
        try:
            version, number, is_reply, *packed = cbor2.loads(data)
            if version != messages.PROTOCOL_VERSION:
                raise errors.CodecError(f"protocol version {version}")
            message = messages.peer_messages.unpack(packed)
        except (
            cbor2.CBORDecodeError,
            errors.CodecError,
            ValueError,
            TypeError,
            RecursionError,
        ) as error:
            self.close_reason = str(error)[:200]
            self.close_when_sent()
            return
        self._on_message(self, int(number), bool(is_reply), message)

    def _flush(self) -> None:
        for data in self._protocol.data_to_send():
            if data:
                self._hub.send(self._socket, data)
