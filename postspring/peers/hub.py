"""Requests, replies and heartbeats on the links to all other VMs."""

from collections.abc import Callable
import logging
from typing import Any

from postspring import errors
from postspring.peers import link
from postspring.peers import messages
from postspring import transport

__all__ = ["PeerHub"]

LOG = logging.getLogger(__name__)
CONNECT_SECONDS = 1.0
REDIAL_SECONDS = 0.5


class _Peer:
    """State of one other VM at the hub."""

    __slots__ = (
        "vm",
        "address",
        "link",
        "dialling",
        "queue",
        "last_heard",
        "heartbeat",
        "redial_at",
        "dialled_at",
    )

    def __init__(self, vm: str, address: tuple[str, int], now: float):
        self.vm = vm
        self.address = address
        self.link: link.PeerLink | None = None
        self.dialling = False
        self.queue: list[tuple[int, Any]] = []
        self.last_heard = now
        self.heartbeat: messages.Heartbeat | None = None
        self.redial_at = 0.0
        self.dialled_at = 0.0


class _PendingRequest:
    """A request without a reply yet."""

    __slots__ = ("vm", "on_reply", "on_error", "timer", "sent")

    def __init__(self, vm, on_reply, on_error, timer):
        self.vm = vm
        self.on_reply = on_reply
        self.on_error = on_error
        self.timer = timer
        self.sent = False


