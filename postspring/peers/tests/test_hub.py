"""Tests of requests, lost VMs and rejected links of PeerHub."""

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
    """A hub with an event loop of its own that the test runs."""

    def __init__(self, name, key="k"):
        self.name = name
        self.address = ("127.0.0.1", processes.free_port())
        self.root = BaseComponent()
        pollers.EPoll().register(self.root)
        self.timers = transport.Timers().register(self.root)
        self.requests = []
        self.lost = []
        self.replies_to_requests = True
        self.hub = peers.PeerHub(
            self.timers,
            name,
            self.address,
            key,
            self.handle_request,
            self.heartbeat,
            lambda heartbeat: None,
            self.lost.append,
            heartbeat_interval=0.02,
            silence_timeout=0.3,
        )
        self.hub.sockets.register(self.root)
        self.root._running = True
        self.root.tick(timeout=0.0)
        self.root.tick(timeout=0.0)
        self.hub.start()

    def handle_request(self, vm, message, reply):
        """Reply with the id of the VM that sent the request."""
        self.requests.append((vm, message))
        if self.replies_to_requests:
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


class HubTestCase(unittest.TestCase):
    """Sets up two VMs; the first has the second as a peer."""

    def setUp(self):
        self.first = _Vm("vm-1")
        self.second = _Vm("vm-2")
        self.running_vms = [self.first, self.second]
        self.first.hub.replace_peers({"vm-2": self.second.address})
        self.replies = []
        self.errors = []
        self.addCleanup(self.close)

    def close(self):
        """Close both hubs."""
        for vm in (self.first, self.second):
            vm.hub.close()
            vm.hub.sockets.stop_accepting()

    def run_loop_until(self, condition):
        """Run the loops of the running VMs until a condition holds."""
        for _ in range(2000):
            if condition():
                return
            for vm in self.running_vms:
                vm.root.tick(timeout=0.002)
        self.fail("the loops were turned in vain")

    def request_second(self, message=None, timeout=2.0):
        """Send a request from the first VM to the second."""
        message = message or coordination.CreateProgram(slot=1, service="a")
        self.first.hub.ask(
            "vm-2", message, timeout, self.replies.append, self.errors.append
        )


class RequestTest(HubTestCase):
    """Replies to requests, and errors in their place."""

    def test_reply_reaches_the_requester(self):
        self.request_second()
        self.run_loop_until(lambda: self.replies)
        self.assertEqual("vm-1", self.replies[0].program)

    def test_large_request_arrives_unchanged(self):
        request = coordination.CallProgram(
            program="p",
            service="a",
            kind=programs.CallKind.MODEL,
            target="m",
            request=b"x" * 3_000_000,
            step=1,
        )
        self.request_second(request)
        self.run_loop_until(lambda: self.replies)
        self.assertEqual(request, self.second.requests[0][1])

    def test_timeout_error_says_sent(self):
        self.second.replies_to_requests = False
        self.request_second(timeout=0.1)
        self.run_loop_until(lambda: self.errors)
        self.assertTrue(self.errors[0].sent)

    def test_unknown_vm_error_says_not_sent(self):
        self.first.hub.ask(
            "vm-9",
            self.first.heartbeat(),
            1.0,
            self.replies.append,
            self.errors.append,
        )
        self.run_loop_until(lambda: self.errors)
        self.assertFalse(self.errors[0].sent)

    def test_refused_connection_error_says_not_sent(self):
        self.second.hub.sockets.stop_accepting()
        self.request_second()
        self.run_loop_until(lambda: self.errors)
        self.assertFalse(self.errors[0].sent)


class SilenceTest(HubTestCase):
    """A peer whose process is frozen: its loop does not run."""

    def test_frozen_vm_is_lost_and_responsive_after_thaw(self):
        self.run_loop_until(lambda: self.first.hub.is_connected("vm-2"))
        self.run_loop_until(lambda: self.first.hub.responsive("vm-2"))
        self.running_vms = [self.first]
        self.run_loop_until(lambda: self.first.lost)
        self.assertFalse(self.first.hub.responsive("vm-2"))
        self.running_vms = [self.first, self.second]
        self.run_loop_until(lambda: self.first.hub.responsive("vm-2"))

    def test_pending_request_fails_when_vm_is_lost(self):
        self.run_loop_until(lambda: self.first.hub.is_connected("vm-2"))
        self.running_vms = [self.first]
        self.request_second(timeout=60)
        self.run_loop_until(lambda: self.errors)
        self.assertTrue(self.errors[0].sent)


class RejectedLinkTest(HubTestCase):
    """Connections with a wrong key and frames that can't be decoded."""

    def test_wrong_key_is_rejected(self):
        intruder = _Vm("vm-3", key="other")
        self.running_vms.append(intruder)
        intruder.hub.replace_peers({"vm-2": self.second.address})
        failures = []
        intruder.hub.ask(
            "vm-2",
            coordination.CreateProgram(slot=1, service="a"),
            1.0,
            self.replies.append,
            failures.append,
        )
        with self.assertLogs("postspring.peers.hub", "WARNING"):
            self.run_loop_until(lambda: failures)
        self.assertEqual([], self.second.requests)
        intruder.hub.close()
        intruder.hub.sockets.stop_accepting()

    def send_frame(self, data):
        """Send a frame on a link with the right key; return the log line."""
        closed = []

        class RawLink(transport.ConnectionHandler):
            def received(link, received):
                link.protocol.receive_data(received)
                link.protocol.events_received()
                link.protocol.send_binary(data)
                link.flush()

            def flush(link):
                for chunk in link.protocol.data_to_send():
                    self.first.hub.sockets.send(link.sock, chunk)

            def ended(link, end):
                closed.append(True)

        def on_open(sock):
            raw_link = RawLink()
            raw_link.sock = sock
            raw_link.protocol = client.ClientProtocol(uri.parse_uri("ws://x/"))
            request = raw_link.protocol.connect()
            request.headers["X-Postspring-Key"] = "k"
            raw_link.protocol.send_request(request)
            self.first.timers.call_later(0, raw_link.flush)
            return raw_link

        self.first.hub.sockets.open(
            self.second.address, 1.0, on_open, self.errors.append
        )
        with self.assertLogs("postspring.peers.hub", "WARNING") as logs:
            self.run_loop_until(lambda: closed)
        return logs.output[0]

    def test_unknown_protocol_version_closes_the_link(self):
        frame = cbor2.dumps([99, 1, False, "heartbeat", {}])
        self.assertIn("protocol version 99", self.send_frame(frame))

    def test_undecodable_frame_closes_the_link(self):
        self.assertIn("closed", self.send_frame(b"\xff\x00garbage"))
