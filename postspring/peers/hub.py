"""All links of a VM: requests and replies, heartbeats, silence."""

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
    """What the hub keeps of one other VM."""

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


class _Asked:
    """A request that has no reply yet."""

    __slots__ = ("vm", "on_reply", "on_error", "timer", "sent")

    def __init__(self, vm, on_reply, on_error, timer):
        self.vm = vm
        self.on_reply = on_reply
        self.on_error = on_error
        self.timer = timer
        self.sent = False


class PeerHub:
    """Talks to the other VMs.

    Explanation
    ===========

    Requests go out on links that this VM dialled; their replies come back
    on the same link.  A peer that does not answer heartbeats for
    ``silence`` seconds is taken for dead: its link is closed and
    ``on_lost`` is called.  That only decides when to *try* a takeover.

    Parameters
    ==========

    timers : Timers
        For heartbeats and timeouts.
    vm : str
        This VM's id.
    bind : tuple of (str, int)
        Where other VMs reach this one.
    key : str
        The key that all VMs share; empty for none.
    on_request : callable
        Called with ``(vm, message, reply)`` for each request; ``reply`` is
        to be called with the reply, at any later time.
    heartbeat : callable
        Returns this VM's :class:`Heartbeat`.
    on_heartbeat, on_lost : callable
        Called with a peer's heartbeat, and with the id of a lost peer.
    interval, silence : float
        Seconds between heartbeats, and without one until a peer is lost.
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
        interval: float = 0.5,
        silence: float = 2.0,
    ):
        self._timers = timers
        self._vm = vm
        self._key = key
        self._on_request = on_request
        self._heartbeat = heartbeat
        self._on_heartbeat = on_heartbeat
        self._on_lost = on_lost
        self._interval = interval
        self._silence = silence
        self._peer_by_vm: dict[str, _Peer] = {}
        self._vm_by_link: dict[link.PeerLink, str] = {}
        self._asked_by_number: dict[int, _Asked] = {}
        self._next_number = 1
        self._ticker: transport.TimerHandle | None = None
        self.sockets = transport.SocketHub(
            timers, bind, self._accepted, channel="peers"
        )

    def start(self) -> None:
        """Begin to send heartbeats."""
        self._ticker = self._timers.call_every(self._interval, self._tick)

    def close(self) -> None:
        """Close all links."""
        if self._ticker is not None:
            self._ticker.cancel()
        for peer in self._peer_by_vm.values():
            if peer.link is not None:
                peer.link.shut()

    def replace_peers(self, address_by_vm: dict[str, tuple]) -> None:
        """Keep links to just these VMs."""
        for vm in list(self._peer_by_vm):
            peer = self._peer_by_vm[vm]
            if address_by_vm.get(vm) != peer.address:
                del self._peer_by_vm[vm]
                if peer.link is not None:
                    peer.link.shut()
                self._fail_requests(vm, "no longer listed")
        for vm, address in address_by_vm.items():
            if vm not in self._peer_by_vm:
                self._peer_by_vm[vm] = _Peer(vm, address, self._timers.now())

    def responsive(self, vm: str) -> bool:
        """Return whether the peer answered of late."""
        peer = self._peer_by_vm.get(vm)
        if peer is None:
            return False
        return self._timers.now() - peer.last_heard < self._silence

    def leaving(self, vm: str) -> bool:
        """Return whether the peer said that it is shutting down."""
        peer = self._peer_by_vm.get(vm)
        return (
            peer is not None
            and peer.heartbeat is not None
            and peer.heartbeat.leaving
        )

    def reaches_log(self, vm: str) -> bool:
        """Return whether the peer responds and said it reaches the log."""
        peer = self._peer_by_vm.get(vm)
        return (
            self.responsive(vm)
            and peer.heartbeat is not None
            and peer.heartbeat.reaches_log
        )

    def connected(self, vm: str) -> bool:
        """Return whether there is an open link to the peer."""
        peer = self._peer_by_vm.get(vm)
        return peer is not None and peer.link is not None and peer.link.open

    def ask(
        self,
        vm: str,
        message: Any,
        timeout: float,
        on_reply: Callable[[Any], None],
        on_error: Callable[[errors.TransportError], None],
    ) -> None:
        """Send a request; exactly one of the two functions is called.

        The error says whether the request may have reached the peer.
        """
        peer = self._peer_by_vm.get(vm)
        number = self._next_number
        self._next_number += 1
        timer = self._timers.call_later(timeout, self._time_out, number)
        asked = _Asked(vm, on_reply, on_error, timer)
        self._asked_by_number[number] = asked
        if peer is None:
            self._timers.call_later(0, self._fail, number, "unknown VM")
        elif peer.link is not None and peer.link.open:
            self._send(peer, number, message)
        else:
            peer.queue.append((number, message))
            self._dial(peer)

    def tell(self, vm: str, message: Any) -> None:
        """Send a request whose reply does not matter."""
        self.ask(vm, message, 5.0, _ignore, _ignore)

    # -- links ----------------------------------------------------------------

    def _accepted(self, sock) -> link.PeerLink:
        return link.PeerLink(
            self.sockets,
            sock,
            self._key,
            self._received,
            _ignore,
            self._link_closed,
            dialled=False,
        )

    def _dial(self, peer: _Peer) -> None:
        if peer.dialling or self._timers.now() < peer.redial_at:
            return
        peer.dialling = True
        peer.dialled_at = self._timers.now()

        def on_open(sock) -> link.PeerLink:
            dialled = link.PeerLink(
                self.sockets,
                sock,
                self._key,
                self._received,
                self._link_open,
                self._link_closed,
                dialled=True,
                vm=self._vm,
            )
            peer.link = dialled
            self._vm_by_link[dialled] = peer.vm
            self._timers.call_later(0, dialled.begin)
            return dialled

        def on_error(error: errors.TransportError) -> None:
            peer.dialling = False
            peer.redial_at = self._timers.now() + REDIAL_SECONDS
            # Nobody listens there: it need not be waited for in silence.
            peer.last_heard = 0.0
            peer.queue.clear()
            self._fail_requests(peer.vm, str(error))

        self.sockets.open(peer.address, CONNECT_SECONDS, on_open, on_error)

    def _link_open(self, opened: link.PeerLink) -> None:
        peer = self._peer_by_vm.get(self._vm_by_link.get(opened, ""))
        if peer is None or peer.link is not opened:
            opened.shut()
            return
        peer.dialling = False
        peer.last_heard = self._timers.now()
        queue = peer.queue
        peer.queue = []
        for number, message in queue:
            if number in self._asked_by_number:
                self._send(peer, number, message)

    def _link_closed(self, closed: link.PeerLink) -> None:
        if closed.error:
            LOG.warning("peer link closed: %s", closed.error)
        vm = self._vm_by_link.pop(closed, None)
        peer = self._peer_by_vm.get(vm)
        if peer is None or peer.link is not closed:
            return
        peer.link = None
        peer.dialling = False
        peer.queue.clear()
        self._fail_requests(vm, "link closed")
        self._on_lost(vm)
        self._timers.call_later(0, self._dial, peer)

    # -- requests -------------------------------------------------------------

    def _send(self, peer: _Peer, number: int, message: Any) -> None:
        self._asked_by_number[number].sent = True
        try:
            peer.link.send(number, False, message)
        except errors.PeerError as error:
            self._fail(number, str(error))

    def _received(
        self, source: link.PeerLink, number: int, is_reply: bool, message: Any
    ) -> None:
        if not is_reply:
            self._serve(source, number, message)
            return
        asked = self._asked_by_number.pop(number, None)
        if asked is not None:
            asked.timer.cancel()
            asked.on_reply(message)

    def _serve(self, source: link.PeerLink, number: int, message: Any) -> None:
        def reply(answer: Any) -> None:
            try:
                source.send(number, True, answer)
            except errors.PeerError:
                LOG.info("a reply could not be sent: the link is gone")

        if isinstance(message, messages.Heartbeat):
            self._on_heartbeat(message)
            reply(self._heartbeat())
        else:
            self._on_request(source.peer_vm, message, reply)

    def _time_out(self, number: int) -> None:
        self._fail(number, "timeout")

    def _fail_requests(self, vm: str, text: str) -> None:
        numbers = [
            number
            for number, asked in self._asked_by_number.items()
            if asked.vm == vm
        ]
        for number in numbers:
            self._fail(number, text)

    def _fail(self, number: int, text: str) -> None:
        asked = self._asked_by_number.pop(number, None)
        if asked is None:
            return
        asked.timer.cancel()
        asked.on_error(
            errors.TransportError(f"VM {asked.vm}: {text}", sent=asked.sent)
        )

    # -- heartbeats -----------------------------------------------------------

    def _tick(self) -> None:
        now = self._timers.now()
        for peer in list(self._peer_by_vm.values()):
            if peer.link is None:
                self._dial(peer)
            elif not peer.link.open:
                if now - peer.dialled_at > self._silence:
                    peer.link.shut()
            elif now - peer.last_heard > self._silence:
                LOG.warning("peer %s is silent", peer.vm)
                peer.link.shut()
            else:
                self._beat(peer)

    def _beat(self, peer: _Peer) -> None:
        def heard(message: Any) -> None:
            if isinstance(message, messages.Heartbeat):
                peer.last_heard = self._timers.now()
                peer.heartbeat = message
                self._on_heartbeat(message)

        self.ask(peer.vm, self._heartbeat(), self._silence * 2, heard, _ignore)


def _ignore(*arguments) -> None:
    """Do nothing."""
