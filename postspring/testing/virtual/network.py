"""The virtual network: requests, links between VMs, cuts."""

from collections.abc import Callable
import itertools
import random
from typing import Any

from postspring import errors
from postspring import peers
from postspring.testing.virtual import clock as clock_module

__all__ = ["Network", "Responder", "VirtualHttp", "VirtualHub"]

LEAST_LATENCY = 0.0002
MOST_LATENCY = 0.004


class Network:
    """Who reaches whom, and how fast.

    Parameters
    ==========

    clock : VirtualClock
        The time.
    chance : Random
        For latencies.
    """

    def __init__(
        self, clock: clock_module.VirtualClock, chance: random.Random
    ):
        self.clock = clock
        self._chance = chance
        self.cuts: set[frozenset[str]] = set()
        self.place_by_name: dict[str, str] = {}

    def cut(self, one: str, other: str) -> None:
        """Cut two names from each other: VMs, data centres, the platform."""
        self.cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Undo all cuts."""
        self.cuts.clear()

    def reaches(self, one: str, other: str) -> bool:
        """Return whether bytes go from one name to the other."""
        ones = {one, self.place_by_name.get(one, one)}
        others = {other, self.place_by_name.get(other, other)}
        return not any(
            frozenset((a, b)) in self.cuts for a in ones for b in others
        )

    def latency(self) -> float:
        """Return a one-way latency in seconds."""
        return self._chance.uniform(LEAST_LATENCY, MOST_LATENCY)


class Responder:
    """A server's side of one request."""

    def __init__(self, exchange: "_Exchange", server: str):
        self._exchange = exchange
        self._server = server
        self._after = 0.0
        self.on_disconnect: Callable[[], None] | None = None

    @property
    def gone(self) -> bool:
        """Whether the other side has given up or died."""
        return self._exchange.abandoned

    def respond(self, status: int, body: bytes) -> None:
        """Give a whole answer."""
        self.head(status)
        self.data(body)
        self.end()

    def head(self, status: int) -> None:
        """Send the status."""
        self._send("head", status, {})

    def data(self, chunk: bytes) -> None:
        """Send a part of the body."""
        self._send("data", chunk)

    def end(self) -> None:
        """Send the end."""
        self._send("end")

    def abort(self) -> None:
        """Close the connection without an end."""
        self._send("broken", "connection closed")

    def _send(self, what: str, *arguments: Any) -> None:
        network = self._exchange.network
        # What is sent on one connection arrives in order.
        due = max(self._after, network.clock.now + network.latency())
        self._after = due
        network.clock.call_later(
            due - network.clock.now,
            self._exchange.arrive,
            self._server,
            what,
            *arguments,
        )


class _Exchange:
    """One request under way in the virtual network."""

    def __init__(self, network, process, request, listener):
        self.network = network
        self.process = process
        self.request = request
        self.sent = False
        self._listener = listener
        self.responder: Responder | None = None

    @property
    def done(self) -> bool:
        """Whether the exchange has ended, either way."""
        return self._listener is None

    @property
    def abandoned(self) -> bool:
        """Whether nobody listens any more."""
        return self.done or not self.process.alive

    def cancel(self) -> None:
        """Break it off."""
        self._listener = None
        self._tell_server()

    def pause(self) -> None:
        """Do nothing: virtual callers are never slow."""

    def resume(self) -> None:
        """Do nothing."""

    def arrive(self, server: str, what: str, *arguments: Any) -> None:
        """Take something from the server, unless the network is cut."""
        if self.network.reaches(self.process.name, server):
            self.process.deliver(self._hear, what, *arguments)

    def fail(self, text: str) -> None:
        """Give up."""
        self.process.deliver(self._hear, "broken", text)

    def _hear(self, what: str, *arguments: Any) -> None:
        listener = self._listener
        if listener is None:
            return
        if what == "broken":
            self._listener = None
            self._tell_server()
            listener.failed(errors.TransportError(arguments[0], self.sent))
            return
        if what == "end":
            self._listener = None
        getattr(listener, what)(*arguments)

    def _tell_server(self) -> None:
        if (
            self.responder is not None
            and self.responder.on_disconnect is not None
        ):
            self.responder.on_disconnect()


class VirtualHttp:
    """Sends requests of one process to virtual servers.

    Parameters
    ==========

    network : Network
        Carries them.
    process : VirtualProcess
        Who sends.
    server_by_address : dict
        ``(ip, port)`` to server; a server has ``name``, ``process`` and
        ``handle(request, responder)``.
    """

    def __init__(self, network, process, server_by_address):
        self._network = network
        self._process = process
        self._server_by_address = server_by_address

    def send(self, request: Any, listener: Any) -> _Exchange:
        """Send a request; see :meth:`HttpClient.send`."""
        exchange = _Exchange(self._network, self._process, request, listener)
        clock = self._network.clock
        clock.call_later(request.timeout, exchange.fail, "timeout")
        clock.call_later(self._network.latency(), self._connect, exchange)
        return exchange

    def _connect(self, exchange: _Exchange) -> None:
        request = exchange.request
        server = self._server_by_address.get(request.address)
        if exchange.abandoned:
            return
        if server is None or not server.process.alive:
            exchange.fail("refused")
            return
        if not self._network.reaches(self._process.name, server.name):
            self._network.clock.call_later(
                request.connect_timeout, exchange.fail, "timeout"
            )
            return
        exchange.sent = True
        exchange.responder = Responder(exchange, server.name)
        server.process.deliver(server.handle, request, exchange.responder)