class PeerHub:
    """Sends requests to the other VMs and detects VMs that are silent.

    Explanation
    ===========

    Requests are sent on links that this VM opened; the peer replies on the
    same link.  If a peer does not answer heartbeats for ``silence_timeout``
    seconds, the hub closes its link.  Whenever the link to a listed peer
    closes, the hub calls ``on_lost``.  The peer may still run: a loss only
    decides when to *try* a takeover.

    Parameters
    ==========

    timers : Timers
        Schedule heartbeats and timeouts.
    vm : str
        This VM's id.
    bind : tuple of (str, int)
        IP address and port on which this VM accepts links.
    key : str
        Key that all VMs share; empty for none.
    on_request : callable
        Called with ``(vm, message, reply)`` for each request other than a
        heartbeat; it calls ``reply`` with the reply, then or later.
    heartbeat : callable
        Returns this VM's :class:`Heartbeat`.
    on_heartbeat, on_lost : callable
        Called with each heartbeat of a peer, and with the id of a peer
        whose link was closed.
    heartbeat_interval, silence_timeout : float
        Seconds between heartbeats, and seconds without an answer to one
        after which a peer is lost.
    """

    def __init__(
        self,
        timers: transport.Timers,
        vm: str,
        bind: tuple[str, int],
        key: str,
        on_request: Callable[[str, Any, Callable], None],
        heartbeat: Callable[[], messages.Heartbeat],
        on_heartbeat: Callable[[messages.Heartbeat], None],
        on_lost: Callable[[str], None],
        heartbeat_interval: float = 0.5,
        silence_timeout: float = 2.0,
    ):
        self._timers = timers
        self._vm = vm
        self._key = key
        self._on_request = on_request
        self._heartbeat = heartbeat
        self._on_heartbeat = on_heartbeat
        self._on_lost = on_lost
        self._heartbeat_interval = heartbeat_interval
        self._silence_timeout = silence_timeout
        self._peer_by_vm: dict[str, _Peer] = {}
        self._vm_by_link: dict[link.PeerLink, str] = {}
        self._pending_by_number: dict[int, _PendingRequest] = {}
        self._next_number = 1
        self._heartbeat_timer: transport.TimerHandle | None = None
        self.sockets = transport.SocketHub(
            timers, bind, self._create_incoming_link, channel="peers"
        )

    def start(self) -> None:
        """Start to connect to peers and to send heartbeats."""
        self._heartbeat_timer = self._timers.call_every(
            self._heartbeat_interval, self._check_peers
        )

    def close(self) -> None:
        """Stop the heartbeats and close the links that this VM opened."""
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        for peer in self._peer_by_vm.values():
            if peer.link is not None:
                peer.link.close_when_sent()

    def replace_peers(self, address_by_vm: dict[str, tuple]) -> None:
        """Set the peers; close the links that this VM opened to others."""
        for vm in list(self._peer_by_vm):
            peer = self._peer_by_vm[vm]
            if address_by_vm.get(vm) != peer.address:
                del self._peer_by_vm[vm]
                if peer.link is not None:
                    peer.link.close_when_sent()
                self._fail_requests_to(vm, "no longer listed")
        for vm, address in address_by_vm.items():
            if vm not in self._peer_by_vm:
                self._peer_by_vm[vm] = _Peer(vm, address, self._timers.now())

    def responsive(self, vm: str) -> bool:
        """Return whether the peer answered within ``silence_timeout`` seconds.

        A new peer and a newly opened link count as an answer.
        """
        peer = self._peer_by_vm.get(vm)
        if peer is None:
            return False
        return self._timers.now() - peer.last_heard < self._silence_timeout

    def leaving(self, vm: str) -> bool:
        """Return whether the peer's last heartbeat says it shuts down."""
        peer = self._peer_by_vm.get(vm)
        return (
            peer is not None
            and peer.heartbeat is not None
            and peer.heartbeat.leaving
        )

    def reaches_log(self, vm: str) -> bool:
        """Return whether the peer is responsive and reaches the log."""
        peer = self._peer_by_vm.get(vm)
        return (
            self.responsive(vm)
            and peer.heartbeat is not None
            and peer.heartbeat.reaches_log
        )

    def is_connected(self, vm: str) -> bool:
        """Return whether this VM has an open link to the peer."""
        peer = self._peer_by_vm.get(vm)
        return peer is not None and peer.link is not None and peer.link.is_open

    def ask(
        self,
        vm: str,
        message: Any,
        timeout: float,
        on_reply: Callable[[Any], None],
        on_error: Callable[[errors.TransportError], None],
    ) -> None:
        """Send a request, now or as soon as a link to the peer is open.

        Either ``on_reply`` or ``on_error`` is called, once.  The error says
        whether the request may have reached the peer.
        """
        peer = self._peer_by_vm.get(vm)
        number = self._next_number
        self._next_number += 1
        timer = self._timers.call_later(
            timeout, self._on_request_timeout, number
        )
        pending = _PendingRequest(vm, on_reply, on_error, timer)
        self._pending_by_number[number] = pending
        if peer is None:
            self._timers.call_later(
                0, self._fail_request, number, "unknown VM"
            )
        elif peer.link is not None and peer.link.is_open:
            self._send(peer, number, message)
        else:
            peer.queue.append((number, message))
            self._dial(peer)

    def tell(self, vm: str, message: Any) -> None:
        """Send a request and ignore its reply or error."""
        self.ask(vm, message, 5.0, _do_nothing, _do_nothing)

    # -- links ----------------------------------------------------------------

    def _create_incoming_link(self, sock) -> link.PeerLink:
        return link.PeerLink(
            self.sockets,
            sock,
            self._key,
            self._dispatch_message,
            _do_nothing,
            self._on_link_closed,
            is_outgoing=False,
        )

    def _dial(self, peer: _Peer) -> None:
        if peer.dialling or self._timers.now() < peer.redial_at:
            return
        peer.dialling = True
        peer.dialled_at = self._timers.now()

        def on_open(sock) -> link.PeerLink:
            outgoing = link.PeerLink(
                self.sockets,
                sock,
                self._key,
                self._dispatch_message,
                self._on_link_open,
                self._on_link_closed,
                is_outgoing=True,
                vm=self._vm,
            )
            peer.link = outgoing
            self._vm_by_link[outgoing] = peer.vm
            self._timers.call_later(0, outgoing.start_handshake)
            return outgoing

        def on_error(error: errors.TransportError) -> None:
            peer.dialling = False
            peer.redial_at = self._timers.now() + REDIAL_SECONDS
            # After a failed connection attempt the peer is unresponsive at
            # once, not only after silence_timeout.
            peer.last_heard = 0.0
            peer.queue.clear()
            self._fail_requests_to(peer.vm, str(error))

        self.sockets.open(peer.address, CONNECT_SECONDS, on_open, on_error)

    def _on_link_open(self, peer_link: link.PeerLink) -> None:
        peer = self._peer_by_vm.get(self._vm_by_link.get(peer_link, ""))
        if peer is None or peer.link is not peer_link:
            peer_link.close_when_sent()
            return
        peer.dialling = False
        peer.last_heard = self._timers.now()
        queue = peer.queue
        peer.queue = []
        for number, message in queue:
            if number in self._pending_by_number:
                self._send(peer, number, message)

    def _on_link_closed(self, peer_link: link.PeerLink) -> None:
        if peer_link.close_reason:
            LOG.warning("peer link closed: %s", peer_link.close_reason)
        vm = self._vm_by_link.pop(peer_link, None)
        peer = self._peer_by_vm.get(vm)
        if peer is None or peer.link is not peer_link:
            return
        peer.link = None
        peer.dialling = False
        peer.queue.clear()
        self._fail_requests_to(vm, "link closed")
        self._on_lost(vm)
        self._timers.call_later(0, self._dial, peer)

    # -- requests -------------------------------------------------------------

    def _send(self, peer: _Peer, number: int, message: Any) -> None:
        self._pending_by_number[number].sent = True
        try:
            peer.link.send(number, False, message)
        except errors.PeerError as error:
            self._fail_request(number, str(error))

    def _dispatch_message(
        self,
        peer_link: link.PeerLink,
        number: int,
        is_reply: bool,
        message: Any,
    ) -> None:
        if not is_reply:
            self._handle_request(peer_link, number, message)
            return
        pending = self._pending_by_number.pop(number, None)
        if pending is not None:
            pending.timer.cancel()
            pending.on_reply(message)

    def _handle_request(
        self, peer_link: link.PeerLink, number: int, message: Any
    ) -> None:
        def reply(reply_message: Any) -> None:
            try:
                peer_link.send(number, True, reply_message)
            except errors.PeerError:
                LOG.info("reply not sent: the peer link is not open")

        if isinstance(message, messages.Heartbeat):
            self._on_heartbeat(message)
            reply(self._heartbeat())
        else:
            self._on_request(peer_link.peer_vm, message, reply)

    def _on_request_timeout(self, number: int) -> None:
        self._fail_request(number, "timeout")

    def _fail_requests_to(self, vm: str, reason: str) -> None:
        numbers = [
            number
            for number, pending in self._pending_by_number.items()
            if pending.vm == vm
        ]
        for number in numbers:
            self._fail_request(number, reason)

    def _fail_request(self, number: int, reason: str) -> None:
        pending = self._pending_by_number.pop(number, None)
        if pending is None:
            return
        pending.timer.cancel()
        pending.on_error(
            errors.TransportError(
                f"VM {pending.vm}: {reason}", sent=pending.sent
            )
        )

    # -- heartbeats -----------------------------------------------------------

    def _check_peers(self) -> None:
        now = self._timers.now()
        for peer in list(self._peer_by_vm.values()):
            if peer.link is None:
                self._dial(peer)
            elif not peer.link.is_open:
                if now - peer.dialled_at > self._silence_timeout:
                    peer.link.close_when_sent()
            elif now - peer.last_heard > self._silence_timeout:
                LOG.warning(
                    "closing the link to peer %s: no heartbeat answered",
                    peer.vm,
                )
                peer.link.close_when_sent()
            else:
                self._send_heartbeat(peer)

    def _send_heartbeat(self, peer: _Peer) -> None:
        def on_reply(message: Any) -> None:
            if isinstance(message, messages.Heartbeat):
                peer.last_heard = self._timers.now()
                peer.heartbeat = message
                self._on_heartbeat(message)

        self.ask(
            peer.vm,
            self._heartbeat(),
            self._silence_timeout * 2,
            on_reply,
            _do_nothing,
        )


def _do_nothing(*arguments) -> None:
    """Do nothing."""
