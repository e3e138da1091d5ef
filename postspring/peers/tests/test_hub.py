"""Links between VMs."""

import unittest

import cbor2
from circuits import BaseComponent
from circuits.core import pollers
from websockets import client
from websockets import uri

from postspring import coordination
from postspring import peers
from postspring import programs
from postspring.testing import processes
from postspring import transport


class _Vm:
    """A hub with a loop of its own, turned by hand."""

    def __init__(self, name, key="k"):
        self.name = name
        self.address = ("127.0.0.1", processes.free_port())
        self.root = BaseComponent()
        pollers.EPoll().register(self.root)
        self.timers = transport.Timers().register(self.root)
        self.requests = []
        self.lost = []
        self.answers = True
        self.hub = peers.PeerHub(
            self.timers,
            name,
            self.address,
            key,
            self.serve,
            self.heartbeat,
            lambda heartbeat: None,
            self.lost.append,
            interval=0.02,
            silence=0.3,
        )
        self.hub.sockets.register(self.root)
        self.root._running = True
        self.root.tick(timeout=0.0)
        self.root.tick(timeout=0.0)
        self.hub.start()

    def serve(self, vm, message, reply):
        """Answer a request with who sent it."""
        self.requests.append((vm, message))
        if self.answers:
            reply(coordination.ProgramCreated(program=vm))

    def heartbeat(self):
        """Return this VM's heartbeat."""
        return peers.Heartbeat(
            vm=self.name,
            incarnation="1",
            data_center="surco",
            configuration_offset=-1,
            configuration_version=0,
        )


class HubCase(unittest.TestCase):
    """Two VMs."""

    def setUp(self):
        self.first = _Vm("vm-1")
        self.second = _Vm("vm-2")
        self.running = [self.first, self.second]
        self.first.hub.replace_peers({"vm-2": self.second.address})
        self.replies = []
        self.errors = []
        self.addCleanup(self.close)

    def close(self):
        """Close both."""
        for vm in (self.first, self.second):
            vm.hub.close()
            vm.hub.sockets.refuse_new()

    def turn_until(self, check):
        """Turn the loops until something holds."""
        for _ in range(2000):
            if check():
                return
            for vm in self.running:
                vm.root.tick(timeout=0.002)
        self.fail("the loops were turned in vain")

    def ask(self, message=None, timeout=2.0):
        """Have the first VM ask the second."""
        message = message or coordination.CreateProgram(slot=1, service="a")
        self.first.hub.ask(
            "vm-2", message, timeout, self.replies.append, self.errors.append
        )


class RequestTest(HubCase):
    """Requests and replies."""

    def test_a_reply_comes_back(self):
        self.ask()
        self.turn_until(lambda: self.replies)
        self.assertEqual("vm-1", self.replies[0].program)

    def test_large_requests_arrive_whole(self):
        call = coordination.CallProgram(
            program="p",
            service="a",
            kind=programs.CallKind.MODEL,
            target="m",
            request=b"x" * 3_000_000,
            step=1,
        )
        self.ask(call)
        self.turn_until(lambda: self.replies)
        self.assertEqual(call, self.second.requests[0][1])

    def test_no_reply_in_time_is_an_error_that_may_have_run(self):
        self.second.answers = False
        self.ask(timeout=0.1)
        self.turn_until(lambda: self.errors)
        self.assertTrue(self.errors[0].sent)

    def test_an_unknown_vm_is_an_error_that_did_not_run(self):
        self.first.hub.ask(
            "vm-9",
            self.first.heartbeat(),
            1.0,
            self.replies.append,
            self.errors.append,
        )
        self.turn_until(lambda: self.errors)
        self.assertFalse(self.errors[0].sent)

    def test_a_vm_that_is_down_is_an_error_that_did_not_run(self):
        self.second.hub.sockets.refuse_new()
        self.ask()
        self.turn_until(lambda: self.errors)
        self.assertFalse(self.errors[0].sent)


class SilenceTest(HubCase):
    """A VM that stops answering."""

    def test_a_frozen_vm_is_lost_and_found_again(self):
        self.turn_until(lambda: self.first.hub.connected("vm-2"))
        self.turn_until(lambda: self.first.hub.responsive("vm-2"))
        self.running = [self.first]
        self.turn_until(lambda: self.first.lost)
        self.assertFalse(self.first.hub.responsive("vm-2"))
        self.running = [self.first, self.second]
        self.turn_until(lambda: self.first.hub.responsive("vm-2"))

    def test_requests_to_a_frozen_vm_fail_when_it_is_lost(self):
        self.turn_until(lambda: self.first.hub.connected("vm-2"))
        self.running = [self.first]
        self.ask(timeout=60)
        self.turn_until(lambda: self.errors)
        self.assertTrue(self.errors[0].sent)


class StrangerTest(HubCase):
    """What is not a VM of this system."""

    def test_a_wrong_key_opens_no_link(self):
        stranger = _Vm("vm-3", key="other")
        self.running.append(stranger)
        stranger.hub.replace_peers({"vm-2": self.second.address})
        failures = []
        stranger.hub.ask(
            "vm-2",
            coordination.CreateProgram(slot=1, service="a"),
            1.0,
            self.replies.append,
            failures.append,
        )
        with self.assertLogs("postspring.peers.hub", "WARNING"):
            self.turn_until(lambda: failures)
        self.assertEqual([], self.second.requests)
        stranger.hub.close()
        stranger.hub.sockets.refuse_new()

    def send_frame(self, data):
        """Send one frame on a link that has the right key."""
        closed = []

        class Raw(transport.ConnectionHandler):
            def received(inner, received):
                inner.protocol.receive_data(received)
                inner.protocol.events_received()
                inner.protocol.send_binary(data)
                inner.flush()

            def flush(inner):
                for part in inner.protocol.data_to_send():
                    self.first.hub.sockets.send(inner.sock, part)

            def closed(inner):
                closed.append(True)

        def on_open(sock):
            raw = Raw()
            raw.sock = sock
            raw.protocol = client.ClientProtocol(uri.parse_uri("ws://x/"))
            request = raw.protocol.connect()
            request.headers["X-Postspring-Key"] = "k"
            raw.protocol.send_request(request)
            self.first.timers.call_later(0, raw.flush)
            return raw

        self.first.hub.sockets.open(
            self.second.address, 1.0, on_open, self.errors.append
        )
        with self.assertLogs("postspring.peers.hub", "WARNING") as logs:
            self.turn_until(lambda: closed)
        return logs.output[0]

    def test_another_protocol_version_closes_the_link(self):
        frame = cbor2.dumps([99, 1, False, "heartbeat", {}])
        self.assertIn("protocol version 99", self.send_frame(frame))

    def test_garbage_closes_the_link(self):
        self.assertIn("closed", self.send_frame(b"\xff\x00garbage"))