class VirtualHub:
    """The links of one VM; answers like :class:`PeerHub`.

    Messages go through the codec, so whatever can't be encoded fails here
    as it would on a wire.
    """

    def __init__(
        self,
        world: Any,
        process: clock_module.VirtualProcess,
        timers: clock_module.VirtualTimers,
        on_request: Callable,
        heartbeat: Callable,
        on_heartbeat: Callable,
        on_lost: Callable,
        interval: float,
        silence: float,
    ):
        self._world = world
        self.process = process
        self._timers = timers
        self._on_request = on_request
        self._heartbeat = heartbeat
        self._on_heartbeat = on_heartbeat
        self._on_lost = on_lost
        self._interval = interval
        self._silence = silence
        self._vms: set[str] = set()
        self._last_heard: dict[str, float] = {}
        self._last_beat: dict[str, Any] = {}
        self._lost: set[str] = set()
        self._asked: dict[int, tuple] = {}
        self._numbers = itertools.count(1)

    def start(self) -> None:
        """Begin to send heartbeats."""
        self._timers.call_every(self._interval, self._tick)

    def close(self) -> None:
        """Forget all peers."""
        self._vms.clear()

    def replace_peers(self, address_by_vm: dict[str, tuple]) -> None:
        """Keep links to just these VMs."""
        for vm in address_by_vm:
            if vm not in self._vms:
                self._last_heard[vm] = self._timers.now()
        self._vms = set(address_by_vm)

    def responsive(self, vm: str) -> bool:
        """Return whether the peer answered of late."""
        heard = self._last_heard.get(vm)
        if vm not in self._vms or heard is None or vm in self._lost:
            return False
        return self._timers.now() - heard < self._silence

    def leaving(self, vm: str) -> bool:
        """Return whether the peer said that it is shutting down."""
        return vm in self._last_beat and self._last_beat[vm].leaving

    def reaches_log(self, vm: str) -> bool:
        """Return whether the peer responds and said it reaches the log."""
        beat = self._last_beat.get(vm)
        return self.responsive(vm) and beat is not None and beat.reaches_log

    def ask(self, vm, message, timeout, on_reply, on_error) -> None:
        """Send a request; see :meth:`PeerHub.ask`."""
        number = next(self._numbers)
        sent = vm in self._vms
        self._asked[number] = (vm, on_reply, on_error, sent)
        self._timers.call_later(timeout, self._fail, number, "timeout")
        if not sent:
            self._timers.call_later(0, self._fail, number, "unknown VM")
            return
        data = peers.peer_messages.encode(message)
        other = self._world.hub_by_vm.get(vm)
        self._send(other, "serve", self, number, data)

    def tell(self, vm: str, message: Any) -> None:
        """Send a request whose reply does not matter."""
        self.ask(vm, message, 5.0, _ignore, _ignore)

    def serve(self, source: "VirtualHub", number: int, data: bytes) -> None:
        """Take a request of another VM."""
        message = peers.peer_messages.decode(data)

        def reply(answer: Any) -> None:
            encoded = peers.peer_messages.encode(answer)
            self._send(source, "take_reply", number, encoded)

        if isinstance(message, peers.Heartbeat):
            self._heard(message)
            reply(self._heartbeat())
        else:
            self._on_request(source.process.name, message, reply)

    def take_reply(self, number: int, data: bytes) -> None:
        """Take a reply."""
        asked = self._asked.pop(number, None)
        if asked is not None:
            asked[1](peers.peer_messages.decode(data))

    def link_broke(self, vm: str) -> None:
        """Take note that the other side's process has ended."""
        if vm in self._vms:
            self._lose(vm)

    def _send(
        self, other: "VirtualHub | None", what: str, *arguments: Any
    ) -> None:
        """Send to one process: a link does not outlive either of its ends."""
        network = self._world.network
        network.clock.call_later(
            network.latency(), self._arrive, other, what, *arguments
        )

    def _arrive(
        self, other: "VirtualHub | None", what: str, *arguments: Any
    ) -> None:
        if other is None or not other.process.alive:
            return
        network = self._world.network
        if network.reaches(self.process.name, other.process.name):
            other.process.deliver(getattr(other, what), *arguments)

    def _tick(self) -> None:
        now = self._timers.now()
        for vm in sorted(self._vms):
            silent = now - self._last_heard.get(vm, now) > self._silence
            if silent and vm not in self._lost:
                self._lose(vm)
            self.ask(
                vm, self._heartbeat(), self._silence * 2, self._heard, _ignore
            )

    def _heard(self, message: Any) -> None:
        if isinstance(message, peers.Heartbeat):
            self._lost.discard(message.vm)
            self._last_heard[message.vm] = self._timers.now()
            self._last_beat[message.vm] = message
            self._on_heartbeat(message)

    def _lose(self, vm: str) -> None:
        self._lost.add(vm)
        numbers = [n for n, asked in self._asked.items() if asked[0] == vm]
        for number in numbers:
            self._fail(number, "link closed")
        self._on_lost(vm)

    def _fail(self, number: int, text: str) -> None:
        asked = self._asked.pop(number, None)
        if asked is not None:
            vm, _, on_error, sent = asked
            on_error(errors.TransportError(f"VM {vm}: {text}", sent))


def _ignore(*arguments: Any) -> None:
    """Do nothing."""
